"""Pending calls to other entries for forwarded tickets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PendingForward:
    """A pending call to another entry.

    :param request: number of the caller's request.
    :param owner: name of the other entry.
    :param owner_incarnation: its incarnation.
    :param ticket: the ticket's text.
    :param body: the caller's body.
    :param read: whether the call reads the outcome only.
    :param deadline_ms: time at which the call fails, on this entry's clock.
    """

    request: int
    owner: str
    owner_incarnation: int
    ticket: str
    body: bytes
    read: bool
    deadline_ms: int


class ForwardTable:
    """Pending calls to other entries, by number.

    :param max_calls: maximum number of concurrent calls.
    """

    def __init__(self, max_calls: int):
        self._max_calls = max_calls
        self._pending: dict[int, PendingForward] = {}
        self._next_call = 0

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def is_full(self) -> bool:
        """Return whether the maximum number of calls is pending.

        :returns: True when no further call can be opened.
        """
        return len(self._pending) >= self._max_calls

    @property
    def last_deadline_ms(self) -> int:
        """Return the latest deadline of the pending calls.

        :returns: time on this entry's clock; 0 if no call is pending.
        """
        return max((p.deadline_ms for p in self._pending.values()), default=0)

    def open(self, pending: PendingForward) -> int:
        """Open a call.

        :param pending: the call.
        :returns: its number, which is not reused.
        """
        call = self._next_call
        self._next_call += 1
        self._pending[call] = pending
        return call

    def owners(self) -> set[tuple[str, int]]:
        """Return the processes with pending calls.

        :returns: names and incarnations.
        """
        return {(pending.owner, pending.owner_incarnation) for pending in self._pending.values()}

    def of_owner(self, owner: str, incarnation: int) -> dict[int, PendingForward]:
        """Return the pending calls to one process.

        :param owner: name of the entry.
        :param incarnation: its incarnation.
        :returns: the calls by number, oldest first.
        """
        wanted = (owner, incarnation)
        return {c: p for c, p in self._pending.items() if (p.owner, p.owner_incarnation) == wanted}

    def close(self, call: int, ticket: str) -> PendingForward | None:
        """Close a call that has been answered.

        :param call: its number.
        :param ticket: the ticket of the reply.
        :returns: the call; None if it is not pending or is for another ticket.
        """
        pending = self._pending.get(call)
        if pending is None or pending.ticket != ticket:
            return None
        return self._pending.pop(call)

    def close_owner(self, owner: str, incarnation: int) -> list[PendingForward]:
        """Close all calls to one process.

        :param owner: name of the entry.
        :param incarnation: its incarnation.
        :returns: the calls.
        """
        return [self._pending.pop(call) for call in self.of_owner(owner, incarnation)]

    def close_late(self, now_ms: int) -> list[PendingForward]:
        """Close all calls whose deadline has passed.

        :param now_ms: time on this entry's clock.
        :returns: the calls.
        """
        calls = [call for call, p in self._pending.items() if now_ms >= p.deadline_ms]
        return [self._pending.pop(call) for call in calls]
