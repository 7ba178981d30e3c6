"""Parsing of event log lines, for tools that check or count events."""

import re

_PAIR = re.compile(r'(\w+)=(?:"((?:[^"\\]|\\.)*)"|([^\s"=\\]+))(?: |$)')
_ESCAPE = re.compile(r"\\(?:u([0-9a-f]{4})|U(00(?:10|0[0-9a-f])[0-9a-f]{4})|([nrt\"\\]))")
_INVALID_ESCAPE = re.compile(r"\\(?!u[0-9a-f]{4}|U00(?:10|0[0-9a-f])[0-9a-f]{4}|[nrt\"\\])")
_NAMED_ESCAPES = {"n": "\n", "r": "\r", "t": "\t"}


def parse_event(line: str) -> dict[str, str] | None:
    """Parse the fields of a log line.

    :param line: the line, without its line break.
    :returns: the fields in order, as text; None if the line does not consist of key=value pairs.
    """
    fields = {}
    position = 0
    while position < len(line):
        pair = _PAIR.match(line, position)
        if pair is None:
            return None
        key, quoted, plain = pair.groups()
        value = plain if quoted is None else _unescape(quoted)
        if value is None:
            return None
        fields[key] = value
        position = pair.end()
    return fields


def _unescape(text: str) -> str | None:
    """Replace the escape sequences of a quoted value; None if one of them is invalid."""
    if _INVALID_ESCAPE.search(text.replace("\\\\", "")):
        return None
    return _ESCAPE.sub(_replace_escape, text)


def _replace_escape(match: re.Match) -> str:
    short, long, named = match.groups()
    if named is not None:
        return _NAMED_ESCAPES.get(named, named)
    return chr(int(short or long, 16))
