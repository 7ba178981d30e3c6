"""A search as admitted."""

from dataclasses import dataclass

from rhubarbhinge.register import TrafficClass


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """A search as admitted.

    :param request_id: the caller's request, chosen by the daemon.
    :param collection: the collection.
    :param text: the search text.
    :param limit: most hits wanted.
    :param traffic_class: the class whose policy holds.
    :param deadline_ms: time allowed, from now.
    :param register_revision: the register that holds.
    """

    request_id: int
    collection: str
    text: str
    limit: int
    traffic_class: TrafficClass
    deadline_ms: float
    register_revision: int
