"""Collects a relay's answers, so that each entry gets one message a loop turn."""

from collections import defaultdict

from rhubarbhinge.routing import Reply
from rhubarbhinge.wire import ReplyBatch


class ReplyOutbox:
    """Answers on their way to entries."""

    def __init__(self) -> None:
        self._replies: dict[str, list[Reply]] = defaultdict(list)

    def add(self, reply: Reply) -> None:
        """Put an answer in.

        :param reply: the answer.
        """
        self._replies[reply.peer].append(reply)

    def flush(self, register_revision: int) -> list[tuple[str, ReplyBatch]]:
        """Take everything out.

        :param register_revision: the register revision in force here.
        :returns: one message for each entry.
        """
        if not self._replies:
            return []
        batches = [
            (peer, _batch(replies, register_revision)) for peer, replies in self._replies.items()
        ]
        self._replies.clear()
        return batches


def _batch(replies: list[Reply], register_revision: int) -> ReplyBatch:
    return ReplyBatch(
        register_revision,
        tuple([reply.call_id for reply in replies]),
        tuple([reply.part for reply in replies]),
        tuple([reply.attempt for reply in replies]),
        tuple([int(reply.code) for reply in replies]),
        tuple([int(reply.retry_after_ms) for reply in replies]),
        tuple([int(reply.queue_ms) for reply in replies]),
        tuple([int(reply.service_ms) for reply in replies]),
        tuple([reply.body for reply in replies]),
    )
