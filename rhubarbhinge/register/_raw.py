"""Lenient access to parsed JSON, for checks across fields.

The checks of single fields have already reported wrong types; the functions here skip such values,
so that one mistake doesn't hide or cause reports about others.
"""

from collections.abc import Iterable, Iterator

from rhubarbhinge.register._faults import FaultLog
from rhubarbhinge.register._fields import shown

Placed = tuple[str, str]
"""Place and text."""


def objects(owner: object, key: str, place: str = "") -> Iterator[tuple[str, dict]]:
    """Go through the objects of a list.

    :param owner: Object that has the list.
    :param key: Field of the list.
    :param place: Path of the owner.
    :returns: Place and object of each item that is an object.
    """
    for at, item in _items(owner, key, place):
        if isinstance(item, dict):
            yield at, item


def texts(owner: object, key: str, place: str = "") -> Iterator[Placed]:
    """Go through the texts of a list.

    :param owner: Object that has the list.
    :param key: Field of the list.
    :param place: Path of the owner.
    :returns: Place and text of each item that is a text.
    """
    for at, item in _items(owner, key, place):
        if isinstance(item, str):
            yield at, item


def text(owner: dict, key: str, place: str) -> Iterator[Placed]:
    """Give a field if it is a text.

    :param owner: Object that has the field.
    :param key: Name of the field.
    :param place: Path of the owner.
    :returns: Place and text, or nothing.
    """
    value = owner.get(key)
    if isinstance(value, str):
        yield f"{place}.{key}" if place else key, value


def names(owner: object, key: str) -> dict[str, dict]:
    """Index the objects of a list by name.

    :param owner: Object that has the list.
    :param key: Field of the list.
    :returns: The first object of each name.
    """
    found: dict[str, dict] = {}
    for _, item in objects(owner, key):
        if isinstance(item.get("name"), str):
            found.setdefault(item["name"], item)
    return found


def placed_names(owner: object, key: str) -> Iterator[Placed]:
    """Go through the names of a list's objects.

    :param owner: Object that has the list.
    :param key: Field of the list.
    :returns: Place and name of each object that has one.
    """
    for place, item in objects(owner, key):
        yield from text(item, "name", place)


def check_unique(log: FaultLog, placed: Iterable[Placed], what: str) -> None:
    """Report texts that occur twice.

    :param log: Gets the faults, at the later place.
    :param placed: The texts.
    :param what: What they are, for the message.
    """
    first: dict[str, str] = {}
    for place, value in placed:
        if value in first:
            message = f"{what} {shown(value)} stands already at {first[value]}"
            log.add(place, "duplicate-name", message, "keep one, or give it another name")
        first.setdefault(value, place)


def check_known(
    log: FaultLog, placed: Iterable[Placed], known: Iterable[str], what: str, listed: str
) -> None:
    """Report references to names that aren't defined.

    :param log: Gets the faults.
    :param placed: The references.
    :param known: The defined names.
    :param what: What is referred to, for the message.
    :param listed: Where the names are defined, for the message.
    """
    for place, value in placed:
        if value not in known:
            message = f"there is no {what} {shown(value)}"
            log.add(place, "unknown-name", message, f"correct it, or add it to {listed}")


def _items(owner: object, key: str, place: str) -> Iterator[tuple[str, object]]:
    value = owner.get(key) if isinstance(owner, dict) else None
    base = f"{place}.{key}" if place else key
    for index, item in enumerate(value if isinstance(value, list) else ()):
        yield f"{base}[{index}]", item
