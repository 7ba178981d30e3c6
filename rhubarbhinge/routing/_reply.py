"""Effect: answer a sub-query."""

from typing import NamedTuple


class Reply(NamedTuple):
    """Answer one sub-query; the shell batches the answers of one turn for each peer.

    A named tuple and no frozen data class: one is made for each sub-query, and a frozen data class
    of nine fields takes three times as long to make.

    :param peer: the entry's link.
    :param call_id: the call.
    :param part: part number within the call.
    :param attempt: attempt number within the part.
    :param code: a :class:`rhubarbhinge.wire.SubCode` value.
    :param retry_after_ms: when to come back, for refusals; else 0.
    :param queue_ms: time in the queue.
    :param service_ms: time between sending and the answer.
    :param body: the searcher's answer, or empty.
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
