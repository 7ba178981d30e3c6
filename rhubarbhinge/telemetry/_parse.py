"""Reading of event log lines, for tools that check or count events."""

import re

_PAIR = re.compile(r'(\w+)=(?:"((?:[^"\\]|\\.)*)"|([^\s"=\\]+))(?: |$)')
_ESCAPE = re.compile(r"\\(?:u([0-9a-f]{4})|U(00(?:10|0[0-9a-f])[0-9a-f]{4})|([nrt\"\\]))")
_STRAY = re.compile(r"\\(?!u[0-9a-f]{4}|U00(?:10|0[0-9a-f])[0-9a-f]{4}|[nrt\"\\])")
_NAMED = {"n": "\n", "r": "\r", "t": "\t"}


def parse_event(line: str) -> dict[str, str] | None:
    """Read the fields of one line.

    :param line: a line of the log, without its line break.
    :returns: the fields in their order, as text; None if the line is not one of key=value pairs.
    """
    fields = {}
    at = 0
    while at < len(line):
        pair = _PAIR.match(line, at)
        if pair is None:
            return None
        key, quoted, plain = pair.groups()
        value = plain if quoted is None else _unescape(quoted)
        if value is None:
            return None
        fields[key] = value
        at = pair.end()
    return fields


def _unescape(text: str) -> str | None:
    """Replace the escapes of a quoted value; None if one of them is unknown."""
    if _STRAY.search(text.replace("\\\\", "")):
        return None
    return _ESCAPE.sub(_unescape_one, text)


def _unescape_one(match: re.Match) -> str:
    short, long, named = match.groups()
    if named is not None:
        return _NAMED.get(named, named)
    return chr(int(short or long, 16))
