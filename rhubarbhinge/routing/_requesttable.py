"""Unfinished requests of a relay, and the tickets of its runs."""

from typing import Any

from rhubarbhinge.routing._job import Job


class RequestTable:
    """Indexes requests by the peer that sent them, and records the tickets of runs.

    :param ticket_memory_ms: time for which a ticket is recorded after its arrival.
    """

    def __init__(self, ticket_memory_ms: int) -> None:
        self._ticket_memory_ms = ticket_memory_ms
        self._by_peer: dict[str, dict[Any, Job]] = {}
        self._tickets: dict[str, int] = {}
        self.get_for_peer = self._by_peer.get

    def get_or_create_for_peer(self, peer: str) -> dict[Any, Job]:
        """Return a peer's requests, creating the mapping if necessary.

        :param peer: the entry's link.
        :returns: mutable mapping of requests by key.
        """
        found = self._by_peer.get(peer)
        if found is None:
            found = self._by_peer[peer] = {}
        return found

    def remove(self, job: Job) -> None:
        """Remove a request.

        :param job: the request; it may already have been removed.
        """
        jobs = self._by_peer.get(job.peer)
        if jobs is not None:
            jobs.pop(job.key, None)

    def remove_peer(self, peer: str) -> None:
        """Remove a peer and its requests.

        :param peer: the entry's link.
        """
        self._by_peer.pop(peer, None)

    def is_idle(self) -> bool:
        """Return whether there is no unfinished request.

        :returns: True if there is no unfinished request.
        """
        return not any(self._by_peer.values())

    def knows_ticket(self, ticket: str) -> bool:
        """Return whether a run's ticket is recorded.

        :param ticket: its ticket.
        :returns: False if it is new, was proved not to have run, or has expired.
        """
        return ticket in self._tickets

    def record_ticket(self, ticket: str, now_ms: int) -> None:
        """Record a run's ticket.

        :param ticket: its ticket.
        :param now_ms: current time in ms.
        """
        self._tickets[ticket] = now_ms

    def remove_ticket(self, ticket: str) -> None:
        """Remove the ticket of a run that is proved not to have run.

        :param ticket: its ticket.
        """
        self._tickets.pop(ticket, None)

    def remove_expired_tickets(self, now_ms: int) -> None:
        """Remove expired tickets.

        :param now_ms: current time in ms.
        """
        oldest_ms = now_ms - self._ticket_memory_ms
        for ticket, came_ms in list(self._tickets.items()):
            if came_ms > oldest_ms:
                return
            del self._tickets[ticket]
