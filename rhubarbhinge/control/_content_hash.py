"""Content hash of a document."""

import xxhash

HASH_MASK = (1 << 63) - 1


def content_hash(data: bytes) -> int:
    """Hash a document's bytes; the result fits a signed 64-bit field and is never 0.

    It guards against mix-ups, not against forgery: peer links are authenticated.

    :param data: the bytes as published.
    :returns: 63-bit hash.
    """
    return (xxhash.xxh3_64_intdigest(data) & HASH_MASK) or 1
