"""Test harness of the query core with given searchers and relays."""

import random

from rhubarbhinge.query import Catalog, QueryCore, QueryPolicy, RelayTarget, SendBatch, SendCancel
from rhubarbhinge.query.tests import builders
from rhubarbhinge.wire import SubCode


class CoreHarness:
    """A query core whose searcher n is owned by relay "r<n>" by default."""

    def __init__(self, holdings, traffic=None, **policy):
        self.catalog = Catalog()
        self.relays = {number: RelayTarget(f"r{number}", 1) for number in holdings}
        self.traffic = traffic or builders.traffic_class(extra_load=1.0)
        for number, spans in holdings.items():
            self.catalog.on_holdings(builders.holding(number, spans))
        policy = QueryPolicy(initial_hedge_delay_ms=30.0, **policy)
        self.expected = set()
        self.core = QueryCore(
            policy, self.catalog, self.relays.get, random.Random(1), self.expected.__contains__
        )
        self.version = 1

    def start(self, now_ms=0.0, number=1, **changed):
        search = builders.request(number, self.traffic, **changed)
        return self.core.start(search, now_ms)

    def sends(self, effects):
        """Return the (part, attempt, searcher, lo, hi) rows of sub-queries to send."""
        batches = [effect.batch for effect in effects if isinstance(effect, SendBatch)]
        return [row for batch in batches for row in builders.rows_of(batch)]

    def answer(self, row, now_ms=10.0, outcome=SubCode.ANSWERED, wait_ms=0, body=None, **changed):
        part, attempt, number, lo, hi = row
        if body is None and outcome == SubCode.ANSWERED:
            body = builders.answer_body(self.version, lo, hi, **changed)
        reply = builders.reply((1, part, attempt, outcome, wait_ms, body or b""))
        return self.core.on_reply(self.relays[number].name, reply, now_ms)

    def tokens(self):
        return self.core._state.budgets[self.traffic.name]._tokens


def cancels(effects):
    batches = [effect.batch for effect in effects if isinstance(effect, SendCancel)]
    return [
        row
        for batch in batches
        for row in zip(batch.call_ids, batch.parts, batch.attempts, strict=True)
    ]
