"""Sub-queries as the searchers and the entries count them."""

import re
import urllib.request
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from standins.fleet import call
from tools.bench._tenant import Tenant

_SUB_QUERIES = re.compile(r'^rhubarbhinge_sub_queries_total\{.*kind="(\w+)"\} ([0-9.e+]+)$', re.M)
_SEARCHER_FIGURES = ("searches", "started", "searched", "shed", "cancelled", "late", "waited")


@dataclass(frozen=True, slots=True)
class SearcherCounts:
    """What one searcher counted since its start.

    :param incarnation: its life.
    :param counts: by name.
    """

    incarnation: int
    counts: Mapping[str, float]


class Counts:
    """Sums what is counted while a cell runs, over restarts of searchers.

    :param tenant: the tenant.
    """

    def __init__(self, tenant: Tenant) -> None:
        self._tenant = tenant
        self._totals: Counter[str] = Counter()
        self._searchers = self._read_searchers()
        self._entries = self._read_entries()

    def add(self) -> None:
        """Add what was counted since the last reading; call it before searchers start anew."""
        searchers, entries = self._read_searchers(), self._read_entries()
        for name, now in searchers.items():
            self._totals.update(_gained(self._searchers[name], now))
        self._totals.update({key: entries[key] - self._entries[key] for key in entries})
        self._searchers, self._entries = searchers, entries

    def totals(self) -> dict[str, float]:
        """Give the sums.

        :returns: searchers' figures by name; the entries' ``base``, ``hedge`` and ``retry``.
        """
        return dict(self._totals)

    def _read_searchers(self) -> dict[str, SearcherCounts]:
        found = {}
        for process in self._tenant.searcher_processes():
            for name, shown in call(process.control_port, "/standin").items():
                figures = {key: shown["figures"][key] for key in _SEARCHER_FIGURES}
                found[name] = SearcherCounts(shown["incarnation"], figures)
        return found

    def _read_entries(self) -> Counter[str]:
        found: Counter[str] = Counter()
        for port in self._tenant.entry_ports():
            with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics", timeout=5.0) as page:
                found.update(sub_queries(page.read().decode()))
        return found


def sub_queries(page: str) -> Counter[str]:
    """Read the sub-queries by kind from a metrics page.

    :param page: the page in the Prometheus text format.
    :returns: the sums over all classes.
    """
    found: Counter[str] = Counter()
    for kind, number in _SUB_QUERIES.findall(page):
        found[kind] += float(number)
    return found


def _gained(before: SearcherCounts, now: SearcherCounts) -> Counter[str]:
    if before.incarnation != now.incarnation:
        return Counter(now.counts)
    return Counter({key: now.counts[key] - before.counts[key] for key in now.counts})
