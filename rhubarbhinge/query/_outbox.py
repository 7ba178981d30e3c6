"""Batching of sub-queries and cancellations into messages to relays."""

from collections import defaultdict

from rhubarbhinge.query._effects import SendBatch, SendCancel
from rhubarbhinge.query._query import Part, Query
from rhubarbhinge.query._relay_target import RelayTarget
from rhubarbhinge.wire import CancelBatch, SubBatch

_Row = tuple[int, int, int, int, int]


class Outbox:
    """Pending sub-queries and cancellations, batched by relay."""

    def __init__(self) -> None:
        self._rows: dict[tuple[RelayTarget, int], list[_Row]] = defaultdict(list)
        self._queries: dict[int, Query] = {}
        self._cancels: dict[str, list[tuple[int, int, int]]] = defaultdict(list)

    def send(
        self, target: RelayTarget, query: Query, part: Part, attempt: int, upstream_id: int
    ) -> None:
        """Add a sub-query.

        :param target: the relay.
        :param query: the query.
        :param part: the part.
        :param attempt: the attempt's number.
        :param upstream_id: the searcher.
        """
        self._queries[query.call_id] = query
        row = (part.number, attempt, upstream_id, part.key_range.lo, part.key_range.hi)
        self._rows[target, query.call_id].append(row)

    def cancel(self, relay: str, call_id: int, part: int, attempt: int) -> None:
        """Add a cancellation.

        :param relay: the relay's node name.
        :param call_id: the query's sequence number.
        :param part: the part's number.
        :param attempt: the attempt's number.
        """
        self._cancels[relay].append((call_id, part, attempt))

    def flush(self, now_ms: float, margin_ms: float) -> list[SendBatch | SendCancel]:
        """Remove and return all pending messages.

        :param now_ms: current time in ms.
        :param margin_ms: subtracted from each query's deadline.
        :returns: one batch of sub-queries for each relay and query, and one batch of cancellations
            for each relay.
        """
        effects: list[SendBatch | SendCancel] = []
        for (target, call_id), rows in self._rows.items():
            batch = _batch(self._queries[call_id], target, rows, now_ms, margin_ms)
            effects.append(SendBatch(target.name, batch))
        for relay, cancels in self._cancels.items():
            effects.append(SendCancel(relay, CancelBatch(*zip(*cancels, strict=True))))
        self._rows.clear()
        self._queries.clear()
        self._cancels.clear()
        return effects


def _batch(
    query: Query, target: RelayTarget, rows: list[_Row], now_ms: float, margin_ms: float
) -> SubBatch:
    request = query.request
    left_ms = max(1, int(query.deadline_ms - margin_ms - now_ms))
    columns = zip(*rows, strict=True)
    return SubBatch(
        query.call_id,
        target.incarnation,
        request.register_revision,
        request.collection,
        query.plan.version,
        request.text,
        request.limit,
        left_ms,
        request.traffic_class.weight,
        *columns,
    )
