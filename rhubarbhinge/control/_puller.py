"""Pulls documents that peers have announced."""

import random
from collections.abc import Callable

from rhubarbhinge.control._bad_transfer import BadTransfer
from rhubarbhinge.control._config_store import ConfigStore
from rhubarbhinge.control._delta import DOCUMENT_LIMIT_BYTES
from rhubarbhinge.control._delta_link import DeltaLink
from rhubarbhinge.control._pull import Position, Pull
from rhubarbhinge.control._send_peer import SendPeer
from rhubarbhinge.control._transfer_codec import decode_links, decode_whole, split_links
from rhubarbhinge.wire._config_busy import ConfigBusy
from rhubarbhinge.wire._config_chunk import ConfigChunk
from rhubarbhinge.wire._config_request import ConfigRequest

CHUNK_BYTES = 16 * 1024
SOURCES_KEPT = 16
FAILURES_LIMIT = 8

Received = tuple[int, bytes, list[DeltaLink]]


class Puller:
    """Keeps at most one pull a key, asking the announcers one after another.

    A document that nobody gives is dropped after ``FAILURES_LIMIT`` sources; if somebody holds it,
    the next announcement begins a new pull.

    :param store: what is accepted.
    :param rng: source of random choices.
    :param timeout_ms: a source that sends no chunk for this long is given up.
    :param more_sources: gives further peers to ask when the announcers fail.
    """

    def __init__(
        self,
        store: ConfigStore,
        rng: random.Random,
        timeout_ms: int,
        more_sources: Callable[[], list[str]],
    ) -> None:
        self._store = store
        self._rng = rng
        self._timeout_ms = timeout_ms
        self._more_sources = more_sources
        self._pulls: dict[str, Pull] = {}

    def idle(self) -> bool:
        """Tell whether nothing announced is missing.

        :returns: true if no pull is under way.
        """
        return not self._pulls

    def announce(self, member: str, key: str, position: Position, now_ms: int) -> list[SendPeer]:
        """Hear that a peer holds a document.

        :param member: the peer.
        :param key: the document's key.
        :param position: its revision and content hash; hash 0 if not known.
        :param now_ms: the time.
        :returns: the request that begins a pull, if one is needed.
        """
        if not self._store.wants(key, *position):
            return []
        pull = self._pulls.get(key)
        if pull is None:
            pull = self._pulls[key] = Pull(key, position, member)
            return [self._request(pull, now_ms)]
        pull.wanted = max(pull.wanted, position)
        if member != pull.source and member not in pull.others:
            pull.others.append(member)
            del pull.others[:-SOURCES_KEPT]
        return []

    def settle(self, key: str) -> None:
        """End a pull whose document came another way.

        :param key: the key that changed.
        """
        pull = self._pulls.get(key)
        if pull is not None and not self._store.wants(key, *pull.wanted):
            del self._pulls[key]

    def abandon(self, now_ms: int) -> list[SendPeer]:
        """Begin all pulls anew, for example after a pause.

        :param now_ms: the time.
        :returns: new requests.
        """
        return [self._request(pull, now_ms) for pull in self._restarted()]

    def tick(self, now_ms: int) -> list[SendPeer]:
        """Give up sources that went silent.

        :param now_ms: the time.
        :returns: requests to others.
        """
        expired = [pull for pull in self._pulls.values() if now_ms >= pull.expires_ms]
        effects: list[SendPeer] = []
        for pull in expired:
            effects += self._next_source(pull, now_ms)
        return effects

    def on_busy(self, member: str, busy: ConfigBusy, now_ms: int) -> list[SendPeer]:
        """Turn to another source.

        :param member: who refused.
        :param busy: the refusal.
        :param now_ms: the time.
        :returns: the next request.
        """
        pull = self._pulls.get(busy.key)
        if pull is None or pull.source != member:
            return []
        if pull.others:
            return self._next_source(pull, now_ms)
        pull.expires_ms = now_ms + min(busy.retry_after_ms, self._timeout_ms)
        return []

    def on_chunk(
        self, member: str, chunk: ConfigChunk, now_ms: int
    ) -> tuple[list[SendPeer], Received | None]:
        """Take a chunk.

        :param member: who sent it.
        :param chunk: the chunk.
        :param now_ms: the time.
        :returns: the next request, and the revision, document and deltas if it is complete.
        """
        pull = self._pulls.get(chunk.key)
        if pull is None or pull.source != member:
            return [], None
        if _is_repeated(pull, chunk):
            return [], None
        if not self._append(pull, chunk):
            return self._next_source(pull, now_ms), None
        if len(pull.received) < pull.total_bytes:
            return [self._request(pull, now_ms)], None
        try:
            received = self._decode(pull)
        except BadTransfer:
            return self._next_source(pull, now_ms), None
        pull.restart()
        return [], received

    def resume(self, key: str, now_ms: int) -> list[SendPeer]:
        """Go on after a completed transfer, if a higher document was announced meanwhile.

        :param key: the key.
        :param now_ms: the time.
        :returns: the next request, if any.
        """
        self.settle(key)
        pull = self._pulls.get(key)
        return [self._request(pull, now_ms)] if pull is not None else []

    def _restarted(self) -> list[Pull]:
        for pull in self._pulls.values():
            pull.restart()
        return list(self._pulls.values())

    def _next_source(self, pull: Pull, now_ms: int) -> list[SendPeer]:
        pull.restart()
        pull.failures += 1
        if pull.failures > FAILURES_LIMIT or not self._store.wants(pull.key, *pull.wanted):
            del self._pulls[pull.key]
            return []
        if not pull.others:
            pull.others = [name for name in self._more_sources() if name != pull.source]
            self._rng.shuffle(pull.others)
            del pull.others[:-SOURCES_KEPT]
        if pull.others:
            pull.others.insert(0, pull.source)
            pull.source = pull.others.pop()
        return [self._request(pull, now_ms)]

    def _request(self, pull: Pull, now_ms: int) -> SendPeer:
        pull.expires_ms = now_ms + self._timeout_ms
        base_revision, base_hash = self._store.position(pull.key)
        offset = len(pull.received)
        request = ConfigRequest(pull.key, base_revision, base_hash, *pull.transfer, offset)
        return SendPeer(pull.source, request)

    def _append(self, pull: Pull, chunk: ConfigChunk) -> bool:
        position = (chunk.revision, chunk.content_hash)
        if chunk.offset == 0 and position != pull.transfer:
            pull.restart()
            pull.transfer = position
            pull.base_revision = chunk.base_revision
            pull.total_bytes = chunk.total_bytes
        if position != pull.transfer or chunk.offset != len(pull.received):
            return False
        if not 0 < len(chunk.data) <= CHUNK_BYTES or pull.total_bytes > DOCUMENT_LIMIT_BYTES:
            return False
        pull.received += chunk.data
        pull.failures = 0
        return len(pull.received) <= pull.total_bytes

    def _decode(self, pull: Pull) -> Received:
        revision, digest = pull.transfer
        data = bytes(pull.received)
        if not pull.base_revision:
            return revision, decode_whole(data, digest), []
        held = self._store.accepted(pull.key)
        if held is None or held.revision != pull.base_revision:
            raise BadTransfer("the base is no longer held")
        links = split_links(data)
        if not links or links[-1].position != pull.transfer:
            raise BadTransfer("the deltas lead elsewhere")
        return revision, decode_links(held.data, links), links


def _is_repeated(pull: Pull, chunk: ConfigChunk) -> bool:
    same = (chunk.revision, chunk.content_hash) == pull.transfer
    return same and chunk.offset < len(pull.received)
