"""Lenient access to parsed JSON, for checks across fields.

The parsers of single fields have already reported wrong types. The functions here skip such values,
so that one mistake neither hides nor causes reports about others.
"""

from collections.abc import Iterable, Iterator

from rhubarbhinge.register._faults import FaultLog
from rhubarbhinge.register._fields import format_value

PlacedString = tuple[str, str]
"""Place and string."""


def objects(parent: object, key: str, place: str = "") -> Iterator[tuple[str, dict]]:
    """Iterate over the objects of a list.

    :param parent: Object that contains the list.
    :param key: Field of the list.
    :param place: Path of the parent.
    :returns: Place and object of each item that is an object.
    """
    for item_place, item in _items(parent, key, place):
        if isinstance(item, dict):
            yield item_place, item


def strings(parent: object, key: str, place: str = "") -> Iterator[PlacedString]:
    """Iterate over the strings of a list.

    :param parent: Object that contains the list.
    :param key: Field of the list.
    :param place: Path of the parent.
    :returns: Place and string of each item that is a string.
    """
    for item_place, item in _items(parent, key, place):
        if isinstance(item, str):
            yield item_place, item


def string(parent: dict, key: str, place: str) -> Iterator[PlacedString]:
    """Yield a field if it is a string.

    :param parent: Object that contains the field.
    :param key: Name of the field.
    :param place: Path of the parent.
    :returns: Place and string, or nothing.
    """
    value = parent.get(key)
    if isinstance(value, str):
        yield f"{place}.{key}" if place else key, value


def objects_by_name(parent: object, key: str) -> dict[str, dict]:
    """Index the objects of a list by name.

    :param parent: Object that contains the list.
    :param key: Field of the list.
    :returns: The first object of each name.
    """
    found: dict[str, dict] = {}
    for _, item in objects(parent, key):
        if isinstance(item.get("name"), str):
            found.setdefault(item["name"], item)
    return found


def placed_names(parent: object, key: str) -> Iterator[PlacedString]:
    """Iterate over the names of a list's objects.

    :param parent: Object that contains the list.
    :param key: Field of the list.
    :returns: Place and name of each object that has one.
    """
    for place, item in objects(parent, key):
        yield from string(item, "name", place)


def check_unique(log: FaultLog, placed: Iterable[PlacedString], label: str) -> None:
    """Report strings that occur more than once.

    :param log: Receives the faults, each at the later place.
    :param placed: The strings with their places.
    :param label: What the strings are, for the message.
    """
    first_places: dict[str, str] = {}
    for place, value in placed:
        if value in first_places:
            message = f"{label} {format_value(value)} is already used at {first_places[value]}"
            log.add(place, "duplicate-name", message, "keep one, or give it another name")
        first_places.setdefault(value, place)


def check_references(
    log: FaultLog, placed: Iterable[PlacedString], known: Iterable[str], kind: str, defined_in: str
) -> None:
    """Report references to undefined names.

    :param log: Receives the faults.
    :param placed: The references with their places.
    :param known: The defined names.
    :param kind: What is referred to, for the message.
    :param defined_in: Where the names are defined, for the message.
    """
    for place, value in placed:
        if value not in known:
            message = f"there is no {kind} {format_value(value)}"
            log.add(place, "unknown-name", message, f"correct it, or add it to {defined_in}")


def _items(parent: object, key: str, place: str) -> Iterator[tuple[str, object]]:
    value = parent.get(key) if isinstance(parent, dict) else None
    base = f"{place}.{key}" if place else key
    for index, item in enumerate(value if isinstance(value, list) else ()):
        yield f"{base}[{index}]", item
