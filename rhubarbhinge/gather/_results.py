"""How a search came out."""

from msgspec import Struct


class Gathered(Struct, frozen=True):
    """A success.

    :param signatures: those of the replies that are in it.
    :param missing: names of the shards that are not.
    :param body: the merged records.
    :param by_time: whether the time to answer has decided, and not that all had ended.
    """

    signatures: tuple[str, ...]
    missing: tuple[str, ...]
    body: bytes
    at_due_time: bool = False


class TooFewShards(Struct, frozen=True):
    """Too few shards answered, or can.

    :param missing: names of the shards that did not answer.
    :param may_have_run: whether any searcher has executed the search.
    :param timed_out: whether the time was over.
    """

    missing: tuple[str, ...]
    may_have_run: bool
    timed_out: bool = False
