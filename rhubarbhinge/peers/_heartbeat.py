"""What entries tell each other now and then."""

import ipaddress
from dataclasses import dataclass

import orjson

MOST_BYTES = 8_192
"""Longest heartbeat that is read; one of 200 VMs takes about 4 KB."""
MOST_KNOWN = 256
"""Most addresses in a heartbeat; enough to join by."""


class HeartbeatError(ValueError):
    """A datagram that is no heartbeat.

    :ivar code: why, for logs.
    """

    code = "bad-heartbeat"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What an entry tells the others.

    :param name: name of its VM.
    :param ip: its IP address.
    :param failure_domain: its failure domain.
    :param revision: revision of the published state that it knows; 0 for none.
    :param age_ms: time since that was confirmed; -1 if it never was.
    :param leaving: whether it is stopping.
    :param asks: whether it wants a heartbeat back at once.
    :param known: IP addresses of entries that it has heard of lately.
    """

    name: str
    ip: str
    failure_domain: str
    revision: int
    age_ms: float
    leaving: bool
    asks: bool
    known: tuple[str, ...]


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat.

    :param heartbeat: the heartbeat.
    :returns: a datagram.
    """
    return orjson.dumps(
        [
            heartbeat.name,
            heartbeat.ip,
            heartbeat.failure_domain,
            heartbeat.revision,
            round(heartbeat.age_ms),
            int(heartbeat.leaving),
            int(heartbeat.asks),
            heartbeat.known,
        ]
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
        name, ip, failure_domain, revision, age_ms, leaving, asks, listed, *_ = orjson.loads(data)
        known = tuple(str(ipaddress.IPv4Address(one)) for one in listed[:MOST_KNOWN])
        return Heartbeat(
            name=str(name)[:200],
            ip=str(ipaddress.IPv4Address(ip)),
            failure_domain=str(failure_domain)[:200],
            revision=int(revision),
            age_ms=float(age_ms),
            leaving=bool(leaving),
            asks=bool(asks),
            known=known,
        )
    except (TypeError, ValueError) as error:
        raise HeartbeatError(f"a datagram is no heartbeat: {error}") from error
