"""Configurations as the operators write them."""

from collections.abc import Iterable, Mapping

HOST = "desk.example"
"""The host of all routes."""


def configuration(
    version: int,
    shards: Iterable[str],
    once: Mapping[str, str],
    repeatable: Mapping[str, str],
    target_latency_ms: int,
) -> dict:
    """Make a configuration with one search, ``/search/``, and routes to single services.

    :param version: its version.
    :param shards: services of the search.
    :param once: services by the names of routes that may not repeat; paths begin with the name.
    :param repeatable: services by the names of routes that may.
    :param target_latency_ms: the latency objective of all routes.
    :returns: the value of the configuration's key.
    """
    common = {
        "host": HOST,
        "timeout_ms": 5_000,
        "target_latency_ms": target_latency_ms,
        "priority": 1,
        "max_attempts": 2,
    }
    search = {
        **common,
        "name": "search",
        "path_prefix": "/search/",
        "route_type": "idempotent",
        "gather": list(shards),
        "top_k": 7,
        "min_success_ratio": 0.75,
    }
    kinds = {name: "non_idempotent" for name in once} | dict.fromkeys(repeatable, "idempotent")
    routes = [
        {
            **common,
            "name": name,
            "path_prefix": f"/{name}/",
            "route_type": kinds[name],
            "service": service,
        }
        for name, service in {**once, **repeatable}.items()
    ]
    services = sorted({*shards, *once.values(), *repeatable.values()})
    return {
        "version": version,
        "routes": [search, *routes],
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 40} for name in services
        ],
        "limits": {},
    }
