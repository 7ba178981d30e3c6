"""One request in a searcher's queue or in flight."""

from typing import Any


class Job:
    """A sub-query or a run; mutable, with slots because one is created for each request.

    :param peer: the entry's link.
    :param key: call, part and attempt of a sub-query; the ticket of a run.
    :param upstream: the searcher's state.
    :param weight: weight of its traffic class.
    :param queued_ms: arrival time.
    :param due_ms: time by which the relay needs the response.
    :param call: call identifier sent to the searcher; empty for a run.
    :param head: JSON body before the deadline value.
    :param tail: JSON body after the deadline value.
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

    #: Waiting in the queue.
    QUEUED = 0
    #: Sent, and its outcome is still awaited.
    SENT = 1
    #: Its outcome was delivered, or it was cancelled.
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
        """Whether this is a run, which is sent at most once."""
        return not self.call
