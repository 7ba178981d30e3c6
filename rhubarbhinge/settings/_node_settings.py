"""The settings of one node as frozen data."""

from dataclasses import dataclass, field
from typing import Literal

SettingValue = str | int | bytes | tuple[str, ...]
"""What a setting can hold."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of one node.

    :param name: Name of the VM that the node runs on, as in the platform's list.
    :param failure_domain: Failure domain of that VM.
    :param ip: Address that callers and other nodes use.
    :param peer_port: TCP and UDP port for other nodes.
    :param http_port: TCP port for callers and operators.
    :param platform: Addresses of the configuration service, each ``ip:port``.
    :param deployment_key: Secret that all nodes of the deployment share.
    :param peers: Addresses of nodes to join by, each ``ip:port`` of a peer port.
    :param pools: Who holds connections to upstreams: relays, or each entry.
    :param switched_off: Mechanisms to do without; for measuring.
    :param links_per_domain: Nodes of each other failure domain that this node follows and links to.
    :param stop_grace_ms: Longest time of a graceful stop, in milliseconds.
    :param drain_wait_ms: Time of a stop that balancers get to notice it, in milliseconds.
    :param log_level: Least severe level that is logged.
    :param http_header_bytes: Most bytes of a request's line and headers.
    :param http_body_bytes: Most bytes of a request's body.
    :param http_connections: Most connections of callers at a time.
    :param http_header_timeout_ms: Longest time for a request's headers, in milliseconds.
    :param http_body_timeout_ms: Longest time for a request's body, in milliseconds.
    :param http_idle_timeout_ms: Longest time between two requests, in milliseconds.
    """

    name: str
    failure_domain: str
    ip: str
    peer_port: int
    http_port: int
    platform: tuple[str, ...]
    deployment_key: bytes = field(repr=False)
    peers: tuple[str, ...] = ()
    pools: Literal["relay", "direct"] = "relay"
    switched_off: tuple[str, ...] = ()
    links_per_domain: int = 8
    stop_grace_ms: int = 30_000
    drain_wait_ms: int = 5_000
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    http_header_bytes: int = 16_384
    http_body_bytes: int = 1_048_576
    http_connections: int = 1_000
    http_header_timeout_ms: int = 5_000
    http_body_timeout_ms: int = 20_000
    http_idle_timeout_ms: int = 60_000

    def node_name(self, role: str) -> str:
        """Name the node that runs with these settings.

        :param role: ``entry`` or ``relay``.
        :returns: ``<vm name>/<role>``.
        """
        return f"{self.name}/{role}"
