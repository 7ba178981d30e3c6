"""When a started node has heard enough to serve."""

import random

from rhubarbhinge.control._dissemination_settings import DisseminationSettings
from rhubarbhinge.control._membership import Membership
from rhubarbhinge.wire._config_digest import ConfigDigest

ASKED_PER_DOMAIN = 8
REPEAT_MS = 500


class Startup:
    """Asks some members of each failure domain what they have accepted, and waits for them.

    :param membership: whom this node knows.
    :param rng: source of random choices.
    :param settings: the longest wait.
    """

    def __init__(
        self, membership: Membership, rng: random.Random, settings: DisseminationSettings
    ) -> None:
        self._membership = membership
        self._rng = rng
        self._settle_ms = settings.start_settle_ms
        self._wait_ms = settings.start_wait_ms
        self._keys = settings.required_keys
        self._asked: dict[str, str] = {}
        self._heard: set[str] = set()
        self._started_ms: int | None = None
        self._next_ask_ms = 0
        self._seen_version = -1
        self.peer_answered = False
        self.ready = False

    def on_answer(self, member: str, revisions: ConfigDigest) -> None:
        """Hear from a member.

        :param member: its name.
        :param revisions: what it has accepted.
        """
        if self.ready:
            return
        self._heard.add(member)
        if all(getattr(revisions, f"{key}_revision") for key in self._keys):
            self.peer_answered = True

    def tick(self, may_be_ready: bool, platform_tried: bool, now_ms: int) -> list[str]:
        """Let time pass.

        :param may_be_ready: whether there is configuration, and none higher is missing.
        :param platform_tried: whether the platform was asked.
        :param now_ms: the time.
        :returns: members to ask.
        """
        if self.ready:
            return []
        if self._started_ms is None:
            self._started_ms = now_ms
        searched = platform_tried and self._membership.has_searched(now_ms)
        if may_be_ready and self._has_waited(searched, now_ms - self._started_ms):
            self.ready = True
            return []
        return self._repeat(now_ms) + self._choose()

    def _has_waited(self, searched: bool, waited_ms: int) -> bool:
        if waited_ms >= self._wait_ms:
            return True
        if waited_ms < self._settle_ms or not searched or not self._asked:
            return False
        return self._heard.issuperset(self._asked)

    def _repeat(self, now_ms: int) -> list[str]:
        if now_ms < self._next_ask_ms:
            return []
        self._next_ask_ms = now_ms + REPEAT_MS
        return [name for name in self._asked if name not in self._heard]

    def _choose(self) -> list[str]:
        if self._seen_version == self._membership.version:
            return []
        self._seen_version = self._membership.version
        counts: dict[str, int] = {}
        for domain in self._asked.values():
            counts[domain] = counts.get(domain, 0) + 1
        me = self._membership.self_member
        live = [m for m in self._membership.live() if m.name not in self._asked and m != me]
        self._rng.shuffle(live)
        chosen = []
        for member in live:
            count = counts.get(member.failure_domain, 0)
            if count < ASKED_PER_DOMAIN:
                counts[member.failure_domain] = count + 1
                self._asked[member.name] = member.failure_domain
                chosen.append(member.name)
        return chosen
