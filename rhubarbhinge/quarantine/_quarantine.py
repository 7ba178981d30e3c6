"""Requests that end the searchers that execute them, as this entry knows them."""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Sequence

from rhubarbhinge.quarantine._recent_replies import RecentReplies
from rhubarbhinge.quarantine._request_watch import RequestWatch
from rhubarbhinge.quarantine._suspicion import CONVICTING_ENDS, Suspicion, bounded
from rhubarbhinge.quarantine._verdict import ALLOWED, ONE_FIRST, Quarantined, Verdict
from rhubarbhinge.telemetry import log_event

FIRST_REST_MS = 60_000.0
"""A request is refused for so long before it is tried again at one searcher. Shorter costs more
searchers where it still ends them, longer keeps one out that a new release of them can take."""
REST_FACTOR = 5.0
"""Each trial that fails makes the next rest so much longer: three trials take half an hour."""
MOST_REST_MS = 3_600_000.0
"""Longest rest: one searcher an hour at most is lost to one request."""
ANYBODY_AFTER_RESTS = 4.0
"""So many rests after the last end any entry may try it: callers may not reach the one that is
to."""
FORGOTTEN_AFTER_RESTS = 8.0
"""So many rests after the last end nothing is known against it any more."""
SUSPECT_KEPT_MS = 30_000.0
"""For so long a request under which one or two searchers ended goes to one searcher first."""
TRIAL_MS = 2_000.0
"""A trial that has not come out by then is taken for lost, and another request may be one."""
TRIAL_PAUSE_MS = 250.0
"""Callers come back after so long while a trial is under way, which takes some 50 ms."""
GOOD_MS = 2_000.0
"""A request to which a searcher replied within so long is not accused: many callers may send the
same one, and not all of them lose their searchers to it."""
CAUTION_REQUESTS = 3
"""So many different requests of one route that end searchers make every request of the route go to
one searcher first: someone sends ever new ones."""
CAUTION_MS = 60_000.0
"""For so long each of them counts for that."""
MOST_KNOWN = 256
"""Requests that something is known against, some 300 KB; the one accused the longest ago makes
room."""
NEWEST_TOLD = 3
"""Of what is known, the newest ride on each heartbeat, and as many others that are drawn: at most
700 bytes, so that three heartbeats a second stay under half of the 5 KB for all of control."""


class Quarantine:
    """Knows which requests end their searchers, and decides what becomes of them.

    Each attempt at a request is known by its fingerprint, whichever entry gets it. What an entry
    finds out it tells the others; nobody leads, and accounts join in any order. Without it one
    request took all 40 searchers of a service three times in nine seconds.

    :param now_ms: gives the time.
    :param may_try: tells whether this entry is the one to try a request again.
    :param on_news: told that there is something that the others should hear.
    :param rng: draws what is told besides the newest.
    """

    def __init__(
        self,
        now_ms: Callable[[], float],
        may_try: Callable[[str], bool],
        on_news: Callable[[], None],
        rng: random.Random,
    ):
        self._now_ms = now_ms
        self._may_try = may_try
        self._on_news = on_news
        self._rng = rng
        self._known: dict[str, Suspicion] = {}
        self._replies = RecentReplies(GOOD_MS)
        self._watches: dict[str, set[RequestWatch]] = defaultdict(set)
        self._trial_until_ms: dict[str, float] = {}
        self._caution_until_ms: dict[str, float] = {}
        self.refused = 0

    @property
    def convicted(self) -> int:
        """How many requests are refused now, or tried one at a time."""
        return sum(known.convicts for known in self._known.values())

    def verdict(self, fingerprint: str, route: str, spreads: bool = True) -> Verdict:
        """Decide what becomes of a request.

        :param fingerprint: the request.
        :param route: name of its route.
        :param spreads: whether it goes to many searchers at once, so that caution spares some.
        :returns: the decision.
        """
        if not self._known:
            return ALLOWED
        now_ms = self._now_ms()
        known = self._current(fingerprint, now_ms)
        if known is None or known.cleared:
            is_good = self._replies.has(fingerprint, now_ms)
            cautious = spreads and not is_good and self._is_cautious(route, now_ms)
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
        """Watch a request that is begun.

        :param fingerprint: the request.
        :param route: name of its route.
        :param one_first: whether it goes to one searcher first.
        :param on_stopped: told that no more of it may be sent.
        :returns: what its calls claim their attempts of.
        """

        def closed(watch: RequestWatch, marks: tuple[int, ...]) -> None:
            self._forget(fingerprint, watch)
            if marks and one_first and fingerprint not in self._known:
                self._caution_until_ms[route] = self._now_ms() + CAUTION_MS
            if marks:
                self._accuse(fingerprint, route, marks)

        watch = RequestWatch(one_first, on_stopped, lambda: self._replied(fingerprint), closed)
        self._watches[fingerprint].add(watch)
        return watch

    def on_routes(self, names: Collection[str]) -> None:
        """Forget what is known of routes that are no longer served.

        :param names: those that are.
        """
        for name in self._caution_until_ms.keys() - names:
            del self._caution_until_ms[name]

    def take(self, accounts: Sequence[Suspicion]) -> bool:
        """Take what another entry tells.

        :param accounts: its accounts.
        :returns: whether anything of it was new that others should hear at once.
        """
        before = {account.fingerprint: self._known.get(account.fingerprint) for account in accounts}
        for account in accounts:
            self._join(account, "peer")
        return any(
            _differs(known, self._known.get(fingerprint))
            and _is_urgent(self._known.get(fingerprint))
            for fingerprint, known in before.items()
        )

    def told(self) -> tuple[Suspicion, ...]:
        """Give what to tell others: the newest, and some of the rest.

        :returns: the accounts.
        """
        if not self._known:
            return ()
        self._expire()
        known = sorted(self._known.values(), key=lambda one: -one.since_ms)
        rest = known[NEWEST_TOLD:]
        return (*known[:NEWEST_TOLD], *self._rng.sample(rest, min(NEWEST_TOLD, len(rest))))

    def _replied(self, fingerprint: str) -> None:
        now_ms = self._now_ms()
        self._replies.add(fingerprint, now_ms)
        known = self._known.get(fingerprint)
        if known is not None and not known.cleared:
            self._join(
                Suspicion(fingerprint, known.route, known.round, True, frozenset(), now_ms), "reply"
            )
            self._on_news()

    def _accuse(self, fingerprint: str, route: str, marks: tuple[int, ...]) -> None:
        now_ms = self._now_ms()
        if not fingerprint or self._replies.has(fingerprint, now_ms):
            return
        known = self._current(fingerprint, now_ms)
        round_, found = 1, bounded(marks)
        if known is not None:
            failed_trial = known.convicts and now_ms - known.since_ms >= _rest_ms(known.round)
            round_ = known.round + (known.cleared or failed_trial)
            if failed_trial:
                found = bounded(found | known.marks)
        self._join(Suspicion(fingerprint, route, round_, False, found, now_ms), "here")
        if _is_urgent(self._known[fingerprint]):
            self._on_news()

    def _join(self, account: Suspicion, source: str) -> None:
        known = self._known.get(account.fingerprint)
        joined = account if known is None else known.joined(account)
        if joined == known:
            return
        self._make_room(account.fingerprint)
        self._known[account.fingerprint] = joined
        if _differs(known, joined):
            _log(joined, source)
        if joined.convicts:
            for watch in list(self._watches.get(account.fingerprint, ())):
                if not watch.is_trial:
                    watch.stop()

    def _wait_ms(self, known: Suspicion, now_ms: float) -> float:
        """Tell how long a request has to wait before it may go to one searcher; 0 for now."""
        trial_until_ms = self._trial_until_ms.get(known.fingerprint, 0.0)
        if now_ms < trial_until_ms:
            return TRIAL_PAUSE_MS
        if not known.convicts:
            return 0.0
        rest_ms = _rest_ms(known.round)
        age_ms = now_ms - known.since_ms
        if age_ms < rest_ms:
            return rest_ms - age_ms
        anybody_ms = ANYBODY_AFTER_RESTS * rest_ms
        if age_ms >= anybody_ms or self._may_try(known.fingerprint):
            return 0.0
        return min(anybody_ms - age_ms, FIRST_REST_MS)

    def _is_cautious(self, route: str, now_ms: float) -> bool:
        if now_ms < self._caution_until_ms.get(route, 0.0):
            return True
        recent = Counter(
            known.route
            for known in self._known.values()
            if known.convicts and now_ms - known.since_ms < CAUTION_MS
        )
        return recent[route] >= CAUTION_REQUESTS

    def _current(self, fingerprint: str, now_ms: float) -> Suspicion | None:
        known = self._known.get(fingerprint)
        if known is not None and now_ms - known.since_ms > _kept_ms(known):
            self._drop(fingerprint)
            return None
        return known

    def _expire(self) -> None:
        now_ms = self._now_ms()
        for fingerprint in list(self._known):
            self._current(fingerprint, now_ms)

    def _make_room(self, fingerprint: str) -> None:
        if fingerprint in self._known or len(self._known) < MOST_KNOWN:
            return
        oldest = min(self._known.values(), key=lambda one: (one.convicts, one.since_ms))
        self._drop(oldest.fingerprint)

    def _drop(self, fingerprint: str) -> None:
        del self._known[fingerprint]
        self._trial_until_ms.pop(fingerprint, None)

    def _forget(self, fingerprint: str, watch: RequestWatch) -> None:
        watches = self._watches[fingerprint]
        watches.discard(watch)
        if not watches:
            del self._watches[fingerprint]
        if watch.is_trial:
            self._trial_until_ms.pop(fingerprint, None)


def _rest_ms(round_: int) -> float:
    return min(MOST_REST_MS, FIRST_REST_MS * REST_FACTOR ** min(round_ - 1, 10))


def _kept_ms(known: Suspicion) -> float:
    # What clears a request is kept for as long as a conviction: an entry that was cut off meanwhile
    # would bring that back.
    if not known.cleared and len(known.marks) < CONVICTING_ENDS:
        return SUSPECT_KEPT_MS
    return FORGOTTEN_AFTER_RESTS * _rest_ms(known.round)


def _is_urgent(known: Suspicion | None) -> bool:
    """Tell whether others should hear it at once.

    One end alone may be chance, and is left to heartbeats: a crash of many searchers would set off
    a burst of news otherwise.
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
            quarantined=known.convicts,
            source=source,
        )


def _differs(before: Suspicion | None, after: Suspicion | None) -> bool:
    """Tell whether an account says more than before, times aside."""
    if before is None or after is None:
        return before is not after
    return (before.round, before.cleared, before.marks) != (
        after.round,
        after.cleared,
        after.marks,
    )
