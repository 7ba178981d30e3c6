"""One request in a searcher's queue or in flight."""


class Job:
    """A sub-query or a run; mutable, one for each request.

    :param peer: the entry's link.
    :param key: call, part and attempt of a sub-query; the ticket of a run.
    :param due_ms: when its answer has to be back at the relay.
    :param queued_ms: when it came.
    :param weight: its class's weight.
    :param head: the JSON body up to the deadline.
    :param tail: a run's body after the deadline; for a sub-query its key range.
    :param is_run: whether it must not repeat.
    """

    __slots__ = (
        "call",
        "connection",
        "due_ms",
        "head",
        "is_run",
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
    #: Sent; its outcome is still wanted.
    SENT = 1
    #: Its outcome was given, or nobody wants it any more.
    DONE = 2

    def __init__(self, peer, key, due_ms, queued_ms, weight, head, tail, is_run, upstream):
        self.peer = peer
        self.key = key
        self.due_ms = due_ms
        self.queued_ms = queued_ms
        self.weight = weight
        self.head = head
        self.tail = tail
        self.is_run = is_run
        self.upstream = upstream
        self.state = Job.QUEUED
        self.sent_ms = 0
        self.call = b""
        self.connection = None
