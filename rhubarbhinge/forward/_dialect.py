"""Interface that a platform adapter implements to encode and decode the platform's protocol."""

from typing import Protocol

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.forward._caller_request import CallerRequest
from rhubarbhinge.forward._reply_reader import RawReply
from rhubarbhinge.forward._searcher_reply import SearcherReply
from rhubarbhinge.web import Request, Response


class Dialect(Protocol):
    """Converts between wire messages of a platform and internal types; contains no policy."""

    def decode_request(self, request: Request) -> CallerRequest:
        """Decode a caller's request.

        :param request: request as read from the connection.
        :returns: decoded request.
        """

    def encode_request(self, request: CallerRequest, searcher: Searcher, left_ms: float) -> bytes:
        """Encode a request for a searcher.

        :param request: the caller's request.
        :param searcher: the only searcher that may execute the request.
        :param left_ms: time remaining until the deadline.
        :returns: encoded request, which ends with the body. The part before it does not depend on
            the body.
        """

    def decode_reply(self, raw: RawReply) -> SearcherReply:
        """Decode a searcher's reply.

        :param raw: reply as read from the connection.
        :returns: decoded reply.
        """

    def encode_reply(self, reply: SearcherReply) -> Response:
        """Encode a searcher's reply for the caller.

        :param reply: the searcher's reply.
        :returns: response to the caller.
        """

    def encode_merged(self, signatures: tuple[str, ...], missing: int, body: bytes) -> Response:
        """Encode a response that is merged from the replies of several searchers.

        :param signatures: signatures of the replies that are included.
        :param missing: number of shards that are not included.
        :param body: merged records.
        :returns: response to the caller.
        """
