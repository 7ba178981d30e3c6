"""Digest that binds a ticket to one action and body."""

import hashlib

DIGEST_BYTES = 16
"""Length of a body digest: SHA-256 truncated to 128 bits."""


def body_digest(action: str, body: bytes) -> bytes:
    """Compute the digest of an action and a body.

    :param action: name of the action in the register.
    :param body: the caller's body, byte for byte.
    :returns: the digest, ``DIGEST_BYTES`` long.
    """
    name = action.encode()
    data = len(name).to_bytes(4, "big") + name + body
    return hashlib.sha256(data).digest()[:DIGEST_BYTES]
