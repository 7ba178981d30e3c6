"""Deployments and their kinds of requests, as the operators' sheets give them."""

from dataclasses import dataclass

from standins.operators import configuration

CONNECTIONS = 26
"""Connections that a searcher takes."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One kind of request.

    :param name: its name, also that of its route; paths begin with it.
    :param rate_per_s: how often it comes, over all entries.
    :param work_ms: median time that a searcher takes for it.
    :param objective_ms: its latency objective.
    :param wait_ms: how long callers wait.
    :param least_share: least share of the shards in an answer; 0 for a request to one searcher.
    :param top_k: records in an answer.
    :param priority: its rank; 0 is the most urgent.
    """

    name: str
    rate_per_s: float
    work_ms: float
    objective_ms: float
    wait_ms: int
    least_share: float
    top_k: int
    priority: int


@dataclass(frozen=True, slots=True)
class Site:
    """One deployment.

    :param name: its name.
    :param domains: its failure domains.
    :param entries: entries in each domain.
    :param shards: services of a search, two searchers each.
    :param slots: requests that a searcher executes at a time.
    :param single: searchers of the service for requests to one searcher.
    :param pause_ms: how long a searcher pauses at times.
    :param pause_every_ms: how often it does.
    :param classes: its kinds of requests.
    """

    name: str
    domains: tuple[str, ...]
    entries: int
    shards: int
    slots: int
    single: int
    pause_ms: float
    pause_every_ms: float
    classes: tuple[RequestClass, ...]

    def shard_names(self) -> tuple[str, ...]:
        """Name the shards.

        :returns: names of services.
        """
        return tuple(f"shard-{place}" for place in range(self.shards))

    def published(self) -> dict:
        """Write the configuration as the operators do.

        :returns: the value of the configuration's key.
        """
        shards = self.shard_names()
        single = {each.name: "single" for each in self.classes if not each.least_share}
        document = configuration(1, shards, {}, single, 1_000)
        search, *routes = document["routes"]
        class_by_route = {each.name: each for each in self.classes}
        searches = [
            {**search, "name": each.name, "path_prefix": f"/{each.name}/"}
            for each in self.classes
            if each.least_share
        ]
        for route in searches + routes:
            each = class_by_route[route["name"]]
            route["target_latency_ms"] = each.objective_ms
            route["timeout_ms"] = each.wait_ms
            route["priority"] = each.priority
            if each.least_share:
                route["min_success_ratio"] = each.least_share
                route["top_k"] = each.top_k
        services = [{**each, "max_connections": CONNECTIONS} for each in document["services"]]
        return {**document, "routes": searches + routes, "services": services}


KINGSTON = Site(
    "kingston",
    ("kgn-hall-a", "kgn-hall-b", "kgn-hall-c"),
    2,
    20,
    2,
    7,
    250.0,
    6_000.0,
    (
        RequestClass("sweep", 33.8, 28.0, 247.0, 3_000, 0.89, 20, 1),
        RequestClass("lookup", 11.2, 9.2, 95.3, 1_200, 0.75, 5, 2),
        RequestClass("ledger", 11.2, 220.0, 854.0, 15_000, 0.0, 0, 2),
    ),
)
SUVA = Site(
    "suva",
    ("hall-a", "hall-b", "hall-c", "hall-d"),
    1,
    20,
    2,
    4,
    200.0,
    4_500.0,
    (
        RequestClass("match", 33.8, 20.0, 183.0, 2_500, 0.89, 50, 1),
        RequestClass("check", 11.3, 6.7, 71.1, 1_000, 0.75, 5, 2),
        RequestClass("vendor", 11.3, 170.0, 673.0, 10_000, 0.0, 0, 2),
    ),
)
SITES = {site.name: site for site in (KINGSTON, SUVA)}
"""The deployments by name."""
