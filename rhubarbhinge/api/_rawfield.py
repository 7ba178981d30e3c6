"""Take a field's text out of a JSON object as it came."""

import json
import re

# Numbers stay text: nothing is converted, and no number is too long.
_DECODER = json.JSONDecoder(parse_float=str, parse_int=str)
_BETWEEN = re.compile(r"[ \t\n\r,:]*")


def raw_field(text: str, name: str) -> str | None:
    """Find the text of a field's value, so that numbers keep all their digits.

    :param text: a JSON object that was checked to be one, its nesting bounded.
    :param name: the field.
    :returns: the last value of that name, None when there is none.
    """
    found = None
    at = _skip(text, text.index("{") + 1)
    while text[at] != "}":
        key, at = _DECODER.raw_decode(text, at)
        start = _skip(text, at)
        _, at = _DECODER.raw_decode(text, start)
        if key == name:
            found = text[start:at]
        at = _skip(text, at)
    return found


def _skip(text: str, at: int) -> int:
    return _BETWEEN.match(text, at).end()
