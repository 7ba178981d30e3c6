"""The platform's state: documents by key and revision, watches, calls counted."""

from collections import Counter

from standins.platform._answer import Answer
from standins.platform._knobs import PlatformKnobs
from standins.platform._publication import KEYS, Publication
from standins.platform._rate import Rate
from standins.platform._watch import Watch


class Platform:
    """The platform. Every method gives the answers to write.

    :param knobs: How it behaves.
    """

    def __init__(self, knobs: PlatformKnobs) -> None:
        self.knobs = knobs
        self._calls: Counter[tuple[str, str]] = Counter()
        self._rate = Rate()
        self._documents: dict[str, dict[int, bytes]] = {key: {} for key in KEYS}
        self._watches: dict[int, Watch] = {}

    def get(self, call: Watch, now_ms: float) -> list[Answer]:
        """Take a call.

        :param call: The call.
        :param now_ms: The time.
        :returns: The answers.
        """
        self._calls[call.key, call.reader] += 1
        fault = self._fault(call, now_ms)
        if fault is not None:
            return fault
        if call.key not in self._documents:
            return [Answer(call.exchange, 404, b'{"code":"no-such-key"}')]
        return self._read(call, now_ms)

    def publish(self, publication: Publication) -> list[Answer]:
        """Publish a document; one older than the newest is kept but not told.

        :param publication: The document with its key and revision.
        :returns: The answers to the watches that it ends.
        """
        revisions = self._documents[publication.key]
        revisions[publication.revision] = publication.document
        return self._end_watches()

    def change(self, knobs: PlatformKnobs) -> list[Answer]:
        """Set the knobs.

        :param knobs: All of them.
        :returns: The answers to the watches that this ends.
        """
        self.knobs = knobs
        return [] if knobs.hang else self._end_watches()

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

    def figures(self) -> dict[str, object]:
        """Give the counters.

        :returns: Calls by key and reader, calls above the rate, revisions, waiting watches.
        """
        calls: dict[str, dict[str, int]] = {}
        for (key, reader), number in self._calls.items():
            calls.setdefault(key, {})[reader] = number
        return {
            "calls": calls,
            "total": self._calls.total(),
            "over_rate": self._rate.refused,
            "most_in_a_second": self._rate.most,
            "watches": len(self._watches),
            "revisions": {key: self._newest(key) for key in KEYS},
        }

    def _fault(self, call: Watch, now_ms: float) -> list[Answer] | None:
        if self._is_cut_off(call):
            return [Answer(call.exchange, None)]
        if not self._rate.take(self.knobs.calls_per_s, now_ms):
            return [Answer(call.exchange, 503, b'{"code":"over-rate"}')]
        if self.knobs.hang:
            return []
        if self.knobs.down:
            return [Answer(call.exchange, 503, b'{"code":"down"}')]
        return None

    def _is_cut_off(self, call: Watch) -> bool:
        return self.knobs.unreachable or call.reader in self.knobs.cut_off

    def _read(self, call: Watch, now_ms: float) -> list[Answer]:
        if self._has_news(call):
            return [self._document(call)]
        if call.after is None:
            return [Answer(call.exchange, 404, b'{"code":"not-published"}')]
        if call.until_ms <= now_ms:
            return [Answer(call.exchange, 204)]
        self._watches[call.exchange] = call
        return []

    def _has_news(self, call: Watch) -> bool:
        revision = self._newest(call.key)
        return revision is not None and (call.after is None or revision > call.after)

    def _newest(self, key: str) -> int | None:
        revisions = self._documents[key]
        stale = self.knobs.stale_revision.get(key)
        return stale if stale in revisions else max(revisions, default=None)

    def _document(self, call: Watch) -> Answer:
        revision = self._newest(call.key)
        return Answer(call.exchange, 200, self._documents[call.key][revision], revision)

    def _end_watches(self) -> list[Answer]:
        answers = [self._ended(watch) for watch in self._watches.values()]
        ended = [answer for answer in answers if answer is not None]
        for answer in ended:
            del self._watches[answer.exchange]
        return ended

    def _ended(self, watch: Watch) -> Answer | None:
        if self._is_cut_off(watch):
            return Answer(watch.exchange, None)
        if self.knobs.hang:
            return None
        if self.knobs.down:
            return Answer(watch.exchange, 503, b'{"code":"down"}')
        return self._document(watch) if self._has_news(watch) else None
