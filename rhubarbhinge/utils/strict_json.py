"""JSON from outside, checked against a type."""

from collections.abc import Callable
from typing import Any

import msgspec


def json_reader(kind: Any) -> Callable[[bytes], Any]:
    """Make a reader of JSON that gives values of one type and nothing else.

    Fields that the type doesn't have are passed over, as a later release may add some.

    :param kind: the type, as ``msgspec`` takes it; its annotations say what is checked.
    :returns: reads bytes; raises ``ValueError`` when they are no such value.
    """
    decode = msgspec.json.Decoder(kind).decode

    def read(data: bytes) -> Any:
        try:
            return decode(data)
        except RecursionError as error:
            raise ValueError("the JSON is nested too deeply") from error

    return read


def convert(value: Any, kind: Any) -> Any:
    """Check a value of plain types, and convert it where its type asks for that.

    :param value: the value, as a reader of JSON or TOML gives it.
    :param kind: the type, as ``msgspec`` takes it.
    :returns: the value as that type.
    :raises ValueError: when it is none.
    """
    return msgspec.convert(value, kind)
