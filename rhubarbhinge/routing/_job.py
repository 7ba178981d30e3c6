"""One request in a searcher's queue or in flight."""

from typing import Any


class Job:
    """A sub-query or a run; mutable, and slotted since there is one for each request.

    :param peer: the entry's link.
    :param key: call, part and attempt of a sub-query; the ticket of a run.
    :param upstream: the searcher's state.
    :param weight: its class's weight.
    :param queued_ms: when it came.
    :param due_ms: when its answer has to be back at the relay.
    :param call: the call as the searcher knows it; empty for a run.
    :param head: the JSON body up to the deadline.
    :param tail: the JSON body after the deadline.
    """

    __slots__ = (
        "call",
        "connection",
        "due_ms",
        "head",
        "key",
        "peer",
        "queued_ms",
        "sent_ms",
        "state",
        "tail",
        "upstream",
        "weight",
    )

    #: Waits in the queue.
    QUEUED = 0
    #: Sent, and its outcome is still wanted.
    SENT = 1
    #: Its outcome was given, or nobody wants it any more.
    DONE = 2

    def __init__(
        self,
        peer: str,
        key: Any,
        upstream: Any,
        weight: int,
        queued_ms: int,
        due_ms: int,
        call: bytes,
        head: bytes,
        tail: bytes,
    ) -> None:
        self.peer = peer
        self.key = key
        self.upstream = upstream
        self.weight = weight
        self.queued_ms = queued_ms
        self.due_ms = due_ms
        self.call = call
        self.head = head
        self.tail = tail
        self.state = Job.QUEUED
        self.sent_ms = 0
        self.connection: Any = None

    @property
    def is_run(self) -> bool:
        """Whether it must not repeat."""
        return not self.call
