"""Membership protocol: ring heartbeats, suspicion, gossip, and representatives of each domain."""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from msgspec.structs import replace

from rhubarbhinge.members._domain_contacts import DomainContacts
from rhubarbhinge.members._gossip_queue import GossipQueue
from rhubarbhinge.members._heartbeat import MAX_DOMAINS, Heartbeat
from rhubarbhinge.members._member import Member, MemberState, supersedes
from rhubarbhinge.members._member_table import MemberTable, digest_of
from rhubarbhinge.members._topology import (
    remote_representatives,
    representative_rank,
    ring_predecessors,
    ring_successors,
)
from rhubarbhinge.timing import TimerHandle
from rhubarbhinge.utils.revision import Revision

HEARTBEAT_MS = 1_000.0
"""Heartbeat period. The load balancer checks equally often, so a shorter period would not let
callers notice a crash any sooner."""
RANDOM_RECEIVERS = 1
"""Random further receivers of each heartbeat. They let data that is piggybacked on heartbeats reach
every entry within a number of periods logarithmic in the size of the failure domain."""
GOSSIP_FANOUT = 3
"""Entries of the local failure domain that get each gossip round."""
GOSSIP_DELAY_MS = 20.0
"""Delay before the first gossip round, to batch updates; a fleet that starts up produces several
each millisecond."""
GOSSIP_INTERVAL_MS = 120.0
"""Interval between gossip rounds."""
SUSPECT_AFTER_MS = 2_600.0
"""An entry suspects its ring predecessor after this much silence: two heartbeats may be lost and
the third delayed."""
SUSPICION_TIMEOUT_MS = 1_000.0
"""A suspected entry that does not refute the suspicion within this time is declared lost. It is
probed at once and a reply takes some milliseconds; the rest allows for a stalled process."""
LOST_COUNTED_MS = 30_000.0
"""How long a lost entry still counts as a potential sender of requests, as it may only be
partitioned off. Three windows of the retry budget."""
DOMAIN_TIMEOUT_MS = 10_000.0
"""A failure domain is unreachable once no entry of the local domain has heard from it for this
long. What representatives hear takes up to ten heartbeats to reach each entry of a domain of a
thousand."""
DOMAIN_PROBE_AFTER_MS = 2_200.0
"""A representative that hears nothing from a domain for this long probes other entries there."""
SEED_RETRY_MS = 100.0
"""First retry delay of an entry that has not heard from any other since it contacted its seeds; the
delay doubles with each retry. A fleet starts within 300 ms, so a seed may start listening just
after it is contacted. Regular heartbeats would reach it after a second; until then the entry would
miss gossip and compute a wrong share of the retry budget."""
SEED_HEARTBEATS = 5
"""Number of heartbeats between two contacts of the seeds, which may have been replaced."""

Send = Callable[[str, Heartbeat], None]
"""Sends a heartbeat to an IP address."""


class PublishedStatus(NamedTuple):
    """The published state that this entry has.

    :ivar revision: its revision.
    :ivar age_ms: time since that revision was confirmed; -1 if it never was.
    :ivar plan_version: version of its configuration; 0 for none.
    """

    revision: Revision
    age_ms: float
    plan_version: int = 0


class Timers(Protocol):
    """The part of the timer service used here."""

    def now_ms(self) -> float:
        """Return the current time."""

    def after(self, delay_ms: float, callback: Callable[[], None]) -> TimerHandle:
        """Schedule a single call."""


class Membership:
    """Tracks the entries of the fleet by heartbeats and gossip, similar to SWIM.

    In a failure domain, each entry sends heartbeats to its two successors in the ring ordered by
    name and to one random entry. An entry that hears nothing from its predecessor suspects it and
    gossips the suspicion; a suspected entry that is alive refutes it with a higher counter. Only
    two representatives of each failure domain exchange heartbeats with other domains. Each entry
    gossips an update to a few entries of its domain, and representatives forward updates to those
    of other domains. Updates that gossip misses are detected by a digest of all present entries,
    which each heartbeat carries.

    :param timers: the timer service.
    :param me: this entry.
    :param seed_ips: IP addresses of entries to contact first.
    :param rng: chooses the receivers.
    :param send: sends a heartbeat.
    :param published: returns the published state of this entry, which heartbeats report.
    :ivar me: this entry.
    :ivar table: the other entries.
    """

    def __init__(
        self,
        timers: Timers,
        me: Member,
        seed_ips: Iterable[str],
        rng: random.Random,
        send: Send,
        published: Callable[[], PublishedStatus],
    ):
        self._timers = timers
        self.me = me
        self.table = MemberTable()
        self._seeds = tuple(seed_ips)
        self._rng = rng
        self._send_heartbeat = send
        self._published = published
        self._gossip_queue = GossipQueue()
        self._gossip_scheduled = False
        self._heartbeat_count = 0
        self._resumed_ms = float("-inf")
        self._last_heard_ms: dict[str, float] = {}
        self._watched_since_ms: dict[str, float] = {}
        self._present_since_ms: dict[str, float] = {}
        self._domain_contacts = DomainContacts(me.failure_domain)

    # Queries.

    @property
    def digest(self) -> int:
        """Digest of all present entries, including this one."""
        own = 0 if self.me.state is MemberState.LEFT else digest_of(self.me)
        return self.table.digest ^ own

    def live(self, failure_domain: str) -> list[Member]:
        """Return the other entries of a failure domain that are expected to respond.

        :param failure_domain: the failure domain.
        :returns: the alive entries ordered by name; none while the domain is unreachable.
        """
        if not self._is_domain_recent(failure_domain, DOMAIN_TIMEOUT_MS):
            return []
        present = self.table.present(failure_domain)
        return [member for member in present if member.state is MemberState.ALIVE]

    def live_count(self, failure_domain: str) -> int:
        """Count the entries of a failure domain that are expected to respond.

        :param failure_domain: the failure domain.
        :returns: their number, including this entry if it is in that domain.
        """
        own = failure_domain == self.me.failure_domain
        if not self._is_domain_recent(failure_domain, DOMAIN_TIMEOUT_MS):
            return 0
        return self.table.alive_count(failure_domain) + own

    def all_live(self) -> list[Member]:
        """Return the other entries that are expected to respond.

        :returns: the entries.
        """
        return [member for domain in self.table.domains() for member in self.live(domain)]

    def process_count(self) -> int:
        """Count the entries that may be sending requests, including this one.

        :returns: the number of entries present or heard from within ``LOST_COUNTED_MS``.
        """
        since_ms = self._timers.now_ms() - LOST_COUNTED_MS
        present = sum(
            len(self.table.present(domain))
            for domain in self.table.domains()
            if self._is_domain_recent(domain, LOST_COUNTED_MS + DOMAIN_TIMEOUT_MS)
        )
        return 1 + present + len(self.table.lost_since(since_ms))

    @property
    def has_peers(self) -> bool:
        """Whether any other entry is present."""
        return self.table.present_count() > 0

    def potential_senders(self, failure_domain: str = "") -> list[str]:
        """Return the entries that may be sending requests, including unreachable ones.

        :param failure_domain: the failure domain; empty for all.
        :returns: names of the entries that are present, or were within ``LOST_COUNTED_MS``.
        """
        domains = (failure_domain,) if failure_domain else tuple(self.table.domains())
        members = [member for domain in domains for member in self.table.present(domain)]
        members += [self.me, *self.table.lost_since(self._timers.now_ms() - LOST_COUNTED_MS)]
        return [one.name for one in members if failure_domain in ("", one.failure_domain)]

    def present_for_ms(self, name: str) -> float:
        """Return how long this entry has known another one to be present without interruption.

        :param name: its name.
        :returns: the duration; 0 if it is not present.
        """
        since_ms = self._present_since_ms.get(name)
        return 0.0 if since_ms is None else self._timers.now_ms() - since_ms

    # Events.

    def start(self) -> None:
        """Contact the seeds and start sending heartbeats."""
        self._contact_seeds(SEED_RETRY_MS)
        self._schedule_heartbeat()

    def _contact_seeds(self, retry_ms: float) -> None:
        """Contact all seeds, and retry while no other entry is known."""
        if self.table.present_count():
            return
        for ip in self._seeds:
            self._send(ip, wants_reply=True)
        if retry_ms < HEARTBEAT_MS:
            self._timers.after(retry_ms, lambda: self._contact_seeds(2 * retry_ms))

    def set_seeds(self, seed_ips: Iterable[str]) -> None:
        """Replace the seeds.

        :param seed_ips: IP addresses of entries to contact.
        """
        self._seeds = tuple(seed_ips)

    def on_heartbeat(self, heartbeat: Heartbeat, ip: str) -> None:
        """Handle a heartbeat.

        :param heartbeat: the heartbeat.
        :param ip: its source address.
        """
        sender = heartbeat.sender(ip)
        if sender.name != self.me.name:
            self._on_sender(sender, heartbeat)
        for update in heartbeat.updates:
            self._apply(update)
        if sender.name == self.me.name:
            return
        known = self.table.get(sender.name)
        if known is not None and supersedes(known, sender):
            self._send(ip, (known,))
        elif heartbeat.wants_reply:
            self._send(ip)

    def on_members(self, members: Iterable[Member]) -> None:
        """Apply the list of another entry, and gossip this entry to the local failure domain.

        :param members: the list.
        """
        for update in members:
            self._apply(update)
        self._queue_gossip(self.me)

    def on_domain_contact(self, failure_domain: str) -> None:
        """Record a response from an entry of another failure domain to a request.

        :param failure_domain: that entry's failure domain.
        """
        self._domain_contacts.record(failure_domain, self._timers.now_ms())

    def on_pause(self) -> None:
        """Restart all timeouts: silence during a pause of this process proves no failure."""
        now_ms = self._resumed_ms = self._timers.now_ms()
        self._watched_since_ms = dict.fromkeys(self._watched_since_ms, now_ms)

    def send_heartbeats(self) -> None:
        """Send heartbeats now, because their content has changed."""
        updates, _ = self._gossip_queue.next_round()
        local = self.table.present(self.me.failure_domain)
        receivers = ring_successors(self.me, self.table)
        receivers += self._rng.sample(local, min(RANDOM_RECEIVERS, len(local)))
        for ip in dict.fromkeys(member.ip for member in receivers):
            self._send(ip, updates)
        self._send_to_other_domains(updates)

    def send_heartbeat(self, ip: str) -> None:
        """Send a heartbeat to an entry now, for the data piggybacked on it.

        :param ip: the entry's IP address.
        """
        self._send(ip)

    def leave(self) -> None:
        """Announce that this entry is shutting down."""
        self.me = replace(self.me, state=MemberState.LEFT)
        self._queue_gossip(self.me)
        self.send_heartbeats()

    # Periodic tasks.

    def _schedule_heartbeat(self) -> None:
        self._timers.after(HEARTBEAT_MS * self._rng.uniform(0.9, 1.1), self._on_heartbeat_due)

    def _on_heartbeat_due(self) -> None:
        self._schedule_heartbeat()
        self._heartbeat_count += 1
        self.table.purge_ended(self._timers.now_ms() - LOST_COUNTED_MS)
        self._check_predecessors()
        self.send_heartbeats()
        self._probe_silent()

    def _check_predecessors(self) -> None:
        """Suspect ring predecessors that are silent.

        An entry that has left gets no more heartbeats and would mistake that for silence.
        """
        if self.me.state is MemberState.LEFT:
            return
        now_ms = self._timers.now_ms()
        watched = ring_predecessors(self.me, self.table)
        self._watched_since_ms = {
            one.name: self._watched_since_ms.get(one.name, now_ms) for one in watched
        }
        for member in watched:
            heard_ms = max(
                self._last_heard_ms.get(member.name, 0.0), self._watched_since_ms[member.name]
            )
            if member.state is MemberState.ALIVE and now_ms - heard_ms > SUSPECT_AFTER_MS:
                suspect = replace(member, state=MemberState.SUSPECT)
                self._apply(suspect)
                self._send(member.ip, (suspect,), wants_reply=True)

    def _probe_silent(self) -> None:
        """Probe seeds and entries of silent domains, which get no regular heartbeats."""
        if representative_rank(self.me, self.table) is None:
            return
        probed = set()
        for domain in self.table.domains():
            if domain != self.me.failure_domain and not self._is_domain_recent(
                domain, DOMAIN_PROBE_AFTER_MS
            ):
                probed.add(self._rng.choice(self.table.present(domain)).ip)
        if not self.table.present_count() or self._heartbeat_count % SEED_HEARTBEATS == 0:
            known = {member.ip for member in self.table.all() if member.is_present}
            probed.update(ip for ip in self._seeds if ip not in known and ip != self.me.ip)
        for ip in sorted(probed):
            self._send(ip, wants_reply=True)

    # Updates.

    def _on_sender(self, sender: Member, heartbeat: Heartbeat) -> None:
        now_ms = self._timers.now_ms()
        self._last_heard_ms[sender.name] = now_ms
        # An entry that is leaving monitors nobody and is no evidence that its domain is alive.
        if sender.is_present:
            self._domain_contacts.record(sender.failure_domain, now_ms)
        if sender.failure_domain == self.me.failure_domain:
            self._domain_contacts.merge_ages(heartbeat.domain_ages_ms, now_ms)
        self._apply(sender)

    def _apply(self, update: Member) -> None:
        if update.name == self.me.name:
            self._refute(update)
            return
        now_ms = self._timers.now_ms()
        if not self.table.apply(update, now_ms):
            return
        if update.is_present:
            self._present_since_ms.setdefault(update.name, now_ms)
        else:
            self._present_since_ms.pop(update.name, None)
            self._last_heard_ms.pop(update.name, None)
        if update.state is MemberState.ALIVE and update.name in self._watched_since_ms:
            self._watched_since_ms[update.name] = now_ms
        elif update.state is MemberState.SUSPECT:
            self._timers.after(SUSPICION_TIMEOUT_MS, lambda: self._expire_suspicion(update))
        self._domain_contacts.add(update.failure_domain, now_ms)
        self._queue_gossip(update)

    def _refute(self, update: Member) -> None:
        """Refute an update about this entry that is wrong or from an earlier process."""
        me = self.me
        own = update.start_id == me.start_id and update.state is MemberState.ALIVE
        if own or me.state is MemberState.LEFT or update.counter < me.counter:
            return
        self.me = replace(me, counter=update.counter + 1)
        self._queue_gossip(self.me)

    def _expire_suspicion(self, suspect: Member) -> None:
        if self.table.get(suspect.name) != suspect:
            return
        if self._timers.now_ms() - self._resumed_ms < SUSPICION_TIMEOUT_MS:
            self._timers.after(SUSPICION_TIMEOUT_MS, lambda: self._expire_suspicion(suspect))
            return
        self._apply(replace(suspect, state=MemberState.LOST))

    def _queue_gossip(self, update: Member) -> None:
        self._gossip_queue.add(update)
        self._schedule_gossip(GOSSIP_DELAY_MS)

    def _schedule_gossip(self, delay_ms: float) -> None:
        if not self._gossip_scheduled:
            self._gossip_scheduled = True
            self._timers.after(delay_ms, self._send_gossip)

    def _send_gossip(self) -> None:
        self._gossip_scheduled = False
        updates, first = self._gossip_queue.next_round()
        if not updates:
            return
        local = self.table.present(self.me.failure_domain)
        for member in self._rng.sample(local, min(GOSSIP_FANOUT, len(local))):
            self._send(member.ip, updates)
        if first:
            self._send_to_other_domains(first)
        if self._gossip_queue:
            self._schedule_gossip(GOSSIP_INTERVAL_MS)

    def _send_to_other_domains(self, updates: tuple[Member, ...]) -> None:
        """Send updates about this failure domain to other domains, if this is a representative."""
        own = tuple(one for one in updates if one.failure_domain == self.me.failure_domain)
        for representative in remote_representatives(self.me, self.table):
            self._send(representative.ip, own)

    def _send(self, ip: str, updates: tuple[Member, ...] = (), wants_reply: bool = False) -> None:
        me, published = self.me, self._published()
        local = any(one.ip == ip for one in self.table.present(me.failure_domain))
        contacts = self._domain_contacts
        heartbeat = Heartbeat(
            name=me.name,
            failure_domain=me.failure_domain,
            start_id=me.start_id,
            counter=me.counter,
            leaving=me.state is MemberState.LEFT,
            wants_reply=wants_reply,
            revision=published.revision,
            age_ms=published.age_ms,
            members_digest=self.digest,
            domain_ages_ms=contacts.ages_ms(self._timers.now_ms(), MAX_DOMAINS) if local else {},
            updates=updates,
            plan_version=published.plan_version,
            capacity=me.capacity,
        )
        self._send_heartbeat(ip, heartbeat)

    def _is_domain_recent(self, failure_domain: str, within_ms: float) -> bool:
        return self._domain_contacts.is_recent(failure_domain, within_ms, self._timers.now_ms())
