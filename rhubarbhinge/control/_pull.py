"""One document being pulled from a peer."""

from dataclasses import dataclass, field

Position = tuple[int, int]


@dataclass(slots=True)
class Pull:
    """Progress of a pull; one at a time for each key.

    :param key: the document's key.
    :param wanted: the highest position announced.
    :param source: the peer that was asked.
    :param others: peers that may be asked next.
    :param expires_ms: when the source is given up.
    :param failures: sources given up since the last chunk.
    :param transfer: position that the transfer decodes to; zeros before the first chunk.
    :param base_revision: revision that its deltas apply to; 0 for a whole document.
    :param total_bytes: length of the transfer.
    :param received: what came so far.
    """

    key: str
    wanted: Position
    source: str
    others: list[str] = field(default_factory=list)
    expires_ms: int = 0
    failures: int = 0
    transfer: Position = (0, 0)
    base_revision: int = 0
    total_bytes: int = 0
    received: bytearray = field(default_factory=bytearray)

    def restart(self) -> None:
        """Forget what came of the transfer."""
        self.transfer = (0, 0)
        self.base_revision = 0
        self.total_bytes = 0
        self.received = bytearray()
