"""State shared by all queries of one entry."""

import random
from collections.abc import Callable

from rhubarbhinge.query._catalog import Catalog
from rhubarbhinge.query._extra_load_budget import ExtraLoadBudget
from rhubarbhinge.query._latency_histogram import LatencyHistogram
from rhubarbhinge.query._open_queries import OpenQueries
from rhubarbhinge.query._outbox import Outbox
from rhubarbhinge.query._policy import QueryPolicy
from rhubarbhinge.query._query import Query
from rhubarbhinge.query._relay_target import RelayTarget
from rhubarbhinge.query._replica_scores import ReplicaScores

FindRelay = Callable[[int], RelayTarget | None]
IsRelayExpected = Callable[[int], bool]


class SharedQueryState:
    """State shared by all queries of one entry.

    :param policy: constants and switches.
    :param catalog: the searchers' announcements.
    :param relay_of: returns the relay that owns a searcher, or None when no relay is reachable.
    :param rng: source of random choices.
    :param is_expected: returns whether a searcher without a relay is expected to have one again
        soon.
    :ivar scores: latency and load observed for each searcher.
    :ivar outbox: pending messages to relays.
    :ivar open: the open queries.
    :ivar budgets: extra load budgets by name of the traffic class.
    :ivar latencies: latency histograms by name of the collection.
    """

    __slots__ = (
        "policy",
        "catalog",
        "relay_of",
        "is_expected",
        "rng",
        "scores",
        "outbox",
        "open",
        "budgets",
        "latencies",
    )

    def __init__(
        self,
        policy: QueryPolicy,
        catalog: Catalog,
        relay_of: FindRelay,
        rng: random.Random,
        is_expected: IsRelayExpected,
    ) -> None:
        self.policy = policy
        self.catalog = catalog
        self.relay_of = relay_of
        self.is_expected = is_expected
        self.rng = rng
        self.scores = ReplicaScores()
        self.outbox = Outbox()
        self.open = OpenQueries()
        self.budgets: dict[str, ExtraLoadBudget] = {}
        self.latencies: dict[str, LatencyHistogram] = {}

    def budget(self, query: Query) -> ExtraLoadBudget:
        """Return the budget of a query's traffic class.

        :param query: the query.
        :returns: the budget, created on first use.
        """
        name = query.request.traffic_class.name
        budget = self.budgets.get(name)
        if budget is None:
            budget = self.budgets[name] = ExtraLoadBudget(
                self.policy.max_budget_tokens, self.policy.floor_interval_ms
            )
        return budget

    def latency_histogram(self, query: Query) -> LatencyHistogram:
        """Return the latency histogram of a query's collection.

        :param query: the query.
        :returns: the histogram, created on first use.
        """
        name = query.request.collection
        window = self.latencies.get(name)
        if window is None:
            window = self.latencies[name] = LatencyHistogram()
        return window
