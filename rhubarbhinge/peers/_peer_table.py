"""Which other entries there are."""

from collections.abc import Iterable

from rhubarbhinge.peers._heartbeat import Heartbeat

LIVE_MS = 3_500.0
"""An entry counts as alive this long after its last heartbeat; three of them may be lost."""
KNOWN_MS = 30_000.0
"""A silent entry counts as one that may still send for so long: cut off is not gone."""


class PeerTable:
    """Which other entries there are, by their heartbeats.

    :param own_ip: IP address of this VM.
    :param seed_ips: addresses to look for others at.
    """

    def __init__(self, own_ip: str, seed_ips: Iterable[str]):
        self._own_ip = own_ip
        self._seeds = tuple(seed_ips)
        self._heard: dict[str, tuple[Heartbeat, float]] = {}
        self._told: dict[str, float] = {}

    def follow_seeds(self, seed_ips: Iterable[str]) -> None:
        """Take other seeds.

        :param seed_ips: addresses to look for others at.
        """
        self._seeds = tuple(seed_ips)

    def on_heartbeat(self, heartbeat: Heartbeat, now_ms: float) -> None:
        """Take a heartbeat.

        :param heartbeat: what an entry told.
        :param now_ms: the time.
        """
        if heartbeat.ip == self._own_ip:
            return
        self._heard[heartbeat.ip] = (heartbeat, now_ms)
        for ip in heartbeat.known:
            if ip != self._own_ip:
                self._told.setdefault(ip, now_ms)

    def targets(self, now_ms: float) -> tuple[str, ...]:
        """Give the addresses that heartbeats go to.

        :param now_ms: the time.
        :returns: seeds, entries heard of lately, and those that others told of.
        """
        self._forget(now_ms)
        targets = dict.fromkeys((*self._seeds, *self._heard, *self._told))
        targets.pop(self._own_ip, None)
        return tuple(targets)

    def live(self, now_ms: float) -> list[Heartbeat]:
        """Give the entries that are alive, this one left out.

        :param now_ms: the time.
        :returns: their last heartbeats.
        """
        return [beat for beat, heard_ms in self._heard.values() if now_ms - heard_ms <= LIVE_MS]

    def processes(self, now_ms: float) -> int:
        """Count the entries that may be sending requests, this one included.

        :param now_ms: the time.
        :returns: those heard within ``KNOWN_MS`` that did not say that they leave.
        """
        self._forget(now_ms)
        return 1 + sum(not beat.leaving for beat, _ in self._heard.values())

    def _forget(self, now_ms: float) -> None:
        for ip, (_, heard_ms) in list(self._heard.items()):
            if now_ms - heard_ms > KNOWN_MS:
                del self._heard[ip]
        for ip, told_ms in list(self._told.items()):
            if ip in self._heard or now_ms - told_ms > KNOWN_MS:
                del self._told[ip]
