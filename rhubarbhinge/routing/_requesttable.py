"""All requests of a relay that are not done."""

from typing import Any

from rhubarbhinge.routing._job import Job


class RequestTable:
    """Finds requests by the peer that asked, and remembers the tickets of runs.

    :param ticket_memory_ms: time for which a ticket is remembered after it came.
    """

    def __init__(self, ticket_memory_ms: int) -> None:
        self._ticket_memory_ms = ticket_memory_ms
        self._by_peer: dict[str, dict[Any, Job]] = {}
        self._tickets: dict[str, int] = {}
        self.of_peer = self._by_peer.get

    def of_live_peer(self, peer: str) -> dict[Any, Job]:
        """Give a peer's requests, for adding.

        :param peer: the entry's link.
        :returns: the requests by key; the mapping itself.
        """
        found = self._by_peer.get(peer)
        if found is None:
            found = self._by_peer[peer] = {}
        return found

    def end(self, job: Job) -> None:
        """Forget a request.

        :param job: the request; forgotten before is no fault.
        """
        jobs = self._by_peer.get(job.peer)
        if jobs is not None:
            jobs.pop(job.key, None)

    def drop_peer(self, peer: str) -> None:
        """Forget a peer.

        :param peer: the entry's link.
        """
        self._by_peer.pop(peer, None)

    def is_idle(self) -> bool:
        """Tell whether nobody waits for anything.

        :returns: True when there is no request.
        """
        return not any(self._by_peer.values())

    def knows_ticket(self, ticket: str) -> bool:
        """Tell whether a run came before.

        :param ticket: its ticket.
        :returns: True unless it is new, was proved not run, or was forgotten by age.
        """
        return ticket in self._tickets

    def remember_ticket(self, ticket: str, now_ms: int) -> None:
        """Remember a run.

        :param ticket: its ticket.
        :param now_ms: the time.
        """
        self._tickets[ticket] = now_ms

    def forget_ticket(self, ticket: str) -> None:
        """Forget a run that is proved not to have run.

        :param ticket: its ticket.
        """
        self._tickets.pop(ticket, None)

    def forget_old_tickets(self, now_ms: int) -> None:
        """Forget runs by age.

        :param now_ms: the time.
        """
        oldest_ms = now_ms - self._ticket_memory_ms
        for ticket, came_ms in list(self._tickets.items()):
            if came_ms > oldest_ms:
                return
            del self._tickets[ticket]
