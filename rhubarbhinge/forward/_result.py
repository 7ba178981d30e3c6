"""Results of a call to a service."""

from msgspec import Struct

from rhubarbhinge.forward._outcome import FailureReason
from rhubarbhinge.forward._searcher_reply import SearcherReply


class ReplyReceived(Struct, frozen=True):
    """A searcher replied; the reply is forwarded to the caller unchanged.

    :param reply: the searcher's reply.
    """

    reply: SearcherReply


class Refused(Struct, frozen=True):
    """No searcher has executed the request or will.

    :param reason: reason of the last attempt; None if no searcher could be tried.
    """

    reason: FailureReason | None


class Failed(Struct, frozen=True):
    """No reply was received, but a searcher may have executed the request.

    :param reason: reason of the last attempt; None if the time ran out.
    """

    reason: FailureReason | None


Result = ReplyReceived | Refused | Failed
