"""Sub-queries of one call for one relay."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SubBatch:
    """Sub-queries of one call; the tuples stand side by side, one place a sub-query.

    The message states its whole intended destination, so that a receiver refuses what was meant
    for another (Beckmann, Distributed Naming in a Factored Operating System, 2010, section 4.2.4).

    :param call_id: the entry's sequence number of the call.
    :param receiver_incarnation: incarnation of the relay that the entry knows of.
    :param register_revision: the register that the plan was made from.
    :param collection: the collection searched.
    :param version: the pinned index version.
    :param text: the search text.
    :param limit: most hits wanted from each sub-query.
    :param deadline_ms: time left when the message was made.
    :param weight: the class's weight; a higher one is served first.
    :param parts: part numbers within the call.
    :param attempts: attempt numbers within the part, 0 for the first.
    :param upstream_ids: searchers, by :func:`rhubarbhinge.wire.upstream_id`.
    :param los: first key of each range.
    :param his: key after the last of each range.
    """

    call_id: int
    receiver_incarnation: int
    register_revision: int
    collection: str
    version: int
    text: str
    limit: int
    deadline_ms: int
    weight: int
    parts: tuple[int, ...]
    attempts: tuple[int, ...]
    upstream_ids: tuple[int, ...]
    los: tuple[int, ...]
    his: tuple[int, ...]
