"""A caller's request on its way to searchers."""

from msgspec import Struct


class CallerRequest(Struct, frozen=True):
    """A caller's request on its way to searchers.

    :param id: identifies this attempt of the caller; empty when it gave none.
    :param head: request line and headers that are passed on, without those set for each searcher.
    :param body: the whole body.
    :param wait_ms: how long the caller said that it waits; None when it did not say.
    :param fingerprint: equal for all attempts at the same request, by any entry; empty when it is
        not known.
    """

    id: str
    head: bytes
    body: bytes
    wait_ms: float | None
    fingerprint: str = ""

    @property
    def wants_body(self) -> bool:
        """Whether a reply to it has a body."""
        return not self.head.startswith(b"HEAD ")
