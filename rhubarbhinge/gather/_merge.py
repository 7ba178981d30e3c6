"""Merging of records."""

from collections.abc import Iterable

RECORD_BYTES = 16
"""Size of one record; what is left at the end of a reply and is shorter is none."""


def merge_greatest(parts: Iterable[bytes], count: int) -> bytes:
    """Merge the greatest records of several replies; equal records all count.

    :param parts: records in no particular order, ``RECORD_BYTES`` each.
    :param count: most records to keep.
    :returns: the greatest records, compared byte by byte, greatest first.
    """
    records = [
        part[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:count])
