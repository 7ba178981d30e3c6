"""How a started node looks for the others."""

from collections import Counter

from rhubarbhinge.control._send_datagram import SendDatagram
from rhubarbhinge.wire._member import Member

JOIN_INTERVAL_MS = 300
"""Period of the rounds, before jitter."""

JOIN_ROUNDS = 10
"""A node that has found another stops its rounds after so many."""

JOIN_TRIES = 2
"""Addresses that were probed less often go first."""


class Joining:
    """Counts the rounds of probes to addresses that nobody live is known at.

    :param probe_timeout_ms: wait for an answer.
    """

    def __init__(self, probe_timeout_ms: int) -> None:
        self._probe_timeout_ms = probe_timeout_ms
        self._rounds = 0
        self._tries: Counter[tuple[str, int]] = Counter()
        self._tried_ms = 0

    def has_searched(self, now_ms: int) -> bool:
        """Tell whether all silent addresses were probed twice and had time to answer.

        :param now_ms: the time.
        :returns: true from then on, and at the latest after ``JOIN_ROUNDS`` rounds of probes.
        """
        if self._rounds > JOIN_ROUNDS:
            return True
        waited_ms = now_ms - self._tried_ms
        return self._rounds > 0 and waited_ms >= 2 * self._probe_timeout_ms

    def begin_round(self, knows_others: bool) -> bool:
        """Count a round.

        :param knows_others: whether a live member is known.
        :returns: whether to probe in it.
        """
        self._rounds += 1
        return self._rounds <= JOIN_ROUNDS or not knows_others

    def targets(self, silent: list[Member], now_ms: int) -> list[Member]:
        """Choose whom to probe in a round.

        :param silent: whom there is to probe.
        :param now_ms: the time.
        :returns: those that were not probed ``JOIN_TRIES`` times yet; all, when there are none.
        """
        untried = [m for m in silent if self._tries[m.ip, m.peer_port] < JOIN_TRIES]
        if untried:
            self._tried_ms = now_ms
        return untried or silent

    def probed(self, probes: list[SendDatagram]) -> None:
        """Count the probes of a round.

        :param probes: what was sent.
        """
        self._tries.update((probe.ip, probe.port) for probe in probes)
