"""How a request to one of several searchers came out."""

from msgspec import Struct

from rhubarbhinge.forward._outcome import Why
from rhubarbhinge.forward._searcher_reply import SearcherReply


class Passed(Struct, frozen=True):
    """A searcher's reply, to be passed on as it is.

    :param reply: the reply.
    """

    reply: SearcherReply


class Refused(Struct, frozen=True):
    """The request was executed by no searcher and will not be.

    :param why: the last cause, None when no searcher could be asked.
    """

    why: Why | None


class Failed(Struct, frozen=True):
    """No reply came, and a searcher may have executed the request.

    :param why: the last cause, None when the time was over.
    """

    why: Why | None


Result = Passed | Refused | Failed
