"""One step from a document to a later one."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DeltaLink:
    """A delta with what it leads to.

    :param revision: revision of the result.
    :param digest: content hash of the result.
    :param delta: the encoded difference.
    """

    revision: int
    digest: int
    delta: bytes

    @property
    def position(self) -> tuple[int, int]:
        """Place of the result in the order of documents."""
        return self.revision, self.digest
