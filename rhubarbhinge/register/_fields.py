"""Readers of single JSON values.

A reader takes a fault log, a place and a raw value, and returns the checked value, or ``None``
after it has recorded a fault. No published field allows ``null``, so ``None`` is free to say that.
"""

import ipaddress
import math
import re
from collections.abc import Callable, Mapping
from typing import Any

from rhubarbhinge.register._faults import FaultLog
from rhubarbhinge.register._json import path

Reader = Callable[[FaultLog, str, object], Any]
"""``(log, place, raw) -> value | None``."""

MOST_NAME_LENGTH = 100
"""Longest name, so that names fit into log lines and metric labels."""

MOST_SHOWN = 60
"""Characters of a wrong value that a fault message repeats."""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


def name(log: FaultLog, place: str, raw: object) -> str | None:
    """Read a name of letters, digits, dots, dashes and underscores."""
    if not isinstance(raw, str):
        return _wrong_type(log, place, raw, "a text")
    if len(raw) > MOST_NAME_LENGTH or not _NAME.fullmatch(raw):
        message = f"{shown(raw)} isn't a name"
        todo = f"use 1 to {MOST_NAME_LENGTH} of A-Z a-z 0-9 . _ - and begin with a letter or digit"
        return log.add(place, "bad-name", message, todo)
    return raw


def whole(least: int, most: int) -> Reader:
    """Make a reader of whole numbers.

    :param least: Smallest number accepted.
    :param most: Largest number accepted.
    :returns: The reader.
    """

    def read(log: FaultLog, place: str, raw: object) -> int | None:
        if isinstance(raw, bool) or not isinstance(raw, int):
            return _wrong_type(log, place, raw, "a whole number")
        if not least <= raw <= most:
            return _out_of_range(log, place, raw, least, most)
        return raw

    return read


def number(least: float, most: float) -> Reader:
    """Make a reader of finite numbers.

    :param least: Smallest number accepted.
    :param most: Largest number accepted.
    :returns: The reader.
    """

    def read(log: FaultLog, place: str, raw: object) -> float | None:
        if isinstance(raw, bool) or not isinstance(raw, int | float) or not math.isfinite(raw):
            return _wrong_type(log, place, raw, "a number")
        if not least <= raw <= most:
            return _out_of_range(log, place, raw, least, most)
        return float(raw)

    return read


def flag(log: FaultLog, place: str, raw: object) -> bool | None:
    """Read ``true`` or ``false``."""
    if not isinstance(raw, bool):
        return _wrong_type(log, place, raw, "true or false")
    return raw


def choice(*options: str) -> Reader:
    """Make a reader of one of a few texts.

    :param options: The texts accepted.
    :returns: The reader.
    """
    listed = " or ".join(options)

    def read(log: FaultLog, place: str, raw: object) -> str | None:
        if not isinstance(raw, str):
            return _wrong_type(log, place, raw, listed)
        if raw not in options:
            return log.add(place, "unknown-choice", f"{shown(raw)} is unknown", f"write {listed}")
        return raw

    return read


def ip_number(log: FaultLog, place: str, raw: object) -> str | None:
    """Read an IP address that one host can be reached by."""
    if not isinstance(raw, str):
        return _wrong_type(log, place, raw, "an IP address")
    address = _parsed_address(raw)
    if address is None or address.is_multicast or address.is_unspecified:
        message = f"{shown(raw)} isn't the IP address of a host"
        todo = "write the number, such as 10.0.0.7; names aren't resolved"
        return log.add(place, "bad-ip", message, todo)
    return raw


def array(read_item: Reader, least: int, most: int) -> Reader:
    """Make a reader of lists.

    :param read_item: Reader of one item.
    :param least: Fewest items accepted.
    :param most: Most items accepted.
    :returns: A reader that gives a tuple, with ``None`` for items at fault.
    """

    def read(log: FaultLog, place: str, raw: object) -> tuple | None:
        if not isinstance(raw, list):
            return _wrong_type(log, place, raw, "a list")
        if not least <= len(raw) <= most:
            message = f"the list has {len(raw)} items"
            log.add(place, "bad-count", message, f"list {least} to {most} items")
        items = enumerate(raw[:most])
        return tuple(read_item(log, f"{place}[{index}]", item) for index, item in items)

    return read


def record(
    build: Callable[..., Any],
    readers: Mapping[str, Reader],
    optional: frozenset[str] = frozenset(),
    renamed: Mapping[str, str] | None = None,
) -> Reader:
    """Make a reader of objects with known fields.

    :param build: Called with the fields, once all of them are good.
    :param readers: Reader of each field.
    :param optional: Fields that may be left out.
    :param renamed: Arguments of `build` that are named differently from their field.
    :returns: The reader.
    """
    renamed = renamed or {}

    def read(log: FaultLog, place: str, raw: object) -> Any:
        if not isinstance(raw, dict):
            return _wrong_type(log, place, raw, "an object")
        before = log.count
        values = {}
        prefix = f"{place}." if place else ""
        for key, reader in readers.items():
            if key in raw:
                values[renamed.get(key, key)] = reader(log, prefix + key, raw[key])
            elif key not in optional:
                log.add(prefix + key, "missing-field", "the field is missing", "add it")
        _report_unknown(log, place, raw, readers)
        return build(**values) if log.count == before else None

    return read


def shown(raw: object) -> str:
    """Show a raw value in a message, in bounded length and plain ASCII.

    :param raw: The value.
    :returns: The value or, for lists and objects, what it is.
    """
    if isinstance(raw, dict):
        return "an object"
    if isinstance(raw, list):
        return "a list"
    if raw is None or isinstance(raw, bool):
        return {None: "null", True: "true", False: "false"}[raw]
    if isinstance(raw, str):
        return ascii(raw[:MOST_SHOWN])
    return str(raw)[:MOST_SHOWN]


def _parsed_address(raw: str) -> ipaddress.IPv4Address | ipaddress.IPv6Address | None:
    if "%" in raw:
        return None
    try:
        return ipaddress.ip_address(raw)
    except ValueError:
        return None


def _report_unknown(log: FaultLog, place: str, raw: dict, readers: Mapping[str, Reader]) -> None:
    for key in sorted(raw.keys() - readers.keys()):
        message = "the field is unknown"
        todo = "remove it or correct its name; known here: " + ", ".join(readers)
        log.add(path(place, key), "unknown-field", message, todo)


def _wrong_type(log: FaultLog, place: str, raw: object, wanted: str) -> None:
    log.add(place, "wrong-type", f"{shown(raw)} isn't {wanted}", f"write {wanted}")


def _out_of_range(log: FaultLog, place: str, raw: float, least: float, most: float) -> None:
    message = f"{shown(raw)} is out of range"
    log.add(place, "out-of-range", message, f"write a number from {least} to {most}")
