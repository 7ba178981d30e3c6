"""Store entries that cannot be used, logged once for each cause."""

from collections.abc import Callable, Iterable

from rhubarbhinge.published._unusable_entry import UnusableEntry
from rhubarbhinge.telemetry import log_event

MAX_KEYS = 1_000
"""Keys that are remembered, which take 100 KB; further ones are only counted."""
REPEAT_LOG_MS = 60_000.0
"""Interval at which a persisting cause is logged again, so that an operator who reads a few minutes
of the log finds it."""
MAX_LOG_LINES = 20
"""Lines within ``REPEAT_LOG_MS``; a cause that quotes what was read may differ at each read."""
MAX_CAUSE_CHARS = 200
"""Longest cause in a line."""
MAX_LOGGED_KEYS = 5
"""Keys named in one line; all have the same cause, and mostly the same writer."""


class UnusableEntries:
    """Keys whose values cannot be used, with a log line for each cause.

    :param now_ms: returns the current time.
    :ivar total_found: number of unusable values read since the start.
    """

    def __init__(self, now_ms: Callable[[], float]):
        self._now_ms = now_ms
        self._cause_by_key: dict[str, str] = {}
        self._key_by_incarnation: dict[str, str] = {}
        self._logged_ms: dict[str, float] = {}
        self.total_found = 0

    def __len__(self) -> int:
        return len(self._cause_by_key)

    def replace(self, entries: Iterable[UnusableEntry]) -> None:
        """Replace all store entries by those of a list of the full state.

        :param entries: the store entries.
        """
        previous = self._cause_by_key
        self._cause_by_key, self._key_by_incarnation = {}, {}
        self._record(entries, previous)

    def add(self, entries: Iterable[UnusableEntry]) -> None:
        """Add newly written store entries that cannot be used.

        :param entries: the store entries.
        """
        self._record(entries, dict(self._cause_by_key))

    def discard_searchers(self, incarnations: Iterable[str]) -> None:
        """Discard the store entries of searchers that can be used now, or were removed.

        :param incarnations: the searchers.
        """
        for incarnation in incarnations:
            key = self._key_by_incarnation.pop(incarnation, None)
            if key is not None:
                self._cause_by_key.pop(key, None)

    def _record(self, entries: Iterable[UnusableEntry], previous: dict[str, str]) -> None:
        new_keys: dict[str, list[str]] = {}
        for entry in entries:
            self.total_found += 1
            if len(self._cause_by_key) < MAX_KEYS:
                self._cause_by_key[entry.key] = entry.cause
                self._key_by_incarnation[entry.incarnation] = entry.key
            if previous.get(entry.key) != entry.cause:
                new_keys.setdefault(entry.cause, []).append(entry.key)
        for cause, keys in new_keys.items():
            self._log(cause, keys)

    def _log(self, cause: str, keys: list[str]) -> None:
        now_ms = self._now_ms()
        recent = {one: at for one, at in self._logged_ms.items() if now_ms - at < REPEAT_LOG_MS}
        self._logged_ms = recent
        if cause in recent or len(recent) >= MAX_LOG_LINES:
            return
        recent[cause] = now_ms
        log_event(
            "entry-unusable",
            level="error",
            cause=cause[:MAX_CAUSE_CHARS],
            keys=",".join(keys[:MAX_LOGGED_KEYS]),
            count=len(keys),
        )
