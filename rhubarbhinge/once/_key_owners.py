"""Which entries own an idempotency key."""

import hashlib

OWNERS = 2
"""Owners of a key: one orders the claims, the other keeps a copy."""
_SCORE_BYTES = 8


class KeyOwners:
    """Ranks the members that could know a key: live now, or lost within the window.

    A lost member keeps its rank for the window, so that no other takes its place and grants anew
    what it may have granted.

    :param window_ms: the window.
    """

    def __init__(self, window_ms: int):
        self._window_ms = window_ms
        self._live: frozenset[str] = frozenset()
        self._lost_ms: dict[str, int] = {}

    def on_members(self, live: frozenset[str], now_ms: int) -> None:
        """Take the live members of the domain.

        :param live: names of entries, with this one.
        :param now_ms: time on this entry's clock.
        """
        for name in self._live - live:
            self._lost_ms[name] = now_ms
        self._live = live
        kept = self._lost_ms.items()
        self._lost_ms = {
            name: ms for name, ms in kept if name not in live and now_ms < ms + self._window_ms
        }

    def owners(self, key: str, now_ms: int) -> tuple[str, ...]:
        """Name the owners of a key, the one that orders the claims first.

        :param key: the key.
        :param now_ms: time on this entry's clock.
        :returns: the names; fewer than two in a smaller domain.
        """
        recent = {n for n, ms in self._lost_ms.items() if now_ms < ms + self._window_ms}
        ranked = sorted(self._live | recent, key=lambda name: _score(key, name), reverse=True)
        return tuple(ranked[:OWNERS])

    def wait_ms(self, name: str, now_ms: int) -> int:
        """Tell how long a lost member keeps its rank.

        :param name: its name.
        :param now_ms: time on this entry's clock.
        :returns: the rest of the window in ms; 0 for a live member.
        """
        lost_ms = self._lost_ms.get(name)
        return 0 if lost_ms is None else max(0, lost_ms + self._window_ms - now_ms)


def _score(key: str, name: str) -> bytes:
    data = len(name).to_bytes(4, "big") + name.encode() + key.encode()
    return hashlib.blake2b(data, digest_size=_SCORE_BYTES).digest() + name.encode()
