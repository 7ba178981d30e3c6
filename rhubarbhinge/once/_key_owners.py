"""Owners of idempotency keys by rendezvous hashing."""

import hashlib

OWNERS_PER_KEY = 2
"""Owners of a key: the first orders the claims, the second keeps a copy."""
MAX_LIST_AGE_SHARE = 0.25
"""Maximum age of the list of entries, as a fraction of the key window."""
DELISTED_RANK_SHARE = 1.5
"""Time for which a delisted entry keeps its rank, as a fraction of the key window.

A partitioned owner may bind keys until its list is too old, for a quarter of the window. Its
successors must not start before another window has passed, and another quarter allows for lists
that differ between entries.
"""
_SCORE_BYTES = 8


class KeyOwners:
    """Ranks the entries that may hold a key: listed now, or delisted recently.

    The rank depends on the platform's list of VMs, not on liveness: an unreachable entry keeps its
    rank, so that no other entry binds a key again that it may have bound.

    :param window_ms: the key window.
    """

    def __init__(self, window_ms: int):
        self.delisted_rank_ms = int(window_ms * DELISTED_RANK_SHARE)
        self._list_age_ms = int(window_ms * MAX_LIST_AGE_SHARE)
        self._listed: frozenset[str] = frozenset()
        self._delisted_ms: dict[str, int] = {}
        self._confirmed_ms: int | None = None

    def on_entries(self, listed: frozenset[str], confirmed_ms: int, now_ms: int) -> None:
        """Update the listed entries.

        :param listed: names of the entries, including this one.
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
        """Return whether the list is recent enough to be used.

        :param now_ms: time on this entry's clock.
        :returns: False if there is no list, or it was last confirmed too long ago.
        """
        if self._confirmed_ms is None:
            return False
        return now_ms - self._confirmed_ms < self._list_age_ms

    def is_listed(self, name: str) -> bool:
        """Return whether an entry is listed at present.

        :param name: name of the entry.
        :returns: True if the current list contains it.
        """
        return name in self._listed

    def owners(self, key: str, now_ms: int) -> tuple[str, ...]:
        """Return the owners of a key, starting with the one that orders its claims.

        :param key: the key.
        :param now_ms: time on this entry's clock.
        :returns: the names; fewer than two if there are fewer entries.
        """
        recent = {n for n, ms in self._delisted_ms.items() if now_ms < ms + self.delisted_rank_ms}
        ranked = sorted(self._listed | recent, key=lambda name: _score(key, name), reverse=True)
        return tuple(ranked[:OWNERS_PER_KEY])


def _score(key: str, name: str) -> bytes:
    data = len(name).to_bytes(4, "big") + name.encode() + key.encode()
    return hashlib.blake2b(data, digest_size=_SCORE_BYTES).digest() + name.encode()
