"""An admitted search."""

from dataclasses import dataclass

from rhubarbhinge.register import TrafficClass


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """An admitted search.

    :param request_id: the daemon's number of the caller's request.
    :param collection: the collection.
    :param text: the search text.
    :param limit: maximum number of hits.
    :param traffic_class: the traffic class whose policy applies.
    :param deadline_ms: time allowed from the start of the query, in ms.
    :param register_revision: revision of the register in force.
    """

    request_id: int
    collection: str
    text: str
    limit: int
    traffic_class: TrafficClass
    deadline_ms: float
    register_revision: int
