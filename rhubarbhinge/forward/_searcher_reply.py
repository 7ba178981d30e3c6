"""A searcher's whole reply."""

from msgspec import Struct

from rhubarbhinge.fleet import ToldLoad


class SearcherReply(Struct, frozen=True):
    """A searcher's whole reply, decoded.

    :param status: the status code.
    :param headers: the headers as they came, names in lower case; they are decoded only when the
        reply is passed on, as parts of searches are not.
    :param body: the whole body.
    :param request_id: id of the request that it replies to; empty when it names none.
    :param signature: the searcher's signature of this reply; empty when there is none.
    :param not_run: whether the searcher says that it did not execute the request.
    :param wrong_searcher: whether another searcher than the intended one has replied.
    :param keep_alive_ms: how long the searcher keeps the idle connection; None if it didn't say.
    :param encoded: whether the body is compressed, so that it is not the searcher's own body.
    :param load: how busy it says that it is; None when it does not.
    :param load_is_bad: whether what it says of that makes no sense.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    request_id: str
    signature: str
    not_run: bool
    wrong_searcher: bool
    keep_alive_ms: float | None
    encoded: bool = False
    load: ToldLoad | None = None
    load_is_bad: bool = False

    @property
    def succeeded(self) -> bool:
        """Whether the searcher did what was asked."""
        return 200 <= self.status < 300
