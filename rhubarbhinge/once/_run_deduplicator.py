"""A relay's check that it sends each ticket at most once."""

from dataclasses import dataclass

from rhubarbhinge.once._outcome import OutcomeKind
from rhubarbhinge.once._outcome_codes import OutcomeCode
from rhubarbhinge.wire._run_reply import RunReply
from rhubarbhinge.wire._run_request import RunRequest


@dataclass(slots=True)
class _SeenTicket:
    deadline_ms: int
    keep_until_ms: int
    sent: bool = False


class RunDeduplicator:
    """Remembers the tickets that a relay has received, and refuses duplicates.

    A restarted relay has no record of earlier tickets. An entry therefore sends a ticket to one
    relay only, and the message names the relay's incarnation, which a restart changes.

    :param relay: name of this relay.
    :param incarnation: its incarnation.
    :param window_ms: how long a ticket is remembered; at least the lifetime of a ticket and a run.
    :param max_tickets: maximum number of remembered tickets; one more is refused as not run.
    """

    def __init__(self, relay: str, incarnation: int, window_ms: int, max_tickets: int):
        self._relay = relay
        self._incarnation = incarnation
        self._window_ms = window_ms
        self._max_tickets = max_tickets
        self._seen: dict[str, _SeenTicket] = {}

    def on_request(self, request: RunRequest, now_ms: int) -> RunReply | None:
        """Handle a run request from an entry.

        :param request: the message.
        :param now_ms: time on this relay's clock.
        :returns: None to proceed to ``may_send``, else the reply to send back.
        """
        self._remove_expired(now_ms)
        if (request.relay, request.relay_incarnation) != (self._relay, self._incarnation):
            return _reply(request, OutcomeKind.UNKNOWN, OutcomeCode.OTHER_INCARNATION)
        if request.ticket in self._seen:
            return _reply(request, OutcomeKind.UNKNOWN, OutcomeCode.DUPLICATE)
        if len(self._seen) >= self._max_tickets:
            return _reply(request, OutcomeKind.REFUSED_NOT_RUN, OutcomeCode.FULL)
        deadline_ms = request.relay_deadline_ms
        if now_ms >= deadline_ms:
            return _reply(request, OutcomeKind.REFUSED_NOT_RUN, OutcomeCode.LATE_SEND)
        keep_until_ms = now_ms + self._window_ms
        self._seen[request.ticket] = _SeenTicket(deadline_ms, keep_until_ms)
        return None

    def may_send(self, request: RunRequest, now_ms: int) -> RunReply | None:
        """Check a run again, immediately before the first byte is sent to the upstream.

        :param request: the message.
        :param now_ms: time on this relay's clock, read after everything that can block.
        :returns: None to send, else the reply to send back instead.
        """
        seen = self._seen.get(request.ticket)
        if seen is None or seen.sent:
            return _reply(request, OutcomeKind.UNKNOWN, OutcomeCode.DUPLICATE)
        if now_ms >= seen.deadline_ms:
            return _reply(request, OutcomeKind.REFUSED_NOT_RUN, OutcomeCode.LATE_SEND)
        seen.sent = True
        return None

    def withdraw(self, ticket: str) -> None:
        """Forget a ticket whose run was abandoned unsent, so that the relay accepts it again.

        :param ticket: the ticket's text; the abandoned run must never be sent.
        """
        self._seen.pop(ticket, None)

    def _remove_expired(self, now_ms: int) -> None:
        while self._seen:
            ticket, seen = next(iter(self._seen.items()))
            if now_ms < seen.keep_until_ms:
                return
            del self._seen[ticket]


def _reply(request: RunRequest, kind: OutcomeKind, code: OutcomeCode) -> RunReply:
    return RunReply(request.entry_incarnation, request.ticket, kind.value, code.value, 0, b"")
