"""A document that is published."""

from dataclasses import dataclass

import orjson

from standins.http import reads

KEYS = ("register", "rules", "vms")
"""The published keys (docs/architecture.md)."""


@dataclass(frozen=True, slots=True)
class Publication:
    """A document that is published.

    :param key: The key.
    :param revision: Its revision.
    :param document: The raw document.
    """

    key: str
    revision: int
    document: bytes


@reads
def read_publication(key: str, document: bytes, revision: str | None = None) -> Publication:
    """Read a publication.

    :param key: The key.
    :param document: The raw document.
    :param revision: Its revision; None to read it from the document.
    :returns: The publication.
    :raises MalformedError: For an unknown key, or without a revision.
    """
    if key not in KEYS:
        raise ValueError(key)
    number = orjson.loads(document)["revision"] if revision is None else revision
    return Publication(key, int(number), document)
