"""Parsers of setting values.

A parser takes a fault log, the name of the setting's source and a text. It returns the value, or
``None`` after adding a fault to the log.
"""

import re
from collections.abc import Callable

from rhubarbhinge.register import FaultLog, fields
from rhubarbhinge.settings._node_settings import SettingValue

ValueParser = Callable[[FaultLog, str, str], SettingValue | None]
"""``(log, place, text) -> value | None``."""

MAX_PORT = 65_535
"""Largest TCP or UDP port."""

MIN_KEY_BYTES = 32
"""Minimum size of a deployment key: the output size of HMAC-SHA-256 (RFC 2104, section 3)."""

MAX_KEY_BYTES = 1_024
MAX_ADDRESSES = 1_000

_DIGITS = re.compile(r"[0-9]{1,18}")


def integer(minimum: int, maximum: int) -> ValueParser:
    """Create a parser of whole numbers.

    :param minimum: Smallest number accepted.
    :param maximum: Largest number accepted.
    :returns: The parser.
    """
    parse_number = fields.integer(minimum, maximum)

    def parse(log: FaultLog, place: str, text: str) -> int | None:
        if not _DIGITS.fullmatch(text):
            message = f"{fields.format_value(text)} isn't a whole number"
            log.add(place, "wrong-type", message, f"write a number from {minimum} to {maximum}")
            return None
        return parse_number(log, place, int(text))

    return parse


def choice(*choices: str) -> ValueParser:
    """Create a parser that accepts one of several texts.

    :param choices: The texts accepted.
    :returns: The parser.
    """

    def parse(log: FaultLog, place: str, text: str) -> str | None:
        if text in choices:
            return text
        todo = "write " + " or ".join(choices)
        log.add(place, "unknown-choice", f"{fields.format_value(text)} is unknown", todo)
        return None

    return parse


def choices(*allowed: str) -> ValueParser:
    """Create a parser of comma-separated lists of texts.

    :param allowed: The texts accepted.
    :returns: The parser.
    """

    def parse(log: FaultLog, place: str, text: str) -> tuple[str, ...] | None:
        parts = [part.strip() for part in text.split(",")] if text.strip() else []
        invalid = [part for part in parts if part not in allowed]
        for part in invalid:
            todo = "write any of " + ", ".join(allowed)
            log.add(place, "unknown-choice", f"{fields.format_value(part)} is unknown", todo)
        return None if invalid else tuple(parts)

    return parse


def addresses(minimum: int) -> ValueParser:
    """Create a parser of comma-separated lists of ``ip:port``.

    :param minimum: Minimum number of addresses.
    :returns: The parser.
    """

    def parse(log: FaultLog, place: str, text: str) -> tuple[str, ...] | None:
        parts = [part.strip() for part in text.split(",")] if text.strip() else []
        if not minimum <= len(parts) <= MAX_ADDRESSES:
            message = f"{len(parts)} addresses are given"
            todo = f"give {minimum} to {MAX_ADDRESSES}, each ip:port, separated by commas"
            log.add(place, "bad-count", message, todo)
            return None
        invalid = [part for part in parts if not is_address(part)]
        for part in invalid:
            message = f"{fields.format_value(part)} isn't ip:port"
            todo = "write the IP number and the port, such as 10.0.0.7:7001 or [fd00::7]:7001"
            log.add(place, "bad-address", message, todo)
        return None if invalid else tuple(parts)

    return parse


def deployment_key(log: FaultLog, place: str, text: str) -> bytes | None:
    """Parse a deployment key; faults never contain its text."""
    value = text.strip().encode(errors="surrogateescape")
    if MIN_KEY_BYTES <= len(value) <= MAX_KEY_BYTES:
        return value
    message = f"the deployment key has {len(value)} bytes"
    todo = f"use {MIN_KEY_BYTES} to {MAX_KEY_BYTES} random printable characters"
    log.add(place, "bad-key", message, todo)
    return None


def is_address(text: str) -> bool:
    """Return whether a text has the form ``ip:port``, with a numeric IP address.

    :param text: The text.
    :returns: Whether it has; IPv6 addresses must be in brackets.
    """
    ip, _, port = text.rpartition(":")
    if ip.startswith("[") and ip.endswith("]"):
        ip = ip[1:-1]
    elif ":" in ip:
        return False
    faults = FaultLog()
    integer(1, MAX_PORT)(faults, "", port)
    fields.ip_address(faults, "", ip)
    return faults.count == 0
