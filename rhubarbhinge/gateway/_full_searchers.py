"""Exchanges reports of searchers that refuse many requests with the entries of a failure domain."""

from collections.abc import Callable, Iterable

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.members import MAX_FULL_SEARCHERS, FullSearcher

MIN_REPORTED_SHARE = 0.3
"""Refusal rate from which a searcher is reported: two refusals in a row, as a single one may be due
to a coincidence of requests."""
REPORT_MAX_AGE_MS = 3_000.0
"""Older observations are not reported, as receivers drop them."""
PERMILLE = 1_000


class FullSearchers:
    """Reports own observations of full searchers, and applies those of other entries.

    Only own observations are reported, so that a report ends with the observations of its sender.

    :param fleet: the searchers.
    :param now_ms: returns the current time.
    :ivar applied: number of reports applied since startup.
    """

    def __init__(self, fleet: Fleet, now_ms: Callable[[], float]):
        self._fleet = fleet
        self._now_ms = now_ms
        self.applied = 0

    def report(self) -> tuple[FullSearcher, ...]:
        """Return the searchers that refuse the largest share of this entry's requests.

        :returns: the reports, highest share first.
        """
        now_ms = self._now_ms()
        found = []
        for observed in self._fleet.all():
            # The share as of the last observation is an upper bound that is cheap to read.
            if observed.last_refusal_share < MIN_REPORTED_SHARE or not observed.usable:
                continue
            share = observed.own_refusal_share(now_ms)
            if share >= MIN_REPORTED_SHARE and observed.refusal_age_ms(now_ms) < REPORT_MAX_AGE_MS:
                found.append((share, observed))
        found.sort(key=lambda one: one[0], reverse=True)
        return tuple(
            FullSearcher(
                observed.start.mark,
                round(observed.last_refusal_share * PERMILLE),
                round(observed.refusal_age_ms(now_ms), 1),
            )
            for _, observed in found[:MAX_FULL_SEARCHERS]
        )

    def receive(self, reports: Iterable[FullSearcher]) -> None:
        """Apply the reports of another entry; those of unknown searchers are ignored.

        :param reports: the reports.
        """
        now_ms = self._now_ms()
        for one in reports:
            observed = self._fleet.by_mark(one.mark)
            if observed is not None:
                share = one.refused_permille / PERMILLE
                self.applied += observed.on_refusals_reported(share, one.age_ms, now_ms)
