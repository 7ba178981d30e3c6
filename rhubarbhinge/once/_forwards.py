"""Calls to other entries that have no reply yet."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PendingForward:
    """A call to another entry.

    :param request: number of the caller's request.
    :param owner: name of the other entry.
    :param owner_incarnation: its incarnation.
    :param ticket: the ticket's text.
    :param body: the caller's body.
    :param read: whether only the outcome is read.
    :param deadline_ms: when the call is given up, on this entry's clock.
    """

    request: int
    owner: str
    owner_incarnation: int
    ticket: str
    body: bytes
    read: bool
    deadline_ms: int


class ForwardTable:
    """Calls to other entries that have no reply yet.

    :param max_calls: calls at once.
    """

    def __init__(self, max_calls: int):
        self._max_calls = max_calls
        self._pending: dict[int, PendingForward] = {}
        self._next_call = 0

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def is_full(self) -> bool:
        """Return whether no more calls can be opened.

        :returns: True if so.
        """
        return len(self._pending) >= self._max_calls

    @property
    def last_deadline_ms(self) -> int:
        """Return when the last open call is given up.

        :returns: the time on this entry's clock; 0 if none is open.
        """
        return max((p.deadline_ms for p in self._pending.values()), default=0)

    def open(self, pending: PendingForward) -> int:
        """Open a call.

        :param pending: the call.
        :returns: its number, which isn't used again.
        """
        call = self._next_call
        self._next_call += 1
        self._pending[call] = pending
        return call

    def owners(self) -> set[tuple[str, int]]:
        """Return the processes that are asked.

        :returns: names and incarnations.
        """
        return {(pending.owner, pending.owner_incarnation) for pending in self._pending.values()}

    def of_owner(self, owner: str, incarnation: int) -> dict[int, PendingForward]:
        """Return the open calls to one process.

        :param owner: name of the entry.
        :param incarnation: its incarnation.
        :returns: the calls by number, oldest first.
        """
        wanted = (owner, incarnation)
        return {c: p for c, p in self._pending.items() if (p.owner, p.owner_incarnation) == wanted}

    def close(self, call: int, ticket: str) -> PendingForward | None:
        """Close a call that was answered.

        :param call: its number.
        :param ticket: the ticket that the answer is about.
        :returns: the call; None if it isn't open or was about another ticket.
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
        """Close all calls that are past their deadline.

        :param now_ms: time on this entry's clock.
        :returns: the calls.
        """
        calls = [call for call, p in self._pending.items() if now_ms >= p.deadline_ms]
        return [self._pending.pop(call) for call in calls]
