"""Answers to sub-queries, of any calls of one entry."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplyBatch:
    """Answers from a relay to one entry; the tuples stand side by side, one place an answer.

    :param register_revision: the register revision that the relay has accepted.
    :param call_ids: the calls answered.
    :param parts: part numbers within the calls.
    :param attempts: attempt numbers within the parts.
    :param outcomes: :class:`SubCode` values.
    :param retry_after_ms: when to come back, for refusals; else 0.
    :param queue_ms: time spent in the relay's queue.
    :param service_ms: time between sending to the searcher and its answer.
    :param bodies: the searcher's answers, JSON, or empty.
    """

    register_revision: int
    call_ids: tuple[int, ...]
    parts: tuple[int, ...]
    attempts: tuple[int, ...]
    outcomes: tuple[int, ...]
    retry_after_ms: tuple[int, ...]
    queue_ms: tuple[int, ...]
    service_ms: tuple[int, ...]
    bodies: tuple[bytes, ...]
