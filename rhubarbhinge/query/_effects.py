"""Effects that the query core returns for its daemon to carry out."""

from dataclasses import dataclass

from rhubarbhinge.query._missing_range import MissingRange
from rhubarbhinge.wire import CancelBatch, SubBatch


@dataclass(frozen=True, slots=True)
class SendBatch:
    """Send sub-queries.

    :param relay: the relay's node name.
    :param batch: the message.
    """

    relay: str
    batch: SubBatch


@dataclass(frozen=True, slots=True)
class SendCancel:
    """Cancel sub-queries.

    :param relay: the relay's node name.
    :param batch: the message.
    """

    relay: str
    batch: CancelBatch


@dataclass(frozen=True, slots=True)
class QueryStats:
    """Duration and sub-queries of a query.

    :param took_ms: time from start to answer.
    :param base: sub-queries that any answer needs.
    :param hedges: second sub-queries for slow parts.
    :param retries: sub-queries resent after a refusal or failure, which are extra load, or after
        the pinned index version was gone.
    :param redirects: sub-queries resent without extra load: the previous one was not run, or was
        lost with its relay or searcher.
    """

    took_ms: float
    base: int
    hedges: int
    retries: int
    redirects: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer the caller.

    :param request_id: the caller's request.
    :param collection: the collection.
    :param version: the one index version that all hits are from.
    :param hits: the hits as the searchers returned them, best first.
    :param covered_records: number of records searched.
    :param total_records: number of records of the collection at that version.
    :param missing: key ranges that were not searched.
    :param stats: duration and number of sub-queries.
    """

    request_id: int
    collection: str
    version: int
    hits: tuple[dict, ...]
    covered_records: int
    total_records: int
    missing: tuple[MissingRange, ...]
    stats: QueryStats

    @property
    def coverage(self) -> float:
        """Return the fraction of the collection's records that was searched.

        :returns: between 0 and 1; 1 for an empty collection of which no range is missing.
        """
        if self.total_records == 0:
            return 0.0 if self.missing else 1.0
        return self.covered_records / self.total_records


@dataclass(frozen=True, slots=True)
class Shortfall:
    """Tell the caller that its class's minimum coverage cannot be met.

    :param answer: the partial answer; its hits are left out.
    :param least_coverage: the class's minimum coverage.
    :param retry_after_ms: delay after which the caller may retry.
    """

    answer: Answer
    least_coverage: float
    retry_after_ms: float


Effect = SendBatch | SendCancel | Answer | Shortfall
