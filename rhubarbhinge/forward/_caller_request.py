"""A caller's request as it is forwarded to searchers."""

from msgspec import Struct


class CallerRequest(Struct, frozen=True):
    """A caller's request as it is forwarded to searchers.

    :param id: identifies this attempt of the caller; empty if the caller sent no id.
    :param head: request line and the headers to forward, without those that are set per searcher.
    :param body: complete request body.
    :param wait_ms: how long the caller waits according to its headers; None if not stated.
    :param fingerprint: same value for every attempt at the same request at any entry; empty if it
        is not known.
    :param caller_ip: IP address of the caller; empty if it is not known, as for requests of other
        entries.
    """

    id: str
    head: bytes
    body: bytes
    wait_ms: float | None
    fingerprint: str = ""
    caller_ip: str = ""

    @property
    def wants_body(self) -> bool:
        """Whether the reply to this request has a body."""
        return not self.head.startswith(b"HEAD ")
