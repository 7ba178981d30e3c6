"""Effect: answer a sub-query."""

from typing import NamedTuple


class Reply(NamedTuple):
    """Answer one sub-query; the shell batches each peer's replies of one event loop iteration.

    A named tuple rather than a frozen dataclass: one is created for each sub-query, and creating a
    frozen dataclass of nine fields takes three times as long.

    :param peer: the entry's link.
    :param call_id: the call.
    :param part: part number within the call.
    :param attempt: attempt number within the part.
    :param code: a :class:`rhubarbhinge.wire.SubCode` value.
    :param retry_after_ms: retry-after in ms for refusals, otherwise 0.
    :param queue_ms: time in the queue.
    :param service_ms: time between sending and the answer.
    :param body: response body of the searcher, or empty.
    """

    peer: str
    call_id: int
    part: int
    attempt: int
    code: int
    retry_after_ms: int
    queue_ms: int
    service_ms: int
    body: bytes
