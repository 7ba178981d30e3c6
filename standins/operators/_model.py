"""The contents of a store with revisions and history."""

import base64
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

import orjson


class CompactedError(Exception):
    """The history that was asked for is no longer there."""


@dataclass(frozen=True)
class StoreCopy:
    """What a store held at one time.

    :param revision: its revision.
    :param items: its items by key.
    :param events: the changes of its history.
    :param first_revision: the revision from which on it had them.
    """

    revision: int
    items: Mapping[str, dict]
    events: tuple[dict, ...]
    first_revision: int


class StoreModel:
    """Items by key, a revision that grows with each change, and the changes so far.

    :ivar era: how often it has come back from a copy.
    """

    def __init__(self) -> None:
        self.era = 1
        self.revision = 0
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._first_revision = 0

    def put(self, key: str, value: object) -> None:
        """Write an item.

        :param key: its key.
        :param value: its value, written as JSON; bytes are written as they are.
        """
        data = value if isinstance(value, bytes) else orjson.dumps(value)
        self.revision += 1
        old = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "create_revision": old["create_revision"] if old else self.revision,
            "lease": 0,
        }
        self._items[key] = item
        self._events.append(item)

    def holds(self, key: str, value: object) -> bool:
        """Tell whether an item has a value.

        :param key: its key.
        :param value: the value, as for :meth:`put`.
        :returns: whether it has.
        """
        item = self._items.get(key)
        return item is not None and base64.b64decode(item["value"]) == orjson.dumps(value)

    def delete(self, key: str) -> None:
        """Remove an item.

        :param key: its key.
        """
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._events.append({"key": key, "revision": self.revision, "tombstone": True})

    def get(self, key: str) -> dict | None:
        """Read an item.

        :param key: its key.
        :returns: the item.
        """
        return self._items.get(key)

    def page(self, prefix: str, after: str, most: int) -> tuple[list[dict], bool]:
        """List items in the order of their keys.

        :param prefix: start of the keys.
        :param after: only keys above this one.
        :param most: most items.
        :returns: the items, and whether there are more.
        """
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        return [self._items[key] for key in keys[:most]], len(keys) > most

    def events(self, prefix: str, after: int) -> Iterator[dict]:
        """Give the changes after a revision.

        :param prefix: start of the keys.
        :param after: the revision.
        :returns: the changes.
        :raises CompactedError: when some of them are forgotten, or the revision was never reached.
        """
        if not self._first_revision <= after <= self.revision:
            raise CompactedError
        return (
            event
            for event in self._events
            if event["revision"] > after and event["key"].startswith(prefix)
        )

    def compact(self) -> None:
        """Forget all changes so far."""
        self._events.clear()
        self._first_revision = self.revision

    def copy(self) -> StoreCopy:
        """Copy everything.

        :returns: the copy.
        """
        events = tuple(self._events)
        return StoreCopy(self.revision, dict(self._items), events, self._first_revision)

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy; all that was written since is gone, and its revisions with it.

        :param copy: the copy.
        """
        self.era += 1
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._events = list(copy.events)
        self._first_revision = copy.first_revision
