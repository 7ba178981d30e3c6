"""State that the steps of all queries of one entry share."""

import random
from collections.abc import Callable

from rhubarbhinge.query._budget import ExtraLoadBudget
from rhubarbhinge.query._call import Call
from rhubarbhinge.query._catalog import Catalog
from rhubarbhinge.query._latency import LatencyWindow
from rhubarbhinge.query._openqueries import OpenQueries
from rhubarbhinge.query._outbox import Outbox
from rhubarbhinge.query._policy import QueryPolicy
from rhubarbhinge.query._relaytarget import RelayTarget
from rhubarbhinge.query._scores import ReplicaScores

RelayOf = Callable[[int], RelayTarget | None]
IsExpected = Callable[[int], bool]


class QueryState:
    """What beginning, sending, hedging and ending a query work on.

    :param policy: constants and switches.
    :param catalog: what the searchers announce.
    :param relay_of: gives the relay that owns a searcher, None when there is none to send to.
    :param rng: source of random choices.
    :param is_expected: tells whether a searcher without a relay will have one again soon.
    :ivar scores: what was seen of each searcher.
    :ivar outbox: messages to relays.
    :ivar open: the open queries.
    :ivar budgets: by traffic class.
    :ivar latencies: by collection.
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
        relay_of: RelayOf,
        rng: random.Random,
        is_expected: IsExpected,
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
        self.latencies: dict[str, LatencyWindow] = {}

    def budget(self, call: Call) -> ExtraLoadBudget:
        """Give the budget of a query's traffic class.

        :param call: the query.
        :returns: the budget, new when the class had none.
        """
        name = call.request.traffic_class.name
        budget = self.budgets.get(name)
        if budget is None:
            budget = self.budgets[name] = ExtraLoadBudget(
                self.policy.budget_tokens, self.policy.floor_period_ms
            )
        return budget

    def window(self, call: Call) -> LatencyWindow:
        """Give the latencies of a query's collection.

        :param call: the query.
        :returns: the latencies, none yet when the collection is new.
        """
        name = call.request.collection
        window = self.latencies.get(name)
        if window is None:
            window = self.latencies[name] = LatencyWindow()
        return window
