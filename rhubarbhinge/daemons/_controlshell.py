"""Carries out what the control cores decide: datagrams, peer messages, documents, members."""

import random
from collections.abc import Callable, Iterable
from typing import Any

from circuits import Component

from rhubarbhinge.control import (
    DEAD,
    Adopted,
    ControlNode,
    Member,
    MemberChanged,
    MembershipTimings,
    PollPlatform,
    Refused,
    SendDatagram,
    SendPeer,
    Superseded,
)
from rhubarbhinge.daemons._configview import ConfigView
from rhubarbhinge.daemons._controlstatus import control_status, fill_control
from rhubarbhinge.daemons._endpoint import endpoint
from rhubarbhinge.daemons._identity import Identity
from rhubarbhinge.daemons._peer import Peer
from rhubarbhinge.daemons._peeraddress import PeerAddress
from rhubarbhinge.daemons._peerlinks import PeerLinks
from rhubarbhinge.daemons._platformanswer import PlatformAnswer
from rhubarbhinge.daemons._platformcalls import PlatformCalls
from rhubarbhinge.daemons._vmnodes import entry_names, vm_nodes
from rhubarbhinge.net import Datagrams
from rhubarbhinge.settings import NodeSettings
from rhubarbhinge.telemetry import Metrics, log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import HttpClient
from rhubarbhinge.wire import (
    ConfigBusy,
    ConfigChunk,
    ConfigNotice,
    ConfigRequest,
    FrameError,
    ReplyBatch,
    decode,
    encode,
    open_datagram,
    sign_datagram,
)

_TICK_MS = 50.0
_CONFIG_MESSAGES = (ConfigNotice, ConfigRequest, ConfigChunk, ConfigBusy)


class ControlShell(Component):
    """The configuration and the members, as the rest of a node sees them.

    :param settings: the node's settings.
    :param identity: this node.
    :param timers: the timer service.
    :param links: links to other nodes.
    :param client: calls the platform.
    :param rng: source of random choices.
    :ivar config: the configuration in force.
    :ivar on_config: called when it has changed.
    :ivar on_members: called when the members have changed.
    :ivar on_superseded: called when a newer process holds this node's name.
    """

    channel = "control"

    def __init__(
        self,
        settings: NodeSettings,
        identity: Identity,
        timers: TimerService,
        links: PeerLinks,
        client: HttpClient,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.config = ConfigView()
        self.on_config: Callable[[], None] = _nothing
        self.on_members: Callable[[], None] = _nothing
        self.on_superseded: Callable[[], None] = _nothing
        self._settings = settings
        self._identity = identity
        self._timers = timers
        self._links = links
        self._platform = PlatformCalls(
            client, identity.name, settings.platform, self._platform_answered
        )
        self._was_ready = False
        me = Member(
            identity.name,
            identity.role,
            identity.failure_domain,
            identity.ip,
            identity.peer_port,
            identity.incarnation,
            "alive",
        )
        seeds = [endpoint(text) for text in settings.peers]
        self._core = ControlNode(
            me,
            rng,
            self.config.validate,
            vm_nodes,
            seeds,
            MembershipTimings(links_per_domain=settings.links_per_domain),
        )
        self._datagrams = Datagrams(self._datagram, (identity.ip, identity.peer_port)).register(
            self
        )
        timers.every(_TICK_MS, self._tick)

    def ready(self) -> bool:
        """Say whether there is a configuration to serve by.

        :returns: False until the platform or a peer has answered.
        """
        return self._core.ready() and self.config.complete()

    def live_relays(self, failure_domain: str) -> tuple[str, ...]:
        """Give the relays of a failure domain that can be worked with.

        :param failure_domain: the failure domain.
        :returns: node names: members that are live and linked, and this node itself.
        """
        return tuple(
            member.name
            for member in self._core.membership.live("relay", failure_domain)
            if self._reachable(member.name)
        )

    def alive_relays(self, failure_domain: str) -> frozenset[str]:
        """Give the relays of a failure domain that are not known to be dead.

        :param failure_domain: the failure domain.
        :returns: node names, whether linked or not.
        """
        members = self._core.membership.live("relay", failure_domain)
        return frozenset(member.name for member in members)

    def is_running(self, name: str, incarnation: int) -> bool:
        """Say whether a process counts as running; one that leaves finishes its work.

        :param name: its node name.
        :param incarnation: its incarnation.
        :returns: False when it is dead or not known, or a later one has its name.
        """
        member = self._core.membership.get(name)
        known = member is not None and member.incarnation <= incarnation
        return known and member.state != DEAD

    def live_entries(self, failure_domain: str) -> frozenset[str]:
        """Give the entries of a failure domain.

        :param failure_domain: the failure domain.
        :returns: node names of live members.
        """
        members = self._core.membership.live("entry", failure_domain)
        return frozenset(member.name for member in members)

    def listed_entries(self) -> tuple[frozenset[str], int | None]:
        """Give the entries that the platform lists, in all failure domains.

        :returns: node names, and when the platform last confirmed the list, None for never.
        """
        now_ms = self._now_ms()
        ages = {age.key: age for age in self._core.dissemination.ages(now_ms)}
        age_ms = ages["vms"].platform_age_ms
        if self.config.vms is None or age_ms < 0:
            return frozenset(), None
        return entry_names(self.config.vms), now_ms - age_ms

    def peer_message(self, peer: Peer, message: Any) -> bool:
        """Take a message, if it is about configuration.

        :param peer: its sender.
        :param message: the message.
        :returns: whether it was.
        """
        now_ms = self._now_ms()
        if isinstance(message, _CONFIG_MESSAGES):
            self._carry_out(self._core.on_peer(peer.name, message, now_ms))
            return True
        if isinstance(message, ReplyBatch):
            register = self.config.register
            if register is None or message.register_revision > register.revision:
                seen = self._core.on_seen_revision(
                    peer.name, "register", message.register_revision, now_ms
                )
                self._carry_out(seen)
        return False

    def paused(self, gap_ms: float) -> None:
        """Act on having been paused.

        :param gap_ms: how long.
        """
        self._carry_out(self._core.on_pause(int(gap_ms), self._now_ms()))

    def leave(self) -> None:
        """Announce that this node takes no new work."""
        self._carry_out(self._core.leave(self._now_ms()))

    def status(self) -> dict[str, Any]:
        """Describe configuration and members for operators.

        :returns: plain data.
        """
        ages = self._core.dissemination.ages(self._now_ms())
        return control_status(ages, self.config.cross_faults(), self._core.membership.members())

    def fill(self, metrics: Metrics) -> None:
        """Fill the gauges.

        :param metrics: the node's metrics.
        """
        ages = self._core.dissemination.ages(self._now_ms())
        fill_control(metrics, ages, self._core.membership.members())

    def _reachable(self, name: str) -> bool:
        return name == self._identity.name or self._links.peer(name) is not None

    def _now_ms(self) -> int:
        return int(self._timers.now_ms())

    def _tick(self) -> None:
        self._carry_out(self._core.tick(self._now_ms()))
        if not self._was_ready and self.ready():
            self._was_ready = True
            log_event("ready", **self.config.revisions())
            self.on_config()

    def _datagram(self, ip: str, port: int, datagram: bytes) -> None:
        try:
            message = decode(open_datagram(self._settings.deployment_key, datagram))
        except FrameError:
            return
        self._carry_out(self._core.on_datagram(message, ip, port, self._now_ms()))

    # Effects.

    def _carry_out(self, effects: Iterable[Any]) -> None:
        for effect in effects:
            ACTIONS[type(effect)](self, effect)

    def _send_datagram(self, effect: SendDatagram) -> None:
        signed = sign_datagram(self._settings.deployment_key, encode(effect.message))
        self._datagrams.send(effect.ip, effect.port, signed)

    def _send_peer(self, effect: SendPeer) -> None:
        self._links.send(effect.member_name, effect.message)

    def _poll(self, effect: PollPlatform) -> None:
        self._platform.poll(effect)

    def _platform_answered(self, key: str, answer: PlatformAnswer) -> None:
        effects = self._core.on_platform(
            key, answer.outcome, answer.revision, answer.data, self._now_ms()
        )
        self._carry_out(effects)

    def _adopted(self, effect: Adopted) -> None:
        document = effect.document
        self.config.adopt(document.key, document.data)
        log_event(
            "config-adopted",
            key=document.key,
            revision=document.revision,
            faults="; ".join(effect.faults),
            cross_faults="; ".join(self.config.cross_faults()),
        )
        if document.key == "vms":
            self._follow_members()
        self.on_config()

    def _refused(self, effect: Refused) -> None:
        log_event(
            "config-refused",
            key=effect.key,
            revision=effect.revision,
            faults="; ".join(effect.faults),
        )

    def _member_changed(self, effect: MemberChanged) -> None:
        member = effect.member
        log_event("member-changed", member=member.name, state=member.state)
        self._follow_members()
        self.on_members()

    def _superseded(self, effect: Superseded) -> None:
        log_event("superseded", incarnation=effect.member.incarnation)
        self.on_superseded()

    def _follow_members(self) -> None:
        me = self._identity.name
        live = self._core.membership.live()
        self._links.want(
            PeerAddress(member.name, member.ip, member.peer_port)
            for member in live
            if member.name > me
        )


#: What is done about each effect of the control cores.
ACTIONS: dict[type, Callable[[ControlShell, Any], None]] = {
    SendDatagram: ControlShell._send_datagram,
    SendPeer: ControlShell._send_peer,
    PollPlatform: ControlShell._poll,
    Adopted: ControlShell._adopted,
    Refused: ControlShell._refused,
    MemberChanged: ControlShell._member_changed,
    Superseded: ControlShell._superseded,
}


def _nothing() -> None:
    pass
