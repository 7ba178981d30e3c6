"""What tells that two requests are the same one, sent again."""

from collections.abc import Iterable
from hashlib import blake2b

FINGERPRINT_BYTES = 16
"""Among a billion requests two differing ones share 128 bits with a chance below 1e-20."""
PART_LENGTH_BYTES = 4
"""Bytes of each part's length, which keep a part that ends early from running into the next."""


def fingerprint(parts: Iterable[bytes]) -> str:
    """Summarize what stays the same when a caller sends a request again.

    It is the same at all entries and at each start, so that entries can tell each other of it.

    :param parts: method, host, path with its query, the caller's credentials, body, in this order.
    :returns: 32 hexadecimal digits.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(PART_LENGTH_BYTES, "little"))
        digest.update(part)
    return digest.hexdigest()
