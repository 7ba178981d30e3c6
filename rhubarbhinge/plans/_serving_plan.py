"""One version of the configuration, in the form that requests are routed by."""

from collections.abc import Mapping
from functools import cached_property

from msgspec import Struct

from rhubarbhinge.plans._caller_limits import CallerLimits
from rhubarbhinge.plans._route import Route
from rhubarbhinge.plans._service import Service


class ServingPlan(Struct, frozen=True, dict=True):
    """One version of the configuration; a request keeps the version that it arrived under.

    :param version: version number; increases with each change.
    :param routes: the routes.
    :param services: services by name.
    :param limits: the caller limits.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits

    @cached_property
    def _by_prefix(self) -> dict[tuple[str, str], Route]:
        return {(route.host, route.path_prefix): route for route in self.routes}

    def find(self, host: str, path: str) -> Route | None:
        """Find the route of a request: the longest matching prefix among the routes of its host.

        :param host: value of the ``Host`` header, with or without a port.
        :param path: the path without the query string.
        :returns: the route, or None.
        """
        name = host.partition(":")[0].lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._by_prefix.get((name, path[: end + 1]))
            if route is not None:
                return route
        return None
