"""Limit of the bytes of a reply that are not part of its body."""

MAX_OVERHEAD_BYTES = 128 * 1024
"""Maximum size of interim replies, head, chunk framing and trailers together, in addition to
framing in proportion to the body."""
MAX_OVERHEAD_PER_BODY_BYTE = 8
"""Framing of chunks allowed per byte of the body; a chunk of one byte has at least five."""


def is_overhead_exceeded(received_bytes: int, body_bytes: int) -> bool:
    """Check whether a reply has more overhead than any that ends.

    :param received_bytes: bytes received since the request was sent.
    :param body_bytes: those that are part of the body.
    :returns: whether the limit is exceeded.
    """
    allowed_bytes = MAX_OVERHEAD_BYTES + MAX_OVERHEAD_PER_BODY_BYTE * body_bytes
    return received_bytes - body_bytes > allowed_bytes
