"""Dissemination of accepted configuration over the fleet.

Three readers a failure domain watch the platform; a change is announced to a few neighbours, who
pull it and announce it in turn; what that misses is found by the revisions that ride on probes and
on data messages. No node depends on a particular other one.
"""

import random

from rhubarbhinge.control._adopted import Adopted
from rhubarbhinge.control._config_age import ConfigAge
from rhubarbhinge.control._config_keys import KEYS, digest_of
from rhubarbhinge.control._config_store import PLATFORM, ConfigStore
from rhubarbhinge.control._delta_link import DeltaLink
from rhubarbhinge.control._dissemination_settings import DisseminationSettings
from rhubarbhinge.control._membership import Membership
from rhubarbhinge.control._neighbours import Neighbours
from rhubarbhinge.control._offer_ignored import Ignored
from rhubarbhinge.control._platform_outcome import PlatformOutcome
from rhubarbhinge.control._platform_reader import PlatformReader
from rhubarbhinge.control._poll_platform import PollPlatform
from rhubarbhinge.control._puller import CHUNK_BYTES, Puller
from rhubarbhinge.control._refused import Refused
from rhubarbhinge.control._send_peer import SendPeer
from rhubarbhinge.control._startup import Startup
from rhubarbhinge.control._token_bucket import TokenBucket
from rhubarbhinge.control._transfer_source import TransferSource
from rhubarbhinge.wire._config_busy import ConfigBusy
from rhubarbhinge.wire._config_chunk import ConfigChunk
from rhubarbhinge.wire._config_digest import ConfigDigest
from rhubarbhinge.wire._config_notice import ConfigNotice
from rhubarbhinge.wire._config_request import ConfigRequest

DisseminationEffect = SendPeer | PollPlatform | Adopted | Refused


class Dissemination:
    """Gets configuration from the platform and peers, and passes it on.

    Every input returns the effects that the shell carries out. The shell hands each
    ``RevisionsSeen`` of the membership to :meth:`on_revisions`.

    :param store: the accepted configuration.
    :param membership: whom this node knows; its probes carry the revisions from here.
    :param rng: source of random choices.
    :param settings: budgets and periods.
    """

    def __init__(
        self,
        store: ConfigStore,
        membership: Membership,
        rng: random.Random,
        settings: DisseminationSettings | None = None,
    ) -> None:
        self._settings = settings or DisseminationSettings()
        self._store = store
        self._membership = membership
        self._reader = PlatformReader(membership, rng, self._settings)
        self._neighbours = Neighbours(membership, self._settings)
        self._startup = Startup(membership, rng, self._settings)
        self._puller = Puller(store, rng, self._settings.pull_timeout_ms, self._sources)
        self._sources_by_key = {key: TransferSource() for key in KEYS}
        burst = self._settings.upload_burst_bytes
        self._upload = TokenBucket(self._settings.upload_bytes_per_s, burst, burst)
        membership.announce_with(self.announcement)

    @property
    def is_reader(self) -> bool:
        """True while this node watches the platform."""
        return self._reader.is_reader

    def ready(self) -> bool:
        """Tell whether this node has configuration to serve by.

        It is ready once the platform or a ready peer has answered, those asked at the start have
        answered or had their time, and the highest revision that any of them named is in force.

        :returns: true from then on.
        """
        return self._startup.ready

    def ages(self, now_ms: int) -> tuple[ConfigAge, ...]:
        """Report how old the configuration is.

        :param now_ms: the time.
        :returns: one line a key.
        """
        return self._store.ages(self._reader.platform_age_ms(now_ms), now_ms)

    def announcement(self, now_ms: int) -> ConfigDigest:
        """Summarize what is in force here and how fresh it is.

        :param now_ms: the time.
        :returns: what rides on messages to other nodes.
        """
        age_ms = max(0, self._reader.platform_age_ms(now_ms))
        return self._store.digest(self._reader.contact, age_ms)

    def tick(self, now_ms: int) -> list[DisseminationEffect]:
        """Let time pass: call the platform, ask peers, give up silent ones.

        :param now_ms: the time.
        :returns: effects.
        """
        effects: list[DisseminationEffect] = list(self._puller.tick(now_ms))
        own = self.announcement(now_ms)
        for name in self._startup.tick(self._may_be_ready(), self._reader.tried(), now_ms):
            effects.append(SendPeer(name, ConfigNotice(own, answer=True)))
        for key, wait_ms in self._reader.due(self.ready(), now_ms):
            effects.append(PollPlatform(key, self._store.passed_revision(key), wait_ms))
        return effects

    def on_pause(self, gap_ms: int, now_ms: int) -> list[DisseminationEffect]:
        """Ask anew what may have changed while this process did not run.

        :param gap_ms: length of the pause.
        :param now_ms: the time.
        :returns: requests for pulls under way, and notices that ask for an answer.
        """
        effects: list[DisseminationEffect] = list(self._puller.abandon(now_ms))
        question = ConfigNotice(self.announcement(now_ms), answer=True)
        return effects + [SendPeer(name, question) for name in self._neighbours.near()]

    def on_platform(
        self, key: str, outcome: PlatformOutcome, revision: int, data: bytes, now_ms: int
    ) -> list[DisseminationEffect]:
        """Take the outcome of a call that :class:`PollPlatform` asked for.

        :param key: the key that was asked for.
        :param outcome: how the call ended.
        :param revision: the document's revision when ``CHANGED``, else 0.
        :param data: its bytes when ``CHANGED``, else empty.
        :param now_ms: the time.
        :returns: effects.
        """
        effects: list[DisseminationEffect] = []
        fresh = False
        if outcome == PlatformOutcome.CHANGED:
            result = self._store.offer(key, revision, data, PLATFORM, now_ms)
            fresh = not isinstance(result, Ignored)
            effects += self._offered(key, result, None, "", now_ms)
        self._reader.on_outcome(key, outcome, fresh, now_ms)
        return effects

    def on_revisions(
        self, member_name: str, revisions: ConfigDigest, now_ms: int
    ) -> list[DisseminationEffect]:
        """Hear what a member has accepted.

        :param member_name: the member.
        :param revisions: what rode on its probe or notice.
        :param now_ms: the time.
        :returns: requests for what is missing here.
        """
        self._startup.on_answer(member_name, revisions)
        self._reader.on_contact(revisions.platform_contact, revisions.platform_age_ms, now_ms)
        effects: list[DisseminationEffect] = []
        for key in KEYS:
            position = digest_of(revisions, key)
            effects += self._puller.announce(member_name, key, position, now_ms)
        return effects

    def on_seen_revision(
        self, member_name: str, key: str, revision: int, now_ms: int
    ) -> list[DisseminationEffect]:
        """Hear of a revision that rode on a data message.

        :param member_name: the sender.
        :param key: one of ``KEYS``.
        :param revision: the revision it worked by.
        :param now_ms: the time.
        :returns: a request, if the revision is above the own.
        """
        if revision <= self._store.position(key)[0]:
            return []
        return list(self._puller.announce(member_name, key, (revision, 0), now_ms))

    def on_peer(self, member_name: str, message: object, now_ms: int) -> list[DisseminationEffect]:
        """Take a configuration message of a peer link.

        :param member_name: the peer.
        :param message: a decoded message; unknown kinds are ignored.
        :param now_ms: the time.
        :returns: effects.
        """
        handler = _HANDLERS.get(type(message))
        return handler(self, member_name, message, now_ms) if handler else []

    def _on_notice(
        self, member: str, notice: ConfigNotice, now_ms: int
    ) -> list[DisseminationEffect]:
        effects = self.on_revisions(member, notice.revisions, now_ms)
        if notice.answer:
            effects.append(SendPeer(member, ConfigNotice(self.announcement(now_ms))))
        return effects

    def _on_request(
        self, member: str, request: ConfigRequest, now_ms: int
    ) -> list[DisseminationEffect]:
        source = self._sources_by_key.get(request.key)
        if source is None or request.offset < 0:
            return []
        base = (request.base_revision, request.base_hash)
        offset = request.offset
        transfer = source.resume(base, (request.revision, request.content_hash)) if offset else None
        if transfer is None:
            offset = 0
            transfer = source.transfer(base, now_ms)
        if transfer is None:
            return [SendPeer(member, ConfigNotice(self.announcement(now_ms)))]
        data = transfer.data[offset : offset + CHUNK_BYTES]
        if not self._upload.take(len(data), now_ms):
            wait_ms = self._upload.wait_ms(len(data), now_ms)
            return [SendPeer(member, ConfigBusy(request.key, wait_ms))]
        chunk = ConfigChunk(
            request.key,
            transfer.revision,
            transfer.digest,
            transfer.base_revision,
            offset,
            len(transfer.data),
            data,
        )
        return [SendPeer(member, chunk)]

    def _on_chunk(self, member: str, chunk: ConfigChunk, now_ms: int) -> list[DisseminationEffect]:
        requests, received = self._puller.on_chunk(member, chunk, now_ms)
        effects: list[DisseminationEffect] = list(requests)
        if received is None:
            return effects
        revision, data, links = received
        result = self._store.offer(chunk.key, revision, data, member, now_ms)
        effects += self._offered(chunk.key, result, links, member, now_ms)
        return effects + self._puller.resume(chunk.key, now_ms)

    def _on_busy(self, member: str, busy: ConfigBusy, now_ms: int) -> list[DisseminationEffect]:
        return list(self._puller.on_busy(member, busy, now_ms))

    def _offered(
        self,
        key: str,
        result: Adopted | Refused | Ignored,
        links: list[DeltaLink] | None,
        source: str,
        now_ms: int,
    ) -> list[DisseminationEffect]:
        if isinstance(result, Ignored):
            return []
        self._puller.settle(key)
        if isinstance(result, Refused):
            return [result]
        self._sources_by_key[key].adopted(result.document, links)
        notice = ConfigNotice(self.announcement(now_ms))
        told = self._neighbours.near()
        if not source:
            told += self._neighbours.far()
        return [result] + [SendPeer(name, notice) for name in told if name != source]

    def _may_be_ready(self) -> bool:
        required = self._settings.required_keys
        if not all(self._store.accepted(key) for key in required):
            return False
        if not self._puller.idle():
            return False
        return self._reader.answered() or self._startup.peer_answered

    def _sources(self) -> list[str]:
        return self._neighbours.near() + self._neighbours.far()


_HANDLERS = {
    ConfigNotice: Dissemination._on_notice,
    ConfigRequest: Dissemination._on_request,
    ConfigChunk: Dissemination._on_chunk,
    ConfigBusy: Dissemination._on_busy,
}
