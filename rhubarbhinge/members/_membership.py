"""Which entries there are: heartbeats in a ring, suspicion, gossip, and two speakers a domain."""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from msgspec.structs import replace

from rhubarbhinge.members._domain_hearing import DomainHearing
from rhubarbhinge.members._gossip import Gossip
from rhubarbhinge.members._heartbeat import Heartbeat
from rhubarbhinge.members._member import Member, MemberState, supersedes
from rhubarbhinge.members._member_table import MemberTable, digest_of
from rhubarbhinge.members._receivers import far_speakers, followers, predecessors, speaker_rank
from rhubarbhinge.timing import TimerHandle
from rhubarbhinge.utils.revision import Revision

BEAT_MS = 1_000.0
"""Period of heartbeats. The balancer looks as often, so that callers notice a death no sooner."""
RANDOM_TARGETS = 1
"""Entries drawn at random that get it besides, so that what rides on heartbeats reaches everyone in
a number of periods that grows with the logarithm of the failure domain only."""
FANOUT = 3
"""Entries of the own failure domain that get each round of news."""
FIRST_ROUND_MS = 20.0
"""News waits so long for more of it; a fleet that starts at once has some each millisecond."""
ROUND_MS = 120.0
"""Pause between rounds of news."""
SILENT_MS = 2_600.0
"""An entry whose predecessor in the ring is silent for so long suspects it: two heartbeats may be
lost, and the third be late."""
SUSPICION_MS = 1_000.0
"""A suspected entry that does not contradict within this time is lost. It is asked at once, and an
answer takes some milliseconds; the rest is for a process that is held up."""
COUNTED_MS = 30_000.0
"""An entry that is lost counts as one that may still send for so long: cut off is not gone. Three
windows of the retry budget."""
UNHEARD_MS = 10_000.0
"""A failure domain that nobody of this one has heard for so long is out of reach. What speakers
hear takes up to ten heartbeats to reach each entry of a domain of a thousand."""
ASK_UNHEARD_MS = 2_200.0
"""A speaker that hears nothing of a domain for so long asks others there than its speakers."""
SEED_AGAIN_MS = 100.0
"""An entry that nobody has answered asks its seeds again after so long, and after twice as long
each time. A fleet starts within 300 ms, so that a seed may listen a moment later than it is asked;
heartbeats would find it after a second, without news and with a wrong share of the retry budget."""
SEED_EVERY = 5
"""One in so many heartbeats looks at the seeds again, which may have been replaced meanwhile."""

Send = Callable[[str, Heartbeat], None]
"""Sends a heartbeat to an IP address."""


class Published(NamedTuple):
    """What this entry knows of the published state.

    :ivar revision: its revision.
    :ivar age_ms: time since that was confirmed; -1 if it never was.
    :ivar plan_version: version of the configuration that it has; 0 for none.
    """

    revision: Revision
    age_ms: float
    plan_version: int = 0


class Timers(Protocol):
    """What is used of the timer service."""

    def now_ms(self) -> float:
        """Read the clock."""

    def after(self, delay_ms: float, callback: Callable[[], None]) -> TimerHandle:
        """Call back once."""


class Membership:
    """Knows which entries there are, by what it hears.

    In a failure domain each entry sends a heartbeat to the two that follow it in the ring of names
    and to one more. Who hears nothing of its predecessor suspects it, and tells everyone; a suspect
    that lives contradicts with a higher counter. Between failure domains only two speakers of each
    exchange heartbeats. News is told at once to a few entries of the domain, by each that hears it,
    and by the speakers to those of other domains. What that misses is found by a digest of all that
    are present, which each heartbeat carries.

    :param timers: the timer service.
    :param me: this entry.
    :param seed_ips: IP addresses to look for others at.
    :param rng: draws the receivers.
    :param send: sends a heartbeat.
    :param published: gives what this entry knows of the published state, which heartbeats tell.
    :ivar me: this entry as it describes itself.
    :ivar table: the others.
    """

    def __init__(
        self,
        timers: Timers,
        me: Member,
        seed_ips: Iterable[str],
        rng: random.Random,
        send: Send,
        published: Callable[[], Published],
    ):
        self._timers = timers
        self.me = me
        self.table = MemberTable()
        self._seeds = tuple(seed_ips)
        self._rng = rng
        self._send_heartbeat = send
        self._published = published
        self._gossip = Gossip()
        self._round_due = False
        self._beats = 0
        self._resumed_ms = float("-inf")
        self._heard_ms: dict[str, float] = {}
        self._watched_ms: dict[str, float] = {}
        self._known_ms: dict[str, float] = {}
        self._hearing = DomainHearing(me.failure_domain)

    # What others ask.

    @property
    def digest(self) -> int:
        """Digest of all entries that are present, this one included."""
        own = 0 if self.me.state is MemberState.LEFT else digest_of(self.me)
        return self.table.digest ^ own

    def live(self, failure_domain: str) -> list[Member]:
        """Give the other entries of a failure domain that can be expected to answer.

        :param failure_domain: the failure domain.
        :returns: those that are present and not suspected, by name; none while the domain is out
            of reach.
        """
        if not self._is_heard(failure_domain, UNHEARD_MS):
            return []
        present = self.table.present(failure_domain)
        return [member for member in present if member.state is MemberState.ALIVE]

    def live_count(self, failure_domain: str) -> int:
        """Count the entries of a failure domain that can be expected to answer.

        :param failure_domain: the failure domain.
        :returns: their number, this one included if it is there.
        """
        own = failure_domain == self.me.failure_domain
        if not self._is_heard(failure_domain, UNHEARD_MS):
            return 0
        return self.table.alive_count(failure_domain) + own

    def all_live(self) -> list[Member]:
        """Give the other entries that can be expected to answer.

        :returns: the entries.
        """
        return [member for domain in self.table.domains() for member in self.live(domain)]

    def processes(self) -> int:
        """Count the entries that may be sending requests, this one included.

        :returns: those that are present, or were heard from within ``COUNTED_MS``.
        """
        since_ms = self._timers.now_ms() - COUNTED_MS
        present = sum(
            len(self.table.present(domain))
            for domain in self.table.domains()
            if self._is_heard(domain, COUNTED_MS + UNHEARD_MS)
        )
        return 1 + present + len(self.table.ended_since(since_ms))

    @property
    def hears_others(self) -> bool:
        """Whether any other entry is known to be present."""
        return self.table.present_count() > 0

    def may_be_sending(self, failure_domain: str = "") -> list[str]:
        """Give the entries that may be sending requests, also those that are not heard.

        :param failure_domain: the failure domain; empty for all.
        :returns: names of those that are present, or were until ``COUNTED_MS`` ago.
        """
        domains = (failure_domain,) if failure_domain else tuple(self.table.domains())
        members = [member for domain in domains for member in self.table.present(domain)]
        members += [self.me, *self.table.ended_since(self._timers.now_ms() - COUNTED_MS)]
        return [one.name for one in members if failure_domain in ("", one.failure_domain)]

    def known_for_ms(self, name: str) -> float:
        """Tell how long an entry has been present without a break, as far as this one knows.

        :param name: its name.
        :returns: the time; 0 if it is not present.
        """
        since_ms = self._known_ms.get(name)
        return 0.0 if since_ms is None else self._timers.now_ms() - since_ms

    # Inputs.

    def start(self) -> None:
        """Look for others, and begin with heartbeats."""
        self._ask_seeds(SEED_AGAIN_MS)
        self._plan_beat()

    def _ask_seeds(self, again_ms: float) -> None:
        """Ask all seeds, and again after a pause while there is none that answers."""
        if self.table.present_count():
            return
        for ip in self._seeds:
            self._send(ip, asks=True)
        if again_ms < BEAT_MS:
            self._timers.after(again_ms, lambda: self._ask_seeds(2 * again_ms))

    def follow_seeds(self, seed_ips: Iterable[str]) -> None:
        """Take other seeds.

        :param seed_ips: IP addresses to look for others at.
        """
        self._seeds = tuple(seed_ips)

    def on_heartbeat(self, heartbeat: Heartbeat, ip: str) -> None:
        """Take a heartbeat.

        :param heartbeat: the heartbeat.
        :param ip: where it came from.
        """
        sender = heartbeat.sender(ip)
        if sender.name != self.me.name:
            self._hear(sender, heartbeat)
        for claim in heartbeat.updates:
            self._take(claim)
        if sender.name == self.me.name:
            return
        known = self.table.get(sender.name)
        if known is not None and supersedes(known, sender):
            self._send(ip, (known,))
        elif heartbeat.asks:
            self._send(ip)

    def on_members(self, members: Iterable[Member]) -> None:
        """Take the list of another entry, and tell the own failure domain of this one.

        :param members: the claims.
        """
        for claim in members:
            self._take(claim)
        self._spread(self.me)

    def on_work(self, failure_domain: str) -> None:
        """Note that an entry of another failure domain has answered a request.

        :param failure_domain: where it runs.
        """
        self._hearing.hear(failure_domain, self._timers.now_ms())

    def on_pause(self) -> None:
        """Begin all waits anew: silence while this process was held up proves nothing."""
        now_ms = self._resumed_ms = self._timers.now_ms()
        self._watched_ms = dict.fromkeys(self._watched_ms, now_ms)

    def tell(self) -> None:
        """Send heartbeats now, as what they carry has changed."""
        updates, _ = self._gossip.next_round()
        near = self.table.present(self.me.failure_domain)
        receivers = followers(self.me, self.table)
        receivers += self._rng.sample(near, min(RANDOM_TARGETS, len(near)))
        for ip in dict.fromkeys(member.ip for member in receivers):
            self._send(ip, updates)
        self._tell_far(updates)

    def send_to(self, ip: str) -> None:
        """Send a heartbeat to an entry now, for what rides on it.

        :param ip: the entry's IP address.
        """
        self._send(ip)

    def leave(self) -> None:
        """Tell the others that this entry is stopping."""
        self.me = replace(self.me, state=MemberState.LEFT)
        self._spread(self.me)
        self.tell()

    # Periodic work.

    def _plan_beat(self) -> None:
        self._timers.after(BEAT_MS * self._rng.uniform(0.9, 1.1), self._beat)

    def _beat(self) -> None:
        self._plan_beat()
        self._beats += 1
        self.table.forget_ended(self._timers.now_ms() - COUNTED_MS)
        self._watch()
        self.tell()
        self._look_further()

    def _watch(self) -> None:
        """Suspect the predecessors in the ring that are silent.

        Who has left is no longer told anything, and would take that for silence.
        """
        if self.me.state is MemberState.LEFT:
            return
        now_ms = self._timers.now_ms()
        watched = predecessors(self.me, self.table)
        self._watched_ms = {one.name: self._watched_ms.get(one.name, now_ms) for one in watched}
        for member in watched:
            heard_ms = max(self._heard_ms.get(member.name, 0.0), self._watched_ms[member.name])
            if member.state is MemberState.ALIVE and now_ms - heard_ms > SILENT_MS:
                suspect = replace(member, state=MemberState.SUSPECT)
                self._take(suspect)
                self._send(member.ip, (suspect,), asks=True)

    def _look_further(self) -> None:
        """Ask seeds and members of silent domains, whom no heartbeat goes to otherwise."""
        if speaker_rank(self.me, self.table) is None:
            return
        asked = set()
        for domain in self.table.domains():
            if domain != self.me.failure_domain and not self._is_heard(domain, ASK_UNHEARD_MS):
                asked.add(self._rng.choice(self.table.present(domain)).ip)
        if not self.table.present_count() or self._beats % SEED_EVERY == 0:
            known = {member.ip for member in self.table.all() if member.is_present}
            asked.update(ip for ip in self._seeds if ip not in known and ip != self.me.ip)
        for ip in sorted(asked):
            self._send(ip, asks=True)

    # News.

    def _hear(self, sender: Member, heartbeat: Heartbeat) -> None:
        now_ms = self._timers.now_ms()
        self._heard_ms[sender.name] = now_ms
        # One that leaves watches nobody, and is no sign that others of its domain live.
        if sender.is_present:
            self._hearing.hear(sender.failure_domain, now_ms)
        if sender.failure_domain == self.me.failure_domain:
            self._hearing.hear_of(heartbeat.heard_ms, now_ms)
        self._take(sender)

    def _take(self, claim: Member) -> None:
        if claim.name == self.me.name:
            self._contradict(claim)
            return
        now_ms = self._timers.now_ms()
        if not self.table.adopt(claim, now_ms):
            return
        if claim.is_present:
            self._known_ms.setdefault(claim.name, now_ms)
        else:
            self._known_ms.pop(claim.name, None)
            self._heard_ms.pop(claim.name, None)
        if claim.state is MemberState.ALIVE and claim.name in self._watched_ms:
            self._watched_ms[claim.name] = now_ms
        elif claim.state is MemberState.SUSPECT:
            self._timers.after(SUSPICION_MS, lambda: self._end_suspicion(claim))
        self._hearing.know(claim.failure_domain, now_ms)
        self._spread(claim)

    def _contradict(self, claim: Member) -> None:
        """Raise the counter above a claim about this entry that is not its own, or not true."""
        me = self.me
        own = claim.start_id == me.start_id and claim.state is MemberState.ALIVE
        if own or me.state is MemberState.LEFT or claim.counter < me.counter:
            return
        self.me = replace(me, counter=claim.counter + 1)
        self._spread(self.me)

    def _end_suspicion(self, suspect: Member) -> None:
        if self.table.get(suspect.name) != suspect:
            return
        if self._timers.now_ms() - self._resumed_ms < SUSPICION_MS:
            self._timers.after(SUSPICION_MS, lambda: self._end_suspicion(suspect))
            return
        self._take(replace(suspect, state=MemberState.LOST))

    def _spread(self, claim: Member) -> None:
        self._gossip.add(claim)
        self._plan_round(FIRST_ROUND_MS)

    def _plan_round(self, delay_ms: float) -> None:
        if not self._round_due:
            self._round_due = True
            self._timers.after(delay_ms, self._round)

    def _round(self) -> None:
        self._round_due = False
        updates, first = self._gossip.next_round()
        if not updates:
            return
        near = self.table.present(self.me.failure_domain)
        for member in self._rng.sample(near, min(FANOUT, len(near))):
            self._send(member.ip, updates)
        if first:
            self._tell_far(first)
        if self._gossip:
            self._plan_round(ROUND_MS)

    def _tell_far(self, updates: tuple[Member, ...]) -> None:
        """Tell the speakers of other domains the news of this one, if this entry is a speaker."""
        own = tuple(one for one in updates if one.failure_domain == self.me.failure_domain)
        for speaker in far_speakers(self.me, self.table):
            self._send(speaker.ip, own)

    def _send(self, ip: str, updates: tuple[Member, ...] = (), asks: bool = False) -> None:
        me, published = self.me, self._published()
        near = any(one.ip == ip for one in self.table.present(me.failure_domain))
        heartbeat = Heartbeat(
            name=me.name,
            failure_domain=me.failure_domain,
            start_id=me.start_id,
            counter=me.counter,
            leaving=me.state is MemberState.LEFT,
            asks=asks,
            revision=published.revision,
            age_ms=published.age_ms,
            members_digest=self.digest,
            heard_ms=self._hearing.ages_ms(self._timers.now_ms()) if near else {},
            updates=updates,
            plan_version=published.plan_version,
        )
        self._send_heartbeat(ip, heartbeat)

    def _is_heard(self, failure_domain: str, within_ms: float) -> bool:
        return self._hearing.is_heard(failure_domain, within_ms, self._timers.now_ms())
