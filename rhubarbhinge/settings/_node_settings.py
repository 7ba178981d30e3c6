"""Validated settings of one node."""

from dataclasses import dataclass, field
from typing import Literal

SettingValue = str | int | bytes | tuple[str, ...]
"""Type of a setting's value."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of one node.

    :param name: Name of the VM that the node runs on, as in the platform's list.
    :param failure_domain: Failure domain of that VM.
    :param ip: IP address that clients and other nodes connect to.
    :param peer_port: TCP and UDP port for other nodes.
    :param http_port: TCP port for clients and operators.
    :param platform: Addresses of the configuration service, each ``ip:port``.
    :param deployment_key: Secret shared by all nodes of the deployment.
    :param peers: Addresses of nodes used to join the cluster, each ``ip:port`` of a peer port.
    :param pools: Which processes hold connections to upstreams: the relays, or each entry.
    :param switched_off: Mechanisms to disable, for measurements.
    :param links_per_domain: Number of nodes in each other failure domain that this node follows and
        keeps links to.
    :param stop_grace_ms: Maximum duration of a graceful stop, in milliseconds.
    :param drain_wait_ms: Time for load balancers to notice a stop, in milliseconds.
    :param log_level: Least severe level that is logged.
    :param http_header_bytes: Maximum size of a request line and headers.
    :param http_body_bytes: Maximum size of a request body.
    :param http_connections: Maximum number of concurrent client connections.
    :param http_header_timeout_ms: Timeout for receiving a request's headers, in milliseconds.
    :param http_body_timeout_ms: Timeout for receiving a request's body, in milliseconds.
    :param http_idle_timeout_ms: Timeout of a connection between requests, in milliseconds.
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
        """Return the name of a node with these settings.

        :param role: ``entry`` or ``relay``.
        :returns: ``<vm name>/<role>``.
        """
        return f"{self.name}/{role}"
