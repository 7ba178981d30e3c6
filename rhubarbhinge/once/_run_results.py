"""What became of the runs that a relay was given, for entries that ask again."""

from dataclasses import dataclass

from rhubarbhinge.wire._run_reply import RunReply
from rhubarbhinge.wire._run_request import RunRequest

MAX_KEPT_BYTES = 8 * 1024 * 1024
"""Results kept at once; the oldest go first."""


@dataclass(slots=True)
class _RunRecord:
    entry: str
    entry_incarnation: int
    started_ms: int
    reply: RunReply | None = None


class RunResults:
    """The runs that a relay has taken, with their results once they have ended.

    A result that is sent while the link to its entry is down is lost with the link. The entry sends
    the run again once there is a link, and gets the same result from here.

    :param keep_ms: how long a run is kept.
    :param most_kept_bytes: results kept at once, in bytes.
    """

    def __init__(self, keep_ms: int, most_kept_bytes: int = MAX_KEPT_BYTES):
        self._keep_ms = keep_ms
        self._most_kept_bytes = most_kept_bytes
        self._kept_bytes = 0
        self._runs: dict[str, _RunRecord] = {}

    def begin(self, request: RunRequest, now_ms: int) -> None:
        """Note a run that the relay takes.

        :param request: the message; its ticket is new here.
        :param now_ms: time on this relay's clock.
        """
        self._remove_expired(now_ms)
        self._runs[request.ticket] = _RunRecord(request.entry, request.entry_incarnation, now_ms)

    def end(self, ticket: str, kind: str, payload: bytes, retry_after_ms: int) -> RunReply:
        """Note how a run ended.

        :param ticket: its ticket.
        :param kind: the outcome, a value of :class:`OutcomeKind`.
        :param payload: the upstream's result, when it ran.
        :param retry_after_ms: the upstream's advice, when it refused.
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
        """Forget a run that was given up before it was sent to an upstream.

        :param ticket: its ticket.
        """
        self._runs.pop(ticket, None)

    def is_open(self, request: RunRequest) -> bool:
        """Return whether the run of a message was taken before and has not ended.

        :param request: the message.
        :returns: True while its result is still to come.
        """
        run = self._record_of(request)
        return run is not None and run.reply is None

    def recall(self, request: RunRequest) -> RunReply | None:
        """Return the result of a run that was taken before.

        :param request: the message.
        :returns: the reply, None when the run is new, open, or no longer kept.
        """
        run = self._record_of(request)
        return None if run is None else run.reply

    def open_of(self, entry: str) -> list[str]:
        """List an entry's runs that have not ended.

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
