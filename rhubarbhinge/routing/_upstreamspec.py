"""A searcher that a relay owns."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """A searcher, from the register, and the owner's share of it.

    :param upstream_id: its number, by :func:`rhubarbhinge.wire.upstream_id`.
    :param name: its name in the register.
    :param ip: its IP number.
    :param port: its port.
    :param slots: requests that it runs at once.
    :param connections: connections that it accepts.
    :param connect_ms: time that a new connection takes.
    :param leaving: whether the register says that it leaves.
    :param share: part of its slots and connections that this owner may use: 1.0 for a sole owner.
    """

    upstream_id: int
    name: str
    ip: str
    port: int
    slots: int
    connections: int
    connect_ms: int
    leaving: bool = False
    share: float = 1.0
