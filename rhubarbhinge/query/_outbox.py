"""Collects sub-queries and cancels, so that each relay gets one message."""

from collections import defaultdict

from rhubarbhinge.query._call import Call, Part
from rhubarbhinge.query._effects import SendBatch, SendCancel
from rhubarbhinge.query._relaytarget import RelayTarget
from rhubarbhinge.wire import CancelBatch, SubBatch

_Row = tuple[int, int, int, int, int]


class Outbox:
    """Sub-queries and cancels on their way to relays."""

    def __init__(self) -> None:
        self._rows: dict[tuple[RelayTarget, int], list[_Row]] = defaultdict(list)
        self._calls: dict[int, Call] = {}
        self._cancels: dict[str, list[tuple[int, int, int]]] = defaultdict(list)

    def send(self, target: RelayTarget, call: Call, part: Part, attempt: int, to: int) -> None:
        """Put a sub-query in.

        :param target: the relay.
        :param call: the call.
        :param part: the part.
        :param attempt: the attempt's number.
        :param to: the searcher.
        """
        self._calls[call.call_id] = call
        row = (part.number, attempt, to, part.tile.lo, part.tile.hi)
        self._rows[target, call.call_id].append(row)

    def cancel(self, relay: str, call_id: int, part: int, attempt: int) -> None:
        """Put a cancel in.

        :param relay: the relay's node name.
        :param call_id: the call.
        :param part: the part's number.
        :param attempt: the attempt's number.
        """
        self._cancels[relay].append((call_id, part, attempt))

    def flush(self, now_ms: float, margin_ms: float) -> list[SendBatch | SendCancel]:
        """Take everything out.

        :param now_ms: the time.
        :param margin_ms: kept back from each call's deadline.
        :returns: one message for each relay and call, and one with cancels for each relay.
        """
        effects: list[SendBatch | SendCancel] = []
        for (target, call_id), rows in self._rows.items():
            batch = _batch(self._calls[call_id], target, rows, now_ms, margin_ms)
            effects.append(SendBatch(target.name, batch))
        for relay, cancels in self._cancels.items():
            effects.append(SendCancel(relay, CancelBatch(*zip(*cancels, strict=True))))
        self._rows.clear()
        self._calls.clear()
        self._cancels.clear()
        return effects


def _batch(
    call: Call, target: RelayTarget, rows: list[_Row], now_ms: float, margin_ms: float
) -> SubBatch:
    request = call.request
    left_ms = max(1, int(call.deadline_ms - margin_ms - now_ms))
    columns = zip(*rows, strict=True)
    return SubBatch(
        call.call_id,
        target.incarnation,
        request.register_revision,
        request.collection,
        call.plan.version,
        request.text,
        request.limit,
        left_ms,
        request.traffic_class.weight,
        *columns,
    )
