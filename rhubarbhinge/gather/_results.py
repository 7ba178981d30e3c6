"""How a search came out."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Gathered:
    """A success.

    :param signatures: those of the replies that are in it.
    :param missing: names of the shards that are not.
    :param body: the merged records.
    """

    signatures: tuple[str, ...]
    missing: tuple[str, ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class NotEnough:
    """Too few shards answered, or can.

    :param missing: names of the shards that did not answer.
    :param may_have_run: whether any searcher has executed the search.
    :param timed_out: whether the time was over.
    """

    missing: tuple[str, ...]
    may_have_run: bool
    timed_out: bool = False
