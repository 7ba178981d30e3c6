"""Settings of the dissemination of configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DisseminationSettings:
    """Budgets and periods; the budgets come from the platform's rate and the control target.

    :param expected_nodes: size of the fleet before any VM list is known.
    :param expected_domains: number of failure domains before any are seen.
    :param required_keys: without these accepted a node is not ready.
    :param readers_per_domain: how many nodes of a failure domain watch the platform.
    :param platform_calls_per_s: the platform's rate over all nodes.
    :param reader_share: part of that rate given to readers; the rest goes to all nodes alike.
    :param reader_calls_per_s: the most that one reader may call.
    :param node_calls_per_s: the most that another node may call.
    :param watch_ms: how long a watch waits at the platform.
    :param answer_grace_ms: a call without an outcome this long after its wait has failed.
    :param fallback_ms: period at which a node that is no reader calls the platform for one key.
    :param acting_after_ms: if no node in reach had an answer for this long, one that gets an answer
        goes on as a reader.
    :param backoff_ms: first wait after a failed call; doubles up to ``backoff_limit_ms``.
    :param backoff_limit_ms: longest wait between failed calls.
    :param peers_first_ms: after the start peers are asked alone for this long.
    :param start_settle_ms: a node is not ready sooner, so that it has found those to ask.
    :param start_wait_ms: after this a node no longer waits for those it asked at its start.
    :param neighbours: members of the own failure domain that are told of a change.
    :param remote_neighbours: members of each other failure domain that a reader tells.
    :param pull_timeout_ms: a peer that sends no chunk for this long is given up.
    :param upload_bytes_per_s: average allowance for chunks sent.
    :param upload_burst_bytes: allowance that may be saved up.
    """

    expected_nodes: int = 16
    expected_domains: int = 4
    required_keys: tuple[str, ...] = ("register", "rules")
    readers_per_domain: int = 3
    platform_calls_per_s: float = 2_000.0
    reader_share: float = 0.4
    reader_calls_per_s: float = 10.0
    node_calls_per_s: float = 2.0
    watch_ms: int = 15_000
    answer_grace_ms: int = 3_000
    fallback_ms: int = 30_000
    acting_after_ms: int = 30_000
    backoff_ms: int = 500
    backoff_limit_ms: int = 15_000
    peers_first_ms: int = 500
    start_settle_ms: int = 1_000
    start_wait_ms: int = 3_000
    neighbours: int = 3
    remote_neighbours: int = 2
    pull_timeout_ms: int = 1_000
    upload_bytes_per_s: float = 2_500.0
    upload_burst_bytes: float = 512 * 1024.0
