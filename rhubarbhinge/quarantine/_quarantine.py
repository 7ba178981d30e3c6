"""Quarantine of requests that crash searchers, as known to this entry."""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Sequence

from rhubarbhinge.quarantine._decision import ALLOWED, ONE_FIRST, Decision, Quarantined
from rhubarbhinge.quarantine._recent_replies import RecentReplies
from rhubarbhinge.quarantine._request_watch import RequestWatch
from rhubarbhinge.quarantine._suspicion import CRASHES_TO_QUARANTINE, Suspicion, limit_marks
from rhubarbhinge.telemetry import log_event

INITIAL_QUARANTINE_MS = 60_000.0
"""Duration of the first quarantine, after which the request is tried at one searcher. A shorter one
costs more searchers while the request still crashes them; a longer one delays a request that a new
release of the searchers can handle."""
QUARANTINE_GROWTH_FACTOR = 5.0
"""Factor by which each failed trial extends the next quarantine: three trials take half an hour."""
MAX_QUARANTINE_MS = 3_600_000.0
"""Maximum duration: one request costs at most one searcher per hour."""
ANY_ENTRY_TRIAL_PERIODS = 4.0
"""Number of quarantine durations since the last crash after which any entry may start a trial, as
callers may not reach the entry that is assigned to it."""
EXPIRY_PERIODS = 8.0
"""Number of quarantine durations since the last crash after which the suspicion expires."""
SUSPICION_TTL_MS = 30_000.0
"""How long a request that crashed one or two searchers is sent to one searcher first."""
TRIAL_MS = 2_000.0
"""Timeout after which a trial without an outcome is considered lost, and another may be started."""
TRIAL_PAUSE_MS = 250.0
"""Retry delay reported to callers during a trial, which takes about 50 ms."""
RECENT_REPLY_MS = 2_000.0
"""A request that got a reply within this time is not suspected: many callers may send the same
request, and not every crash during it is caused by it."""
CAUTION_REQUESTS = 3
"""Number of different quarantined requests of one route from which on every request of the route is
sent to one searcher first, as someone keeps sending new requests that crash searchers."""
CAUTION_WINDOW_MS = 60_000.0
"""How long each of them counts towards that number."""
MAX_SUSPICIONS = 256
"""Maximum number of suspicions kept, about 300 KB; the least recently suspected one is evicted."""
NEWEST_SENT = 3
"""Each heartbeat carries this many of the newest suspicions, and as many randomly drawn others: at
most 700 bytes, so that three heartbeats a second use less than half of the 5 KB/s available for all
control traffic."""


class Quarantine:
    """Tracks requests that crash searchers, and decides whether a request may be sent.

    Requests are identified by fingerprint, so that all attempts at one request are recognized at
    every entry. Entries exchange what they find without a leader; suspicions merge in any order.
    Without the quarantine, a single request took down all 40 searchers of a service three times
    within nine seconds.

    :param now_ms: returns the current time.
    :param may_try: tells whether this entry is the one assigned to trials of a request.
    :param on_urgent_update: called when there is an update that other entries should receive at
        once.
    :param rng: draws the older suspicions to send.
    """

    def __init__(
        self,
        now_ms: Callable[[], float],
        may_try: Callable[[str], bool],
        on_urgent_update: Callable[[], None],
        rng: random.Random,
    ):
        self._now_ms = now_ms
        self._may_try = may_try
        self._on_urgent_update = on_urgent_update
        self._rng = rng
        self._known: dict[str, Suspicion] = {}
        self._replies = RecentReplies(RECENT_REPLY_MS)
        self._watches: dict[str, set[RequestWatch]] = defaultdict(set)
        self._trial_until_ms: dict[str, float] = {}
        self._caution_until_ms: dict[str, float] = {}
        self.refused = 0

    @property
    def quarantined_count(self) -> int:
        """Number of requests that are currently refused or limited to trials."""
        return sum(known.quarantined for known in self._known.values())

    def decide(self, fingerprint: str, route: str, fans_out: bool = True) -> Decision:
        """Decide whether a request may be sent.

        :param fingerprint: fingerprint of the request.
        :param route: name of the route.
        :param fans_out: whether the request is sent to many searchers at once, so that sending it
            to one first protects the others.
        :returns: the decision.
        """
        if not self._known:
            return ALLOWED
        now_ms = self._now_ms()
        known = self._unexpired(fingerprint, now_ms)
        if known is None or known.cleared:
            has_recent_reply = self._replies.has(fingerprint, now_ms)
            cautious = fans_out and not has_recent_reply and self._is_cautious(route, now_ms)
            return ONE_FIRST if cautious else ALLOWED
        wait_ms = self._wait_ms(known, now_ms)
        if wait_ms > 0.0:
            self.refused += 1
            return Quarantined(len(known.marks), wait_ms)
        self._trial_until_ms[fingerprint] = now_ms + TRIAL_MS
        return ONE_FIRST

    def watch(
        self, fingerprint: str, route: str, one_first: bool, on_stopped: Callable[[], None]
    ) -> RequestWatch:
        """Start monitoring a request.

        :param fingerprint: fingerprint of the request.
        :param route: name of the route.
        :param one_first: whether the request is sent to one searcher first.
        :param on_stopped: called when the request must not be sent any more.
        :returns: attempt control for the calls of the request.
        """

        def closed(watch: RequestWatch, marks: tuple[int, ...]) -> None:
            self._remove_watch(fingerprint, watch)
            if marks and one_first and fingerprint not in self._known:
                self._caution_until_ms[route] = self._now_ms() + CAUTION_WINDOW_MS
            if marks:
                self._record_crashes(fingerprint, route, marks)

        watch = RequestWatch(one_first, on_stopped, lambda: self._replied(fingerprint), closed)
        self._watches[fingerprint].add(watch)
        return watch

    def on_routes(self, names: Collection[str]) -> None:
        """Discard the state of routes that are no longer served.

        :param names: names of the routes that are served.
        """
        for name in self._caution_until_ms.keys() - names:
            del self._caution_until_ms[name]

    def merge(self, updates: Sequence[Suspicion]) -> bool:
        """Merge the suspicions sent by another entry.

        :param updates: the suspicions.
        :returns: True if they contained news that further entries should receive at once.
        """
        before = {update.fingerprint: self._known.get(update.fingerprint) for update in updates}
        for update in updates:
            self._merge(update, "peer")
        return any(
            _differs(known, self._known.get(fingerprint))
            and _is_urgent(self._known.get(fingerprint))
            for fingerprint, known in before.items()
        )

    def suspicions_to_send(self) -> tuple[Suspicion, ...]:
        """Return the suspicions to send to other entries: the newest, and a sample of the older
        ones.

        :returns: the suspicions.
        """
        if not self._known:
            return ()
        self._expire()
        known = sorted(self._known.values(), key=lambda one: -one.since_ms)
        older = known[NEWEST_SENT:]
        return (*known[:NEWEST_SENT], *self._rng.sample(older, min(NEWEST_SENT, len(older))))

    def _replied(self, fingerprint: str) -> None:
        now_ms = self._now_ms()
        self._replies.add(fingerprint, now_ms)
        known = self._known.get(fingerprint)
        if known is not None and not known.cleared:
            self._merge(
                Suspicion(fingerprint, known.route, known.round, True, frozenset(), now_ms), "reply"
            )
            self._on_urgent_update()

    def _record_crashes(self, fingerprint: str, route: str, marks: tuple[int, ...]) -> None:
        now_ms = self._now_ms()
        if not fingerprint or self._replies.has(fingerprint, now_ms):
            return
        known = self._unexpired(fingerprint, now_ms)
        round_, found = 1, limit_marks(marks)
        if known is not None:
            failed_trial = known.quarantined and now_ms - known.since_ms >= _period_ms(known.round)
            round_ = known.round + (known.cleared or failed_trial)
            if failed_trial:
                found = limit_marks(found | known.marks)
        self._merge(Suspicion(fingerprint, route, round_, False, found, now_ms), "here")
        if _is_urgent(self._known[fingerprint]):
            self._on_urgent_update()

    def _merge(self, update: Suspicion, source: str) -> None:
        known = self._known.get(update.fingerprint)
        merged = update if known is None else known.merged_with(update)
        if merged == known:
            return
        self._evict_oldest(update.fingerprint)
        self._known[update.fingerprint] = merged
        if _differs(known, merged):
            _log(merged, source)
        if merged.quarantined:
            for watch in list(self._watches.get(update.fingerprint, ())):
                if not watch.is_trial:
                    watch.stop()

    def _wait_ms(self, known: Suspicion, now_ms: float) -> float:
        """Return the time until a request may be sent to one searcher; 0 if it may be sent now."""
        trial_until_ms = self._trial_until_ms.get(known.fingerprint, 0.0)
        if now_ms < trial_until_ms:
            return TRIAL_PAUSE_MS
        if not known.quarantined:
            return 0.0
        quarantine_ms = _period_ms(known.round)
        age_ms = now_ms - known.since_ms
        if age_ms < quarantine_ms:
            return quarantine_ms - age_ms
        any_entry_ms = ANY_ENTRY_TRIAL_PERIODS * quarantine_ms
        if age_ms >= any_entry_ms or self._may_try(known.fingerprint):
            return 0.0
        return min(any_entry_ms - age_ms, INITIAL_QUARANTINE_MS)

    def _is_cautious(self, route: str, now_ms: float) -> bool:
        if now_ms < self._caution_until_ms.get(route, 0.0):
            return True
        recent = Counter(
            known.route
            for known in self._known.values()
            if known.quarantined and now_ms - known.since_ms < CAUTION_WINDOW_MS
        )
        return recent[route] >= CAUTION_REQUESTS

    def _unexpired(self, fingerprint: str, now_ms: float) -> Suspicion | None:
        known = self._known.get(fingerprint)
        if known is not None and now_ms - known.since_ms > _ttl_ms(known):
            self._drop(fingerprint)
            return None
        return known

    def _expire(self) -> None:
        now_ms = self._now_ms()
        for fingerprint in list(self._known):
            self._unexpired(fingerprint, now_ms)

    def _evict_oldest(self, fingerprint: str) -> None:
        if fingerprint in self._known or len(self._known) < MAX_SUSPICIONS:
            return
        oldest = min(self._known.values(), key=lambda one: (one.quarantined, one.since_ms))
        self._drop(oldest.fingerprint)

    def _drop(self, fingerprint: str) -> None:
        del self._known[fingerprint]
        self._trial_until_ms.pop(fingerprint, None)

    def _remove_watch(self, fingerprint: str, watch: RequestWatch) -> None:
        watches = self._watches[fingerprint]
        watches.discard(watch)
        if not watches:
            del self._watches[fingerprint]
        if watch.is_trial:
            self._trial_until_ms.pop(fingerprint, None)


def _period_ms(round_: int) -> float:
    return min(
        MAX_QUARANTINE_MS, INITIAL_QUARANTINE_MS * QUARANTINE_GROWTH_FACTOR ** min(round_ - 1, 10)
    )


def _ttl_ms(known: Suspicion) -> float:
    # A clearance is kept as long as a quarantine; otherwise an entry that was disconnected in the
    # meantime could reintroduce the quarantine.
    if not known.cleared and len(known.marks) < CRASHES_TO_QUARANTINE:
        return SUSPICION_TTL_MS
    return EXPIRY_PERIODS * _period_ms(known.round)


def _is_urgent(known: Suspicion | None) -> bool:
    """Check whether other entries should be notified at once.

    A single crash may be coincidental and is only sent with heartbeats; otherwise a simultaneous
    crash of many searchers would cause a burst of messages.
    """
    return known is not None and (known.cleared or len(known.marks) > 1)


def _log(known: Suspicion, source: str) -> None:
    if known.cleared:
        log_event(
            "request-cleared",
            fingerprint=known.fingerprint,
            route=known.route,
            round=known.round,
            source=source,
        )
    else:
        log_event(
            "request-suspected",
            level="warning",
            fingerprint=known.fingerprint,
            route=known.route,
            ended=len(known.marks),
            round=known.round,
            quarantined=known.quarantined,
            source=source,
        )


def _differs(before: Suspicion | None, after: Suspicion | None) -> bool:
    """Check whether two suspicions differ, ignoring their times."""
    if before is None or after is None:
        return before is not after
    return (before.round, before.cleared, before.marks) != (
        after.round,
        after.cleared,
        after.marks,
    )
