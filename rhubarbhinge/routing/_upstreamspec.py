"""A searcher that a relay owns."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """A searcher's entry in the register, and the share of its capacity that the owner may use.

    :param upstream_id: its number, by :func:`rhubarbhinge.wire.upstream_id`.
    :param name: its name in the register.
    :param ip: its IP address.
    :param port: its port.
    :param slots: number of requests that it runs concurrently.
    :param connections: number of connections that it accepts.
    :param connect_ms: usual time to connect.
    :param leaving: whether the register marks it as leaving.
    :param share: fraction of its slots and connections that this owner may use (1.0: sole owner).
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
