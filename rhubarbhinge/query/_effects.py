"""What the query core asks of its daemon."""

from dataclasses import dataclass

from rhubarbhinge.query._missing import Missing
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
    """Give sub-queries up.

    :param relay: the relay's node name.
    :param batch: the message.
    """

    relay: str
    batch: CancelBatch


@dataclass(frozen=True, slots=True)
class QueryStats:
    """What a query cost.

    :param took_ms: from start to answer.
    :param base: sub-queries that any answer needs.
    :param hedges: second sub-queries for slow parts.
    :param retries: sub-queries after a refusal or failure that counts as load.
    :param redirects: sub-queries sent again without load: the first was refused as not run.
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
    :param hits: best first, each as the searcher gave it.
    :param covered_records: records searched.
    :param total_records: records of the collection at that version.
    :param missing: what was not searched.
    :param stats: what it cost.
    """

    request_id: int
    collection: str
    version: int
    hits: tuple[dict, ...]
    covered_records: int
    total_records: int
    missing: tuple[Missing, ...]
    stats: QueryStats

    @property
    def coverage(self) -> float:
        """Give the share of records searched.

        :returns: between 0 and 1; 1 for a collection without records that was searched whole.
        """
        if self.total_records == 0:
            return 0.0 if self.missing else 1.0
        return self.covered_records / self.total_records


@dataclass(frozen=True, slots=True)
class Shortfall:
    """Tell the caller that its class's least coverage cannot be met.

    :param answer: what there is; its hits are left out.
    :param least_coverage: what the class asks for.
    :param retry_after_ms: when to come back.
    """

    answer: Answer
    least_coverage: float
    retry_after_ms: float


Effect = SendBatch | SendCancel | Answer | Shortfall
