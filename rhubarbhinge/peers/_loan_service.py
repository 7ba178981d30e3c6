"""Answers requests of other entries for loans of retry budget."""

from collections.abc import Callable

from rhubarbhinge.peers._loan_codec import SERVICE_PARAMETER, encode_loan
from rhubarbhinge.peers._loan_log import LoanLog
from rhubarbhinge.web import Request, Responder, Response, error_response


class LoanService:
    """Answers requests of other entries for loans of retry budget.

    :param lend: lends extra sends for a service, and returns how many.
    :param is_known: returns whether a service has searchers; others are refused, so that requests
        can't make this entry keep counts for any number of names.
    :param name_of: returns the name of the entry with an IP address, for the log.
    :param log: logs the loans.
    :ivar leaving: whether this entry is stopping. The others then soon divide its share of the
        slack among themselves, so that it lends nothing any more.
    """

    def __init__(
        self,
        lend: Callable[[str], int],
        is_known: Callable[[str], bool],
        name_of: Callable[[str], str],
        log: LoanLog,
    ):
        self._lend = lend
        self._is_known = is_known
        self._name_of = name_of
        self._log = log
        self.leaving = False

    def answer(self, request: Request, responder: Responder) -> None:
        """Answer a request.

        :param request: the request.
        :param responder: sends the response.
        """
        service = request.query.get(SERVICE_PARAMETER, "")
        if request.method != "POST":
            responder.answer(
                error_response(405, "method-not-allowed", "A loan is a POST.", "Use POST.")
            )
        elif not service:
            message = "The request names no service."
            responder.answer(error_response(400, "no-service", message, "Add ?service=NAME."))
        else:
            granted = 0 if self.leaving or not self._is_known(service) else self._lend(service)
            if granted:
                self._log.write(service, granted, "lender", self._name_of(request.peer_ip))
            responder.answer(Response(200, encode_loan(granted)))
