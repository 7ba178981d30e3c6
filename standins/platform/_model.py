"""The platform's state: documents by key and revision, watches, the rate."""

from collections import Counter, deque
from dataclasses import dataclass

from standins.platform._knobs import PlatformKnobs

KEYS = ("register", "rules", "vms")
_RATE_WINDOW_MS = 1000.0


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a call.

    :param exchange: The call's number, as given with it.
    :param status: The HTTP status, or 0 to close the connection without an answer.
    :param body: The body.
    :param revision: What the ``Revision`` header tells, if any.
    """

    exchange: int
    status: int
    body: bytes = b""
    revision: int | None = None


@dataclass(frozen=True, slots=True)
class _Watch:
    exchange: int
    key: str
    after: int
    until_ms: float


class Platform:
    """The platform. Every method takes the time and returns the answers to give.

    :param knobs: How it behaves.
    """

    def __init__(self, knobs: PlatformKnobs) -> None:
        self.knobs = knobs
        self.calls: Counter[tuple[str, str]] = Counter()
        self.over_rate = 0
        self.most_in_a_second = 0
        self._documents: dict[str, dict[int, bytes]] = {key: {} for key in KEYS}
        self._watches: dict[int, _Watch] = {}
        self._recent: deque[float] = deque()

    def get(
        self, exchange: int, reader: str, key: str, after: int | None, wait_ms: float, now_ms: float
    ) -> list[Answer]:
        """Take a call.

        :param exchange: The call's number.
        :param reader: Who calls.
        :param key: The key asked for.
        :param after: A revision the reader has, to wait for a higher one; None to get at once.
        :param wait_ms: How long to wait for it.
        :param now_ms: The time.
        :returns: The answers.
        """
        self.calls[key, reader] += 1
        if self._is_over_rate(now_ms):
            self.over_rate += 1
            return [Answer(exchange, 503, b'{"code":"over-rate"}')]
        if self.knobs.hang:
            return []
        if self.knobs.down != "no":
            return [self._down(exchange)]
        if key not in self._documents:
            return [Answer(exchange, 404, b'{"code":"no-such-key"}')]
        return self._read(_Watch(exchange, key, after or 0, now_ms + wait_ms), after, now_ms)

    def publish(self, key: str, revision: int, document: bytes) -> list[Answer]:
        """Publish a document; an older revision than the newest is kept but not told.

        :param key: The key.
        :param revision: The document's revision.
        :param document: The raw document.
        :returns: The answers to the watches that it ends.
        """
        self._documents[key][revision] = document
        return self._end_watches()

    def change(self, knobs: PlatformKnobs) -> list[Answer]:
        """Set the knobs.

        :param knobs: All of them.
        :returns: The answers to the watches that this ends.
        """
        self.knobs = knobs
        if knobs.hang:
            return []
        if knobs.down == "no":
            return self._end_watches()
        answers = [self._down(exchange) for exchange in self._watches]
        self._watches.clear()
        return answers

    def abandon(self, exchange: int) -> None:
        """Learn that a reader's connection is gone.

        :param exchange: The call's number.
        """
        self._watches.pop(exchange, None)

    def tick(self, now_ms: float) -> list[Answer]:
        """End the watches that have waited long enough.

        :param now_ms: The time.
        :returns: The answers.
        """
        if self.knobs.hang:
            return []
        over = [watch for watch in self._watches.values() if watch.until_ms <= now_ms]
        for watch in over:
            del self._watches[watch.exchange]
        return [Answer(watch.exchange, 204) for watch in over]

    def newest(self, key: str) -> int | None:
        """Tell the revision that a reader is given now.

        :param key: The key.
        :returns: The revision, or None when nothing was published.
        """
        revisions = self._documents[key]
        stale = self.knobs.stale_revision.get(key)
        if stale in revisions:
            return stale
        return max(revisions, default=None)

    def figures(self) -> dict[str, object]:
        """Give the counters.

        :returns: Calls by key and reader, calls over the rate, revisions, waiting watches.
        """
        calls: dict[str, dict[str, int]] = {}
        for (key, reader), number in self.calls.items():
            calls.setdefault(key, {})[reader] = number
        return {
            "calls": calls,
            "total": self.calls.total(),
            "over_rate": self.over_rate,
            "most_in_a_second": self.most_in_a_second,
            "watches": len(self._watches),
            "revisions": {key: self.newest(key) for key in KEYS},
        }

    def _read(self, watch: _Watch, after: int | None, now_ms: float) -> list[Answer]:
        revision = self.newest(watch.key)
        if revision is not None and (after is None or revision > after):
            return [self._document(watch.exchange, watch.key, revision)]
        if after is None:
            return [Answer(watch.exchange, 404, b'{"code":"not-published"}')]
        if watch.until_ms <= now_ms:
            return [Answer(watch.exchange, 204)]
        self._watches[watch.exchange] = watch
        return []

    def _document(self, exchange: int, key: str, revision: int) -> Answer:
        return Answer(exchange, 200, self._documents[key][revision], revision)

    def _down(self, exchange: int) -> Answer:
        return Answer(exchange, 0 if self.knobs.down == "closed" else 503, b'{"code":"down"}')

    def _end_watches(self) -> list[Answer]:
        if self.knobs.hang or self.knobs.down != "no":
            return []
        answers = []
        for watch in tuple(self._watches.values()):
            revision = self.newest(watch.key)
            if revision is not None and revision > watch.after:
                del self._watches[watch.exchange]
                answers.append(self._document(watch.exchange, watch.key, revision))
        return answers

    def _is_over_rate(self, now_ms: float) -> bool:
        recent = self._recent
        while recent and recent[0] <= now_ms - _RATE_WINDOW_MS:
            recent.popleft()
        if len(recent) >= self.knobs.calls_per_s:
            return True
        recent.append(now_ms)
        self.most_in_a_second = max(self.most_in_a_second, len(recent))
        return False
