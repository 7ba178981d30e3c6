"""What is published and can't be used, told to operators once for each cause."""

from collections.abc import Callable, Iterable

from rhubarbhinge.published._unusable_entry import UnusableEntry
from rhubarbhinge.telemetry import log_event

MOST_KEPT = 1_000
"""Keys that are remembered, 100 KB of them; more of them at a time are only counted."""
AGAIN_MS = 60_000.0
"""A cause that stays is logged so often; an operator who looks at a few minutes of log finds it."""
MOST_LINES = 20
"""Lines within ``AGAIN_MS``; causes that name what was read may differ from read to read."""
MOST_CAUSE_CHARS = 200
"""Longest cause in a line."""
MOST_NAMED_KEYS = 5
"""Keys that one line names; all have the same cause, and mostly the same writer."""


class UnusableEntries:
    """Keys that hold what can't be used, with a line of the log for each cause.

    :param now_ms: gives the time.
    :ivar found: how many such values were read since the start.
    """

    def __init__(self, now_ms: Callable[[], float]):
        self._now_ms = now_ms
        self._cause_by_key: dict[str, str] = {}
        self._key_by_incarnation: dict[str, str] = {}
        self._logged_ms: dict[str, float] = {}
        self.found = 0

    def __len__(self) -> int:
        return len(self._cause_by_key)

    def replace(self, entries: Iterable[UnusableEntry]) -> None:
        """Take all that can't be used, as a list of everything tells it.

        :param entries: the entries.
        """
        before = self._cause_by_key
        self._cause_by_key, self._key_by_incarnation = {}, {}
        self._take(entries, before)

    def add(self, entries: Iterable[UnusableEntry]) -> None:
        """Take what was written and can't be used.

        :param entries: the entries.
        """
        self._take(entries, dict(self._cause_by_key))

    def forget(self, incarnations: Iterable[str]) -> None:
        """Note searchers whose entries can be used now, or are gone.

        :param incarnations: the searchers.
        """
        for incarnation in incarnations:
            key = self._key_by_incarnation.pop(incarnation, None)
            if key is not None:
                self._cause_by_key.pop(key, None)

    def _take(self, entries: Iterable[UnusableEntry], before: dict[str, str]) -> None:
        fresh_keys: dict[str, list[str]] = {}
        for entry in entries:
            self.found += 1
            if len(self._cause_by_key) < MOST_KEPT:
                self._cause_by_key[entry.key] = entry.cause
                self._key_by_incarnation[entry.incarnation] = entry.key
            if before.get(entry.key) != entry.cause:
                fresh_keys.setdefault(entry.cause, []).append(entry.key)
        for cause, keys in fresh_keys.items():
            self._log(cause, keys)

    def _log(self, cause: str, keys: list[str]) -> None:
        now_ms = self._now_ms()
        recent = {one: at for one, at in self._logged_ms.items() if now_ms - at < AGAIN_MS}
        self._logged_ms = recent
        if cause in recent or len(recent) >= MOST_LINES:
            return
        recent[cause] = now_ms
        log_event(
            "entry-unusable",
            level="error",
            cause=cause[:MOST_CAUSE_CHARS],
            keys=",".join(keys[:MOST_NAMED_KEYS]),
            count=len(keys),
        )
