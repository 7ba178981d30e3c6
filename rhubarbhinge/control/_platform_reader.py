"""When this node calls the platform: watches of readers, calls of all others now and then.

Readers are the members of the failure domain that rank highest; nobody elects them, and two nodes
that disagree on the members merely both read. Each node paces itself so that all together stay
under the platform's rate: readers share one part of it, all nodes alike the other. A part of a
split or restarted failure domain that ranks its own readers gets only its share by members.
"""

import random
from dataclasses import dataclass

from rhubarbhinge.control._config_keys import KEYS
from rhubarbhinge.control._contacts import Contacts
from rhubarbhinge.control._content_hash import HASH_MASK
from rhubarbhinge.control._dissemination_settings import DisseminationSettings
from rhubarbhinge.control._member_state import LEAVING
from rhubarbhinge.control._membership import Membership
from rhubarbhinge.control._platform_outcome import ANSWERED, PlatformOutcome
from rhubarbhinge.control._rendezvous import best
from rhubarbhinge.control._token_bucket import TokenBucket

CALL_BURST = 3
REVIEW_MS = 1_000
OVERLOAD_FACTOR = 4
CONTACT_MARGIN_MS = 1_000


@dataclass(slots=True)
class _Poll:
    next_ms: int = 0
    expires_ms: int = 0
    failures: int = 0
    answered: bool = False
    answered_ms: int = 0


class PlatformReader:
    """Decides which keys this node asks the platform for, and when.

    :param membership: whom this node knows.
    :param rng: source of jitter.
    :param settings: budgets and periods.
    """

    def __init__(
        self, membership: Membership, rng: random.Random, settings: DisseminationSettings
    ) -> None:
        self._membership = membership
        self._rng = rng
        self._settings = settings
        self._polls = {key: _Poll() for key in KEYS}
        self._rate_per_s = 0.0
        self._bucket: TokenBucket | None = None
        self._started_ms = 0
        self._reviewed_ms: int | None = None
        self._reviewed_version = -1
        self._peak_domain = 1
        self._ranked = False
        self._acting = False
        self._own_contact_ms = -1
        self._contacts = Contacts()

    @property
    def is_reader(self) -> bool:
        """True while this node watches the platform."""
        return self._ranked or self._acting

    def answered(self) -> bool:
        """Tell whether the platform has answered for every key.

        :returns: true once each key had an answer.
        """
        return all(poll.answered for poll in self._polls.values())

    def tried(self) -> bool:
        """Tell whether the platform was asked for every key, in vain or not.

        :returns: true once each call had an outcome.
        """
        return all(poll.answered or poll.failures for poll in self._polls.values())

    def platform_age_ms(self, now_ms: int) -> int:
        """Give the time since some node in reach had answers of the platform for all keys.

        :param now_ms: the time.
        :returns: age of the oldest of that node's last answers, -1 for never.
        """
        newest_ms = self._contacts.newest_ms
        return -1 if newest_ms is None else max(0, now_ms - newest_ms)

    @property
    def contact(self) -> int:
        """Identifies the newest answer of the platform known here; 0 for none."""
        return self._contacts.newest

    def on_contact(self, contact: int, age_ms: int, now_ms: int) -> None:
        """Hear of an answer that the platform gave to some node.

        :param contact: identifies the answer; 0 for none.
        :param age_ms: time since then.
        :param now_ms: the time.
        """
        contact_ms = now_ms - age_ms
        if not contact or not self._contacts.hear(contact, contact_ms):
            return
        if self._acting and contact_ms > self._own_contact_ms + CONTACT_MARGIN_MS:
            self._acting = False

    def on_outcome(self, key: str, outcome: PlatformOutcome, fresh: bool, now_ms: int) -> None:
        """Take the outcome of a call.

        :param key: the key that was asked for.
        :param outcome: how the call ended.
        :param fresh: whether a document came that was above what is accepted or refused.
        :param now_ms: the time.
        """
        poll = self._polls[key]
        poll.expires_ms = 0
        if outcome in ANSWERED:
            self._on_answer(poll, outcome, fresh, now_ms)
            return
        factor = OVERLOAD_FACTOR if outcome == PlatformOutcome.OVERLOADED else 1
        self._on_failure(poll, factor, now_ms)

    def due(self, ready: bool, now_ms: int) -> list[tuple[str, int]]:
        """List the calls to make now.

        :param ready: whether this node is ready; until then it asks for all keys.
        :param now_ms: the time.
        :returns: keys with how long the platform may hold the call.
        """
        self._review(now_ms)
        if now_ms < self._started_ms + self._settings.peers_first_ms:
            return []
        calls = []
        for key in self._rng.sample(KEYS, len(KEYS)):
            poll = self._polls[key]
            if poll.expires_ms and now_ms >= poll.expires_ms:
                self.on_outcome(key, PlatformOutcome.FAILED, False, now_ms)
            if poll.expires_ms or now_ms < poll.next_ms:
                continue
            if ready and not self.is_reader and not poll.next_ms:
                self._defer(poll, now_ms)
                continue
            if not self._bucket.take(1, now_ms):
                break
            calls.append((key, self._begin(poll, now_ms)))
        return calls

    def _begin(self, poll: _Poll, now_ms: int) -> int:
        wait_ms = 0
        if self.is_reader and poll.answered:
            wait_ms = int(self._settings.watch_ms * self._rng.uniform(0.7, 1.0))
        poll.expires_ms = now_ms + wait_ms + self._settings.answer_grace_ms
        return wait_ms

    def _defer(self, poll: _Poll, now_ms: int) -> None:
        period_ms = self._settings.fallback_ms * len(KEYS)
        poll.next_ms = now_ms + int(period_ms * self._rng.uniform(0.3, 1.0))

    def _on_answer(self, poll: _Poll, outcome: PlatformOutcome, fresh: bool, now_ms: int) -> None:
        if not self._ranked and self._silence_ms(now_ms) > self._settings.acting_after_ms:
            self._acting = True
            self._call_soon()
        poll.failures = 0
        poll.answered = True
        poll.answered_ms = now_ms
        self._note_contact()
        poll.next_ms = now_ms
        if not self.is_reader:
            self._defer(poll, now_ms)
        elif outcome == PlatformOutcome.MISSING or (
            outcome == PlatformOutcome.CHANGED and not fresh
        ):
            poll.next_ms = now_ms + int(self._settings.watch_ms * self._rng.uniform(0.1, 0.2))

    def _note_contact(self) -> None:
        if not self.answered():
            return
        contact_ms = min(poll.answered_ms for poll in self._polls.values())
        if contact_ms > self._own_contact_ms:
            self._own_contact_ms = contact_ms
            self._contacts.hear(self._rng.randint(1, HASH_MASK), contact_ms)

    def _silence_ms(self, now_ms: int) -> int:
        age_ms = self.platform_age_ms(now_ms)
        return age_ms if age_ms >= 0 else now_ms - self._started_ms

    def _on_failure(self, poll: _Poll, factor: int, now_ms: int) -> None:
        limit_ms = self._settings.backoff_limit_ms
        wait_ms = min(limit_ms, self._settings.backoff_ms * factor * 2 ** min(poll.failures, 10))
        poll.failures += 1
        poll.next_ms = now_ms + int(wait_ms * self._rng.uniform(0.5, 1.0))
        if not self.is_reader and poll.answered:
            self._defer(poll, now_ms)

    def _review(self, now_ms: int) -> None:
        if self._bucket is None:
            self._started_ms = now_ms
        elif now_ms < self._reviewed_ms + REVIEW_MS:
            return
        self._reviewed_ms = now_ms
        if self._reviewed_version != self._membership.version:
            self._reviewed_version = self._membership.version
            self._rank()
        self._pace(now_ms)

    def _rank(self) -> None:
        me = self._membership.self_member
        live = self._membership.live(None, me.failure_domain)
        self._peak_domain = max(self._peak_domain, len(live))
        readers = best(f"readers|{me.failure_domain}", live, self._settings.readers_per_domain)
        was = self._ranked
        self._ranked = me.state != LEAVING and any(m.name == me.name for m in readers)
        if self._ranked and not was:
            self._call_soon()

    def _call_soon(self) -> None:
        for poll in self._polls.values():
            poll.next_ms = 0

    def _pace(self, now_ms: int) -> None:
        rate_per_s = self._node_rate_per_s()
        if self._ranked:
            rate_per_s = max(rate_per_s, self._reader_rate_per_s())
        if self._bucket is None:
            self._bucket = TokenBucket(rate_per_s, CALL_BURST, self._start_tokens(rate_per_s))
        elif rate_per_s != self._rate_per_s:
            self._bucket.set_rate(rate_per_s, now_ms)
        self._rate_per_s = rate_per_s

    def _start_tokens(self, rate_per_s: float) -> float:
        # Evenly spread over one token, so that nodes that start at once do not call at once.
        return self._rng.random() + min(rate_per_s, CALL_BURST - 1) / 2

    def _node_rate_per_s(self) -> float:
        settings = self._settings
        known = len(self._membership.live())
        nodes = max(settings.expected_nodes, self._membership.listed, known)
        total_per_s = settings.platform_calls_per_s * (1 - settings.reader_share)
        return min(settings.node_calls_per_s, total_per_s / nodes)

    def _reader_rate_per_s(self) -> float:
        settings = self._settings
        me = self._membership.self_member
        seen = {member.failure_domain for member in self._membership.members()}
        readers = settings.readers_per_domain * max(len(seen), settings.expected_domains)
        rate_per_s = settings.platform_calls_per_s * settings.reader_share / readers
        live = len(self._membership.live(None, me.failure_domain))
        expected = settings.expected_nodes // settings.expected_domains
        listed = self._membership.listed // max(1, len(seen))
        usual = max(self._peak_domain, listed, expected)
        return min(settings.reader_calls_per_s, rate_per_s) * min(1.0, live / usual)
