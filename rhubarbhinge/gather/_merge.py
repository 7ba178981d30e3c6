"""Merging of the records of several replies."""

from collections.abc import Iterable

RECORD_BYTES = 16
"""Size of one record; a shorter remainder at the end of a reply is ignored."""


def merge_greatest(parts: Iterable[bytes], count: int) -> bytes:
    """Merge the greatest records of several replies, keeping duplicates.

    :param parts: bodies of replies, each a sequence of unordered ``RECORD_BYTES``-byte records.
    :param count: maximum number of records to keep.
    :returns: the greatest records in descending byte order.
    """
    records = [
        part[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:count])
