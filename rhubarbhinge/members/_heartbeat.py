"""What entries tell each other now and then."""

from collections.abc import Mapping
from typing import Annotated, Literal

import msgspec
from msgspec import Struct, field

from rhubarbhinge.members._member import Member, MemberState
from rhubarbhinge.members._members_codec import Claim
from rhubarbhinge.quarantine import ToldSuspicion
from rhubarbhinge.utils.bounded_types import AgeMs, Count, Milliseconds, Name
from rhubarbhinge.utils.revision import Revision
from rhubarbhinge.utils.strict_json import json_decoder

VERSION = 2
"""Version of the format; entries of another one are not understood and not counted."""
MOST_BYTES = 8_192
"""Longest heartbeat that is read; one with all its bounds used takes about 4 KB."""
MOST_UPDATES = 16
"""Most claims in one heartbeat: with some 65 bytes each they fit into one packet of 1,400."""
MOST_SUSPICIONS = 8
"""Most suspicions in a heartbeat, some 110 bytes each."""
MOST_DOMAINS = 64
"""Most failure domains in a heartbeat; seven are planned for."""
LEAVING, ASKS = 1, 2
"""Bits of a heartbeat's flags."""


class HeartbeatError(ValueError):
    """A datagram that is no heartbeat.

    :ivar code: why, for logs.
    """

    code = "bad-heartbeat"


class Heartbeat(Struct, frozen=True):
    """What an entry tells another one. Its IP address is the one that it sends from.

    :param name: name of its VM.
    :param failure_domain: its failure domain.
    :param start_id: drawn at random when its process started.
    :param counter: raised by the entry when it contradicts a claim about it.
    :param leaving: whether it is stopping.
    :param asks: whether it wants a heartbeat back at once.
    :param revision: revision of the published state that it knows.
    :param age_ms: time since that was confirmed; -1 if it never was.
    :param members_digest: digest of the entries that it knows to be present.
    :param heard_ms: how long ago other failure domains were heard from, by anyone in its own.
    :param updates: claims about entries that are news.
    :param suspicions: what is known of requests that end searchers.
    :param plan_version: version of the configuration that it has; 0 for none.
    """

    name: str
    failure_domain: str
    start_id: int
    counter: int
    leaving: bool
    asks: bool
    revision: Revision
    age_ms: float
    members_digest: int
    heard_ms: Mapping[str, float] = field(default_factory=dict)
    updates: tuple[Member, ...] = ()
    suspicions: tuple[ToldSuspicion, ...] = ()
    plan_version: int = 0

    def sender(self, ip: str) -> Member:
        """Give what it claims of its sender.

        :param ip: where it came from.
        :returns: the claim.
        """
        state = MemberState.LEFT if self.leaving else MemberState.ALIVE
        return Member(self.name, ip, self.failure_domain, self.start_id, self.counter, state)


class _Sent(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat as it is sent: its fields in this order, without names; later ones may follow.

    The era of the revision stands apart from its number: an earlier release tells none.
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
    heard_ms: Annotated[dict[Name, Milliseconds], msgspec.Meta(max_length=MOST_DOMAINS)]
    updates: Annotated[list[Claim], msgspec.Meta(max_length=MOST_UPDATES)]
    suspicions: Annotated[list[ToldSuspicion], msgspec.Meta(max_length=MOST_SUSPICIONS)] = []
    era: Count = 0
    plan_version: Count = 0


_read = json_decoder(_Sent)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat.

    :param heartbeat: the heartbeat.
    :returns: a datagram.
    """
    return msgspec.json.encode(
        _Sent(
            VERSION,
            heartbeat.name,
            heartbeat.failure_domain,
            heartbeat.start_id,
            heartbeat.counter,
            LEAVING * heartbeat.leaving + ASKS * heartbeat.asks,
            heartbeat.revision.number,
            round(heartbeat.age_ms),
            heartbeat.members_digest,
            {name: round(age_ms) for name, age_ms in heartbeat.heard_ms.items()},
            [Claim.of(member) for member in heartbeat.updates[:MOST_UPDATES]],
            list(heartbeat.suspicions[:MOST_SUSPICIONS]),
            heartbeat.revision.era,
            heartbeat.plan_version,
        )
    )


def decode_heartbeat(data: bytes) -> Heartbeat:
    """Decode and check a heartbeat.

    :param data: a datagram, from anyone.
    :returns: the heartbeat.
    :raises HeartbeatError: when it is none.
    """
    if len(data) > MOST_BYTES:
        raise HeartbeatError(f"a heartbeat of {len(data)} bytes is too long")
    try:
        sent = _read(data)
    except ValueError as error:
        raise HeartbeatError(f"a datagram is no heartbeat: {error}") from error
    return Heartbeat(
        name=sent.name,
        failure_domain=sent.failure_domain,
        start_id=sent.start_id,
        counter=sent.counter,
        leaving=bool(sent.flags & LEAVING),
        asks=bool(sent.flags & ASKS),
        revision=Revision(sent.era, sent.revision),
        age_ms=sent.age_ms,
        members_digest=sent.members_digest,
        heard_ms=sent.heard_ms,
        updates=tuple(claim.member() for claim in sent.updates),
        suspicions=tuple(sent.suspicions),
        plan_version=sent.plan_version,
    )
