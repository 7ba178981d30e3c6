"""Outcomes of a search."""

from msgspec import Struct


class Gathered(Struct, frozen=True):
    """A search that enough shards answered.

    :param signatures: signatures of the merged replies.
    :param missing: names of the shards whose replies are not included.
    :param body: the merged records.
    :param at_due_time: whether the search ended because the answer was due, with shards still
        pending.
    """

    signatures: tuple[str, ...]
    missing: tuple[str, ...]
    body: bytes
    at_due_time: bool = False


class TooFewShards(Struct, frozen=True):
    """A search that too few shards answered or can still answer.

    :param missing: names of the shards that did not answer.
    :param may_have_run: whether any searcher may have executed the search.
    :param timed_out: whether the search reached its deadline.
    """

    missing: tuple[str, ...]
    may_have_run: bool
    timed_out: bool = False
