"""Asks other entries for loans of retry budget."""

from collections.abc import Callable, Sequence
from urllib.parse import quote

from rhubarbhinge.members import Member
from rhubarbhinge.peers._loan_codec import SERVICE_PARAMETER, LoanReplyError, decode_loan
from rhubarbhinge.peers._loan_log import LoanLog
from rhubarbhinge.peers._paths import RETRY_LOANS_PATH, with_query
from rhubarbhinge.retries import REFUSED, Loan, OnReply, Unsupported
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import Failure, HttpClient, Reply

LOAN_TIMEOUT_MS = 20.0
"""Timeout for a reply. In a failure domain it takes some milliseconds with a new connection, and a
retry waits 25 ms for it."""


class LoanClient:
    """Asks other entries of this failure domain for loans of retry budget.

    :param timers: the timer service.
    :param client: calls peers.
    :param port: port of all entries.
    :param members: returns the other entries that may be asked.
    :param log: logs replies that can't be used.
    """

    def __init__(
        self,
        timers: TimerService,
        client: HttpClient,
        port: int,
        members: Callable[[], Sequence[Member]],
        log: LoanLog,
    ):
        self._timers = timers
        self._client = client
        self._port = port
        self._members = members
        self._log = log

    def names(self) -> list[str]:
        """Return the names of the entries that may be asked.

        :returns: the names.
        """
        return [member.name for member in self._members()]

    def ask(self, entry: str, service: str, on_reply: OnReply) -> None:
        """Ask an entry for a loan.

        :param entry: name of the entry.
        :param service: name of the service.
        :param on_reply: called once with its reply; what is no valid reply counts as a refusal.
        """
        ip = next((member.ip for member in self._members() if member.name == entry), None)
        if ip is None:
            self._timers.after(0, lambda: on_reply(REFUSED))
            return
        self._client.call(
            ip,
            self._port,
            "POST",
            with_query(RETRY_LOANS_PATH, (f"{SERVICE_PARAMETER}={quote(service, safe='')}",)),
            timeout_ms=LOAN_TIMEOUT_MS,
            on_done=lambda outcome: on_reply(self._decode(entry, outcome)),
        )

    def _decode(self, entry: str, outcome: Reply | Failure) -> Loan | Unsupported:
        if isinstance(outcome, Failure):
            return REFUSED
        if outcome.status == 404:
            return Unsupported()
        if outcome.status != 200:
            self._log.write_bad_reply(entry, f"status-{outcome.status}")
            return REFUSED
        try:
            return decode_loan(outcome.body)
        except LoanReplyError as error:
            self._log.write_bad_reply(entry, error.code)
            return REFUSED
