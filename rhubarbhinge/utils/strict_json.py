"""Decoding and validation of external JSON."""

from collections.abc import Callable
from typing import Any

import msgspec


def json_decoder(value_type: Any) -> Callable[[bytes], Any]:
    """Create a JSON decoder that only accepts values of one type.

    Unknown fields are ignored, since later releases may add some.

    :param value_type: a type supported by ``msgspec``; its annotations define the checks.
    :returns: a function that decodes bytes and raises ``ValueError`` if they are invalid.
    """
    decode = msgspec.json.Decoder(value_type).decode

    def read(data: bytes) -> Any:
        try:
            return decode(data)
        except RecursionError as error:
            raise ValueError("the JSON is nested too deeply") from error

    return read


def convert(value: Any, value_type: Any) -> Any:
    """Validate a decoded value and convert it to a type.

    :param value: the value, as decoded from JSON or TOML.
    :param value_type: a type supported by ``msgspec``.
    :returns: the converted value.
    :raises ValueError: if the value is invalid.
    """
    return msgspec.convert(value, value_type)
