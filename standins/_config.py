"""Reading a stand-in's configuration."""

import sys
from pathlib import Path

import orjson


def read_config(source: str) -> dict[str, object]:
    """Read a configuration.

    :param source: JSON, the name of a file of it, or ``-`` for the standard input.
    :returns: The configuration.
    """
    if source == "-":
        return orjson.loads(sys.stdin.buffer.read())
    if source.lstrip().startswith("{"):
        return orjson.loads(source)
    return orjson.loads(Path(source).read_bytes())
