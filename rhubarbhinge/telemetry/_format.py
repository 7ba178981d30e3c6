"""Formatting of events as key=value pairs on one line."""

RESERVED_NAMES = frozenset({"time", "level", "node", "event"})
"""Keys used by each line itself; fields with such a name get an underscore appended."""
_NAMED_ESCAPES = {"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r", "\t": "\\t"}

Value = str | int | float | bool | None


def format_event(name: str, fields: dict[str, Value]) -> str:
    """Format an event, without time, level and node.

    :param name: name of the event.
    :param fields: fields of the event.
    :returns: one line of key=value pairs.
    """
    pairs = [f"event={format_value(name)}"]
    for key, value in fields.items():
        field_name = key + "_" if key in RESERVED_NAMES else key
        pairs.append(f"{field_name}={format_value(value)}")
    return " ".join(pairs)


def format_value(value: Value) -> str:
    """Format a value; text is quoted if it would be ambiguous otherwise.

    :param value: the value.
    :returns: text on one line.
    """
    if isinstance(value, bool):
        return "true" if value else "false"
    if value is None:
        return "none"
    if isinstance(value, int):
        return str(int(value))
    if isinstance(value, float):
        return repr(float(value))
    text = str(value)
    if text and all(_is_plain(char) for char in text):
        return text
    return '"' + "".join(_escape(char) for char in text) + '"'


def _is_plain(char: str) -> bool:
    return char.isprintable() and char not in ' "=\\'


def _escape(char: str) -> str:
    if char in _NAMED_ESCAPES:
        return _NAMED_ESCAPES[char]
    if char.isprintable():
        return char
    code = ord(char)
    return f"\\u{code:04x}" if code <= 0xFFFF else f"\\U{code:08x}"
