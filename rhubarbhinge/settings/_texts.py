"""Readers of setting values, which come as text.

A reader takes a fault log, a place and a text, and returns the value, or ``None`` after it has
recorded a fault.
"""

import re
from collections.abc import Callable

from rhubarbhinge.register import FaultLog, fields
from rhubarbhinge.settings._node_settings import SettingValue

TextReader = Callable[[FaultLog, str, str], SettingValue | None]
"""``(log, place, text) -> value | None``."""

MOST_PORT = 65_535
"""Largest TCP or UDP port."""

LEAST_KEY_BYTES = 32
"""Shortest deployment key: the output size of HMAC-SHA-256 (RFC 2104, section 3)."""

MOST_KEY_BYTES = 1_024
MOST_ADDRESSES = 1_000

_WHOLE = re.compile(r"[0-9]{1,18}")


def whole(least: int, most: int) -> TextReader:
    """Make a reader of whole numbers.

    :param least: Smallest number accepted.
    :param most: Largest number accepted.
    :returns: The reader.
    """
    read_number = fields.whole(least, most)

    def read(log: FaultLog, place: str, text: str) -> int | None:
        if not _WHOLE.fullmatch(text):
            message = f"{fields.shown(text)} isn't a whole number"
            log.add(place, "wrong-type", message, f"write a number from {least} to {most}")
            return None
        return read_number(log, place, int(text))

    return read


def option(*options: str) -> TextReader:
    """Make a reader of one of a few texts.

    :param options: The texts accepted.
    :returns: The reader.
    """

    def read(log: FaultLog, place: str, text: str) -> str | None:
        if text in options:
            return text
        todo = "write " + " or ".join(options)
        log.add(place, "unknown-choice", f"{fields.shown(text)} is unknown", todo)
        return None

    return read


def options(*known: str) -> TextReader:
    """Make a reader of any of a few texts, separated by commas.

    :param known: The texts accepted.
    :returns: The reader.
    """

    def read(log: FaultLog, place: str, text: str) -> tuple[str, ...] | None:
        parts = [part.strip() for part in text.split(",")] if text.strip() else []
        bad = [part for part in parts if part not in known]
        for part in bad:
            todo = "write any of " + ", ".join(known)
            log.add(place, "unknown-choice", f"{fields.shown(part)} is unknown", todo)
        return None if bad else tuple(parts)

    return read


def addresses(least: int) -> TextReader:
    """Make a reader of ``ip:port`` lists, separated by commas.

    :param least: Fewest addresses accepted.
    :returns: The reader.
    """

    def read(log: FaultLog, place: str, text: str) -> tuple[str, ...] | None:
        parts = [part.strip() for part in text.split(",")] if text.strip() else []
        if not least <= len(parts) <= MOST_ADDRESSES:
            message = f"{len(parts)} addresses are given"
            todo = f"give {least} to {MOST_ADDRESSES}, each ip:port, separated by commas"
            log.add(place, "bad-count", message, todo)
            return None
        bad = [part for part in parts if not is_address(part)]
        for part in bad:
            message = f"{fields.shown(part)} isn't ip:port"
            todo = "write the IP number and the port, such as 10.0.0.7:7001 or [fd00::7]:7001"
            log.add(place, "bad-address", message, todo)
        return None if bad else tuple(parts)

    return read


def key(log: FaultLog, place: str, text: str) -> bytes | None:
    """Read a deployment key; no fault ever shows it."""
    value = text.strip().encode(errors="surrogateescape")
    if LEAST_KEY_BYTES <= len(value) <= MOST_KEY_BYTES:
        return value
    message = f"the deployment key has {len(value)} bytes"
    todo = f"use {LEAST_KEY_BYTES} to {MOST_KEY_BYTES} random printable characters"
    log.add(place, "bad-key", message, todo)
    return None


def is_address(text: str) -> bool:
    """Tell whether a text is ``ip:port``, with the IP as a number.

    :param text: The text.
    :returns: Whether it is; IPv6 numbers stand in brackets.
    """
    ip, _, port = text.rpartition(":")
    if ip.startswith("[") and ip.endswith("]"):
        ip = ip[1:-1]
    elif ":" in ip:
        return False
    scratch = FaultLog()
    whole(1, MOST_PORT)(scratch, "", port)
    fields.ip_number(scratch, "", ip)
    return scratch.count == 0
