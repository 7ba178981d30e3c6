"""Fingerprints that identify repeated attempts at the same request."""

from collections.abc import Iterable
from hashlib import blake2b

FINGERPRINT_BYTES = 16
"""With 128 bits the probability of a collision among a billion requests is below 1e-20."""
PART_LENGTH_BYTES = 4
"""Size of the length prefix of each part; it keeps part boundaries unambiguous."""


def fingerprint(parts: Iterable[bytes]) -> str:
    """Compute a digest over the parts that stay the same when a caller repeats a request.

    The result is the same at all entries and does not depend on the process, so that entries can
    exchange it.

    :param parts: method, host, path with query, credentials of the caller and body, in this order.
    :returns: 32 hexadecimal digits.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(PART_LENGTH_BYTES, "little"))
        digest.update(part)
    return digest.hexdigest()
