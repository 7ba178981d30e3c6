"""The control cores of one node wired together."""

import random
from collections.abc import Callable, Iterable

from rhubarbhinge.control._adopted import Adopted
from rhubarbhinge.control._config_keys import VMS
from rhubarbhinge.control._config_store import ConfigStore, Validate
from rhubarbhinge.control._dissemination import Dissemination
from rhubarbhinge.control._dissemination_settings import DisseminationSettings
from rhubarbhinge.control._membership import Membership
from rhubarbhinge.control._membership_timings import MembershipTimings
from rhubarbhinge.control._platform_outcome import PlatformOutcome
from rhubarbhinge.control._revisions_seen import RevisionsSeen
from rhubarbhinge.control._vm_node import VmNode
from rhubarbhinge.wire._member import Member

ListNodes = Callable[[bytes], Iterable[tuple | VmNode]]


class ControlNode:
    """Membership, store and dissemination with one set of inputs.

    The revisions that ride on probes go to the dissemination, an adopted VM list to the membership.

    :param self_member: this node.
    :param rng: source of random choices.
    :param validate: pure check of a document.
    :param list_nodes: gives the nodes of an accepted VM list.
    :param seeds: ``(ip, port)`` addresses of the settings.
    :param timings: periods of the membership.
    :param settings: budgets of the dissemination.
    """

    def __init__(
        self,
        self_member: Member,
        rng: random.Random,
        validate: Validate,
        list_nodes: ListNodes,
        seeds: Iterable[tuple[str, int]] = (),
        timings: MembershipTimings | None = None,
        settings: DisseminationSettings | None = None,
    ) -> None:
        self._list_nodes = list_nodes
        self.membership = Membership(self_member, rng, timings, seeds)
        self.store = ConfigStore(validate)
        self.dissemination = Dissemination(self.store, self.membership, rng, settings)

    def ready(self) -> bool:
        """Tell whether this node has configuration to serve by.

        :returns: see :meth:`Dissemination.ready`.
        """
        return self.dissemination.ready()

    def tick(self, now_ms: int) -> list[object]:
        """Let time pass.

        :param now_ms: the time.
        :returns: effects.
        """
        effects = self.membership.tick(now_ms) + self.dissemination.tick(now_ms)
        return self._routed(effects, now_ms)

    def on_datagram(self, message: object, ip: str, port: int, now_ms: int) -> list[object]:
        """Take one probe message.

        :param message: a decoded message.
        :param ip: the address it came from.
        :param port: its port.
        :param now_ms: the time.
        :returns: effects.
        """
        return self._routed(self.membership.on_datagram(message, ip, port, now_ms), now_ms)

    def on_peer(self, member_name: str, message: object, now_ms: int) -> list[object]:
        """Take one configuration message of a peer link.

        :param member_name: the peer.
        :param message: a decoded message.
        :param now_ms: the time.
        :returns: effects.
        """
        return self._routed(self.dissemination.on_peer(member_name, message, now_ms), now_ms)

    def on_platform(
        self, key: str, outcome: PlatformOutcome, revision: int, data: bytes, now_ms: int
    ) -> list[object]:
        """Take the outcome of a call to the platform.

        :param key: the key that was asked for.
        :param outcome: how the call ended.
        :param revision: the document's revision when ``CHANGED``, else 0.
        :param data: its bytes when ``CHANGED``, else empty.
        :param now_ms: the time.
        :returns: effects.
        """
        effects = self.dissemination.on_platform(key, outcome, revision, data, now_ms)
        return self._routed(effects, now_ms)

    def on_seen_revision(
        self, member_name: str, key: str, revision: int, now_ms: int
    ) -> list[object]:
        """Hear of a revision that rode on a data message.

        :param member_name: the sender.
        :param key: the document's key.
        :param revision: the revision it worked by.
        :param now_ms: the time.
        :returns: effects.
        """
        effects = self.dissemination.on_seen_revision(member_name, key, revision, now_ms)
        return self._routed(effects, now_ms)

    def on_pause(self, gap_ms: int, now_ms: int) -> list[object]:
        """Start waits anew after this process did not run for a while.

        :param gap_ms: length of the pause.
        :param now_ms: the time.
        :returns: effects.
        """
        effects = self.membership.on_pause(gap_ms, now_ms)
        effects += self.dissemination.on_pause(gap_ms, now_ms)
        return self._routed(effects, now_ms)

    def leave(self, now_ms: int) -> list[object]:
        """Announce that this node takes no new work.

        :param now_ms: the time.
        :returns: effects.
        """
        return self._routed(self.membership.leave(now_ms), now_ms)

    def _routed(self, effects: list[object], now_ms: int) -> list[object]:
        routed: list[object] = []
        for effect in effects:
            if isinstance(effect, RevisionsSeen):
                routed += self.dissemination.on_revisions(
                    effect.member_name, effect.revisions, now_ms
                )
                continue
            if isinstance(effect, Adopted) and effect.document.key == VMS:
                self.membership.on_vms(self._list_nodes(effect.document.data))
            routed.append(effect)
        return routed
