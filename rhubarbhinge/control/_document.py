"""One accepted configuration document."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Document:
    """A document as it was accepted.

    :param key: ``register``, ``rules`` or ``vms``.
    :param revision: its revision.
    :param digest: 63-bit hash of its bytes.
    :param data: the bytes as published.
    :param adopted_ms: when this node accepted it, on the caller's clock.
    """

    key: str
    revision: int
    digest: int
    data: bytes
    adopted_ms: int
