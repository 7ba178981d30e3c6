"""How a request to one of several searchers came out."""

from dataclasses import dataclass

from rhubarbhinge.forward._outcome import Why
from rhubarbhinge.forward._searcher_reply import SearcherReply


@dataclass(frozen=True, slots=True)
class Passed:
    """A searcher's reply, to be passed on as it is.

    :param reply: the reply.
    """

    reply: SearcherReply


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was executed by no searcher and will not be.

    :param why: the last cause, None when no searcher could be asked.
    """

    why: Why | None


@dataclass(frozen=True, slots=True)
class Failed:
    """No reply came, and a searcher may have executed the request.

    :param why: the last cause, None when the time was over.
    """

    why: Why | None


Result = Passed | Refused | Failed
