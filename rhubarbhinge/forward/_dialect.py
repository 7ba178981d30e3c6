"""What an adapter supplies, so that the data path speaks a platform's protocol."""

from typing import Protocol

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.forward._caller_request import CallerRequest
from rhubarbhinge.forward._reply_reader import RawReply
from rhubarbhinge.forward._searcher_reply import SearcherReply
from rhubarbhinge.web import Request, Response


class Dialect(Protocol):
    """Translates between messages on the wire and the project's types; decides nothing."""

    def caller_request(self, request: Request) -> CallerRequest:
        """Decode a caller's request.

        :param request: as it was read.
        :returns: the request.
        """

    def searcher_request(self, request: CallerRequest, searcher: Searcher, left_ms: float) -> bytes:
        """Encode a request for a searcher.

        :param request: the caller's request.
        :param searcher: the only searcher that may execute it.
        :param left_ms: time that is left for it.
        :returns: the bytes to send.
        """

    def searcher_reply(self, raw: RawReply) -> SearcherReply:
        """Decode a searcher's reply.

        :param raw: as it was read.
        :returns: the reply.
        """

    def passed_on(self, reply: SearcherReply) -> Response:
        """Encode a searcher's reply for the caller.

        :param reply: the reply.
        :returns: the answer.
        """

    def merged(self, signatures: tuple[str, ...], missing: int, body: bytes) -> Response:
        """Encode an answer merged out of several searchers' replies.

        :param signatures: those of the replies that are in it.
        :param missing: number of shards that are not.
        :param body: the merged records.
        :returns: the answer.
        """
