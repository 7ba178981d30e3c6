"""Upper estimate of a message's encoded length.

The cores bound datagrams and pace transfers without knowing the codec. The estimate follows the
unpacked Cap'n Proto layout: eight bytes for each number or pointer, text and data rounded up to
eight, one tag word for each list of structs.
"""

from dataclasses import fields
from functools import cache, lru_cache

from rhubarbhinge.wire._member import Member

WORD_BYTES = 8
FRAME_BYTES = 48  # segment table and union of the message, signature of the datagram


def message_bytes(message: object) -> int:
    """Estimate the length of a message with its frame.

    :param message: a message dataclass of the ``wire`` subpackage.
    :returns: length in bytes, at least what the codec makes of it.
    """
    return FRAME_BYTES + struct_bytes(message)


def struct_bytes(value: object) -> int:
    """Estimate the length of one struct within a message.

    :param value: a dataclass of numbers, text, bytes, structs and tuples of them.
    :returns: length in bytes.
    """
    names = _field_names(type(value))
    return sum(_value_bytes(getattr(value, name)) for name in names)


@cache
def _field_names(kind: type) -> tuple[str, ...]:
    return tuple(field.name for field in fields(kind))


@lru_cache(maxsize=4_096)
def _member_bytes(member: Member) -> int:
    return WORD_BYTES + struct_bytes(member)


def _value_bytes(value: object) -> int:
    if isinstance(value, (int, float)):
        return WORD_BYTES
    if isinstance(value, str):
        return WORD_BYTES + _round_up(len(value.encode()) + 1)
    if isinstance(value, bytes):
        return WORD_BYTES + _round_up(len(value))
    if isinstance(value, tuple):
        return 2 * WORD_BYTES + sum(_value_bytes(item) for item in value)
    if isinstance(value, Member):
        return _member_bytes(value)
    return WORD_BYTES + struct_bytes(value)


def _round_up(length: int) -> int:
    return -(-length // WORD_BYTES) * WORD_BYTES
