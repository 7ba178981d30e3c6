"""HTTP/1.1 server and clients as circuits components."""

from rhubarbhinge.web._client import HttpClient
from rhubarbhinge.web._connections import MALFORMED, TIMEOUT, UNSOLICITED, HttpConnections
from rhubarbhinge.web._errors import error_response
from rhubarbhinge.web._failure import Failure
from rhubarbhinge.web._limits import HttpLimits
from rhubarbhinge.web._reply import Reply
from rhubarbhinge.web._reply_overhead import is_overhead_exceeded
from rhubarbhinge.web._request import Request
from rhubarbhinge.web._responder import Responder
from rhubarbhinge.web._response import Response
from rhubarbhinge.web._server import HttpServer

__all__ = [
    "MALFORMED",
    "TIMEOUT",
    "UNSOLICITED",
    "Failure",
    "HttpClient",
    "HttpConnections",
    "HttpLimits",
    "HttpServer",
    "Reply",
    "Request",
    "Responder",
    "Response",
    "error_response",
    "is_overhead_exceeded",
]
