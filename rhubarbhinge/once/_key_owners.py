"""Which entries own an idempotency key."""

import hashlib

OWNERS_PER_KEY = 2
"""Owners of a key: one orders the claims, the other keeps a copy."""
MAX_LIST_AGE_SHARE = 0.25
"""Oldest list of entries that is used, as a share of the window."""
DELISTED_RANK_SHARE = 1.5
"""Time over which a delisted entry keeps its rank, as a share of the window.

A cut-off owner may bind keys until its list is too old; the entries that take its place must begin
a window after that, and a quarter of a window is left for lists that differ.
"""
_SCORE_BYTES = 8


class KeyOwners:
    """Ranks the entries that could know a key: listed now, or delisted not long ago.

    The rank follows the platform's list of VMs, not liveness: an entry that is only out of reach
    keeps its place, so that no other grants anew what it may have granted.

    :param window_ms: the window.
    """

    def __init__(self, window_ms: int):
        self.delisted_rank_ms = int(window_ms * DELISTED_RANK_SHARE)
        self._list_age_ms = int(window_ms * MAX_LIST_AGE_SHARE)
        self._listed: frozenset[str] = frozenset()
        self._delisted_ms: dict[str, int] = {}
        self._confirmed_ms: int | None = None

    def on_entries(self, listed: frozenset[str], confirmed_ms: int, now_ms: int) -> None:
        """Take the entries that the list names.

        :param listed: names of the entries, with this one.
        :param confirmed_ms: when the list was last confirmed, on this entry's clock.
        :param now_ms: time on this entry's clock.
        """
        for name in self._listed - listed:
            self._delisted_ms[name] = now_ms
        self._listed = listed
        self._confirmed_ms = confirmed_ms
        kept = self._delisted_ms.items()
        self._delisted_ms = {
            name: ms
            for name, ms in kept
            if name not in listed and now_ms < ms + self.delisted_rank_ms
        }

    def is_current(self, now_ms: int) -> bool:
        """Return whether the list is young enough to be used.

        :param now_ms: time on this entry's clock.
        :returns: False if there is no list, or it was confirmed too long ago.
        """
        if self._confirmed_ms is None:
            return False
        return now_ms - self._confirmed_ms < self._list_age_ms

    def is_listed(self, name: str) -> bool:
        """Return whether the list names an entry now.

        :param name: name of the entry.
        :returns: True if so.
        """
        return name in self._listed

    def owners(self, key: str, now_ms: int) -> tuple[str, ...]:
        """Name the owners of a key, the one that orders the claims first.

        :param key: the key.
        :param now_ms: time on this entry's clock.
        :returns: the names; fewer than two in a smaller domain.
        """
        recent = {n for n, ms in self._delisted_ms.items() if now_ms < ms + self.delisted_rank_ms}
        ranked = sorted(self._listed | recent, key=lambda name: _score(key, name), reverse=True)
        return tuple(ranked[:OWNERS_PER_KEY])


def _score(key: str, name: str) -> bytes:
    data = len(name).to_bytes(4, "big") + name.encode() + key.encode()
    return hashlib.blake2b(data, digest_size=_SCORE_BYTES).digest() + name.encode()
