"""Heartbeats between entries and their encoding."""

from collections.abc import Mapping
from itertools import islice
from typing import Annotated, Literal

import msgspec
from msgspec import Struct, field

from rhubarbhinge.members._member import Member, MemberState
from rhubarbhinge.members._members_codec import WireMember
from rhubarbhinge.members._vm_capacity import UNKNOWN_CAPACITY, CapacityUnits, VmCapacity
from rhubarbhinge.quarantine import SuspicionMessage
from rhubarbhinge.utils.bounded_types import AgeMs, Count, Milliseconds, Name, PlanVersion
from rhubarbhinge.utils.revision import Revision
from rhubarbhinge.utils.strict_json import json_decoder

VERSION = 2
"""Version of the format; heartbeats of any other version are rejected."""
MAX_HEARTBEAT_BYTES = 16_384
"""Greatest accepted size of a heartbeat; one with all fields at their bounds and names of
``MAX_SHORT_NAME_BYTES`` takes about 15 KB."""
MAX_UPDATES = 16
"""Most updates in a heartbeat; at about 65 bytes each they fit into one packet of 1,400 bytes."""
MAX_SUSPICIONS = 8
"""Most suspicions in a heartbeat, at about 110 bytes each."""
MAX_DOMAINS = 64
"""Most failure domains in a heartbeat; the planned fleet has seven."""
MAX_REPORTED_ROUTES = 8
"""Most routes whose requests a heartbeat counts; the callers of a deployment use three to five."""
MAX_FULL_SEARCHERS = 8
"""Most full searchers in a heartbeat, at about 20 bytes each."""
MAX_MARK = (1 << 32) - 1
"""Greatest mark of a searcher's start, a 32-bit checksum."""
FLAG_LEAVING, FLAG_WANTS_REPLY = 1, 2
"""Bits of the flags field."""


class HeartbeatError(ValueError):
    """A datagram that is not a valid heartbeat.

    :ivar code: error code for logs.
    """

    code = "bad-heartbeat"


class FullSearcher(msgspec.Struct, frozen=True, array_like=True):
    """Refusals of a searcher as observed by the sender of a heartbeat.

    :param mark: identifies the searcher's start, as ``SearcherStart.mark``.
    :param refused_permille: share of requests that it refuses, in thousandths.
    :param age_ms: age of the observation.
    """

    mark: Annotated[int, msgspec.Meta(ge=0, le=MAX_MARK)]
    refused_permille: Annotated[int, msgspec.Meta(ge=0, le=1_000)]
    age_ms: Milliseconds


class Heartbeat(Struct, frozen=True):
    """A heartbeat. The sender's IP address is the source address of the datagram.

    :param name: name of the sender's VM.
    :param failure_domain: the sender's failure domain.
    :param start_id: random number drawn when the sender's process started.
    :param counter: incremented by the sender to refute an update about it.
    :param leaving: whether the sender is shutting down.
    :param wants_reply: whether the receiver is to send a heartbeat back at once.
    :param revision: revision of the published state that the sender has.
    :param age_ms: time since that revision was confirmed; -1 if it never was.
    :param members_digest: digest of the entries that the sender knows to be present.
    :param domain_ages_ms: time since the last contact of any entry in the sender's failure domain
        with each other domain.
    :param updates: membership updates to gossip.
    :param suspicions: suspected requests, which crash the searchers that execute them.
    :param plan_version: version of the sender's configuration; 0 for none.
    :param capacity: resources of the sender's VM.
    :param unreachable_domains: failure domains that the sender has found to be unreachable.
    :param recent_requests: number of recent requests of the sender's callers by route.
    :param full_searchers: searchers that refuse many of the sender's requests.
    """

    name: str
    failure_domain: str
    start_id: int
    counter: int
    leaving: bool
    wants_reply: bool
    revision: Revision
    age_ms: float
    members_digest: int
    domain_ages_ms: Mapping[str, float] = field(default_factory=dict)
    updates: tuple[Member, ...] = ()
    suspicions: tuple[SuspicionMessage, ...] = ()
    plan_version: int = 0
    capacity: VmCapacity = UNKNOWN_CAPACITY
    unreachable_domains: tuple[str, ...] = ()
    recent_requests: Mapping[str, int] = field(default_factory=dict)
    full_searchers: tuple[FullSearcher, ...] = ()

    def sender(self, ip: str) -> Member:
        """Return the sender as a membership update.

        :param ip: source address of the datagram.
        :returns: the update.
        """
        state = MemberState.LEFT if self.leaving else MemberState.ALIVE
        return Member(
            self.name,
            ip,
            self.failure_domain,
            self.start_id,
            self.counter,
            state,
            self.capacity,
        )


class _WireHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """The wire form of a heartbeat, an array of these fields; later releases may append more.

    The era of the revision is separate from its number, as earlier releases don't send it.
    """

    version: Literal[VERSION]
    name: Name
    failure_domain: Name
    start_id: Count
    counter: Count
    flags: Count
    revision: Count
    age_ms: AgeMs
    members_digest: Count
    domain_ages_ms: Annotated[dict[Name, Milliseconds], msgspec.Meta(max_length=MAX_DOMAINS)]
    updates: Annotated[list[WireMember], msgspec.Meta(max_length=MAX_UPDATES)]
    suspicions: Annotated[list[SuspicionMessage], msgspec.Meta(max_length=MAX_SUSPICIONS)] = []
    era: Count = 0
    plan_version: PlanVersion = 0
    cores_percent: CapacityUnits = 0
    link_mbps: CapacityUnits = 0
    unreachable_domains: Annotated[list[Name], msgspec.Meta(max_length=MAX_DOMAINS)] = []
    recent_requests: Annotated[dict[Name, Count], msgspec.Meta(max_length=MAX_REPORTED_ROUTES)] = {}
    full_searchers: Annotated[list[FullSearcher], msgspec.Meta(max_length=MAX_FULL_SEARCHERS)] = []


_decode_json = json_decoder(_WireHeartbeat)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat.

    :param heartbeat: the heartbeat.
    :returns: a datagram.
    """
    return msgspec.json.encode(
        _WireHeartbeat(
            VERSION,
            heartbeat.name,
            heartbeat.failure_domain,
            heartbeat.start_id,
            heartbeat.counter,
            FLAG_LEAVING * heartbeat.leaving + FLAG_WANTS_REPLY * heartbeat.wants_reply,
            heartbeat.revision.number,
            round(heartbeat.age_ms),
            heartbeat.members_digest,
            {name: round(age_ms) for name, age_ms in heartbeat.domain_ages_ms.items()},
            [WireMember.from_member(member) for member in heartbeat.updates[:MAX_UPDATES]],
            list(heartbeat.suspicions[:MAX_SUSPICIONS]),
            heartbeat.revision.era,
            heartbeat.plan_version,
            *heartbeat.capacity.to_wire(),
            list(heartbeat.unreachable_domains[:MAX_DOMAINS]),
            dict(islice(heartbeat.recent_requests.items(), MAX_REPORTED_ROUTES)),
            list(heartbeat.full_searchers[:MAX_FULL_SEARCHERS]),
        )
    )


def decode_heartbeat(data: bytes) -> Heartbeat:
    """Decode and validate a heartbeat.

    :param data: an untrusted datagram.
    :returns: the heartbeat.
    :raises HeartbeatError: when the datagram is not a valid heartbeat.
    """
    if len(data) > MAX_HEARTBEAT_BYTES:
        raise HeartbeatError(f"heartbeat of {len(data)} bytes is too long")
    try:
        sent = _decode_json(data)
    except ValueError as error:
        raise HeartbeatError(f"invalid heartbeat: {error}") from error
    return Heartbeat(
        name=sent.name,
        failure_domain=sent.failure_domain,
        start_id=sent.start_id,
        counter=sent.counter,
        leaving=bool(sent.flags & FLAG_LEAVING),
        wants_reply=bool(sent.flags & FLAG_WANTS_REPLY),
        revision=Revision(sent.era, sent.revision),
        age_ms=sent.age_ms,
        members_digest=sent.members_digest,
        domain_ages_ms=sent.domain_ages_ms,
        updates=tuple(update.to_member() for update in sent.updates),
        suspicions=tuple(sent.suspicions),
        plan_version=sent.plan_version,
        capacity=VmCapacity.from_wire(sent.cores_percent, sent.link_mbps),
        unreachable_domains=tuple(sent.unreachable_domains),
        recent_requests=sent.recent_requests,
        full_searchers=tuple(sent.full_searchers),
    )
