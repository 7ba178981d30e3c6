"""Extraction of a field's unmodified source text from a JSON object."""

import json
import re

# Numbers are kept as text, so that they lose no precision and long integers don't raise an error.
_DECODER = json.JSONDecoder(parse_float=str, parse_int=str)
_SEPARATORS = re.compile(r"[ \t\n\r,:]*")


def raw_field(text: str, name: str) -> str | None:
    """Return the source text of a field's value, in which numbers keep all their digits.

    :param text: text already validated to be a JSON object of limited nesting depth.
    :param name: name of the field.
    :returns: the text of the last value under that name, None if there is none.
    """
    value_text = None
    position = _skip_separators(text, text.index("{") + 1)
    while text[position] != "}":
        key, position = _DECODER.raw_decode(text, position)
        start = _skip_separators(text, position)
        _, position = _DECODER.raw_decode(text, start)
        if key == name:
            value_text = text[start:position]
        position = _skip_separators(text, position)
    return value_text


def _skip_separators(text: str, position: int) -> int:
    return _SEPARATORS.match(text, position).end()
