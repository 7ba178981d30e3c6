"""Digest by which two entries detect that they know the same searchers."""

import hashlib
from collections.abc import Iterable

import msgspec

from rhubarbhinge.fleet import Searcher

DIGEST_BYTES = 8
"""Two different sets of searchers have the same digest once in 10^19 comparisons."""


def searchers_digest(searchers: Iterable[Searcher]) -> str:
    """Compute a digest of searchers that does not depend on their order.

    :param searchers: the searchers.
    :returns: the digest; empty for none.
    """
    lines = sorted(msgspec.json.encode(searcher) for searcher in searchers)
    if not lines:
        return ""
    return hashlib.blake2b(b"\n".join(lines), digest_size=DIGEST_BYTES).hexdigest()
