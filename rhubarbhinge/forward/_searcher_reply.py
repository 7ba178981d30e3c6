"""A searcher's complete reply."""

from msgspec import Struct

from rhubarbhinge.fleet import ReportedLoad


class SearcherReply(Struct, frozen=True):
    """A searcher's complete reply, decoded.

    :param status: HTTP status code.
    :param headers: raw headers with names in lower case. They are decoded only when the reply is
        forwarded, which replies to shards of a search are not.
    :param body: complete body.
    :param request_id: id of the request that this replies to; empty if not stated.
    :param signature: the searcher's signature of this reply; empty if there is none.
    :param not_run: whether the searcher states that it did not execute the request.
    :param wrong_searcher: whether a searcher other than the intended one replied.
    :param keep_alive_ms: how long the searcher keeps the idle connection open; None if not stated.
    :param encoded: whether the body is compressed, and therefore not the searcher's original body.
    :param load: load reported by the searcher; None if not reported.
    :param load_is_bad: whether the reported load is invalid.
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
    load: ReportedLoad | None = None
    load_is_bad: bool = False

    @property
    def succeeded(self) -> bool:
        """Whether the status code is 2xx."""
        return 200 <= self.status < 300
