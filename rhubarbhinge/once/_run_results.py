"""Results of the runs that a relay has accepted, kept for entries that resend a run."""

from dataclasses import dataclass

from rhubarbhinge.wire._run_reply import RunReply
from rhubarbhinge.wire._run_request import RunRequest

MAX_KEPT_BYTES = 8 * 1024 * 1024
"""Maximum total size of kept results; the oldest are removed first."""


@dataclass(slots=True)
class _RunRecord:
    entry: str
    entry_incarnation: int
    started_ms: int
    reply: RunReply | None = None


class RunResults:
    """The runs that a relay has accepted, with their results once they have ended.

    A result sent while the link to its entry is down is lost. The entry resends the run once the
    link is up again, and receives the result that is kept here.

    :param keep_ms: how long a run is kept after it was accepted.
    :param most_kept_bytes: maximum total size of kept results, in bytes.
    """

    def __init__(self, keep_ms: int, most_kept_bytes: int = MAX_KEPT_BYTES):
        self._keep_ms = keep_ms
        self._most_kept_bytes = most_kept_bytes
        self._kept_bytes = 0
        self._runs: dict[str, _RunRecord] = {}

    def begin(self, request: RunRequest, now_ms: int) -> None:
        """Record a run that the relay accepts.

        :param request: the message; its ticket must not be known yet.
        :param now_ms: time on this relay's clock.
        """
        self._remove_expired(now_ms)
        self._runs[request.ticket] = _RunRecord(request.entry, request.entry_incarnation, now_ms)

    def end(self, ticket: str, kind: str, payload: bytes, retry_after_ms: int) -> RunReply:
        """Record the result of a run.

        :param ticket: its ticket.
        :param kind: the outcome, a value of :class:`OutcomeKind`.
        :param payload: the upstream's result, when it ran.
        :param retry_after_ms: the retry delay that the upstream asked for, when it refused.
        :returns: the reply to its entry.
        """
        run = self._runs.get(ticket)
        incarnation = 0 if run is None else run.entry_incarnation
        reply = RunReply(incarnation, ticket, kind, "", retry_after_ms, payload)
        if run is not None:
            run.reply = reply
            self._kept_bytes += len(payload)
            if self._kept_bytes > self._most_kept_bytes:
                self._drop_oldest_ended()
        return reply

    def withdraw(self, ticket: str) -> None:
        """Remove a run that was abandoned before it was sent to an upstream.

        :param ticket: its ticket.
        """
        self._runs.pop(ticket, None)

    def is_open(self, request: RunRequest) -> bool:
        """Return whether the run of a message was accepted before and has not ended.

        :param request: the message.
        :returns: True while its result is pending.
        """
        run = self._record_of(request)
        return run is not None and run.reply is None

    def result_of(self, request: RunRequest) -> RunReply | None:
        """Return the result of a run that was accepted before.

        :param request: the message.
        :returns: the reply, or None when the run is new, open, or no longer kept.
        """
        run = self._record_of(request)
        return None if run is None else run.reply

    def open_tickets(self, entry: str) -> list[str]:
        """Return the open runs of an entry.

        :param entry: its node name.
        :returns: their tickets.
        """
        return [
            ticket for ticket, run in self._runs.items() if run.entry == entry and run.reply is None
        ]

    def _record_of(self, request: RunRequest) -> _RunRecord | None:
        run = self._runs.get(request.ticket)
        sender = (request.entry, request.entry_incarnation)
        if run is None or (run.entry, run.entry_incarnation) != sender:
            return None
        return run

    def _remove_expired(self, now_ms: int) -> None:
        while self._runs:
            ticket, oldest = next(iter(self._runs.items()))
            if now_ms < oldest.started_ms + self._keep_ms:
                return
            self._drop(ticket)

    def _drop_oldest_ended(self) -> None:
        ended = [ticket for ticket, run in self._runs.items() if run.reply is not None]
        for ticket in ended:
            if self._kept_bytes <= self._most_kept_bytes:
                return
            self._drop(ticket)

    def _drop(self, ticket: str) -> None:
        run = self._runs.pop(ticket)
        if run.reply is not None:
            self._kept_bytes -= len(run.reply.result)
