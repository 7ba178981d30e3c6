"""Differences between two versions of the configuration."""

from collections.abc import Iterable

from msgspec import Struct

from rhubarbhinge.plans._caller_limits import CallerLimits
from rhubarbhinge.plans._route import Route
from rhubarbhinge.plans._service import Service
from rhubarbhinge.plans._serving_plan import ServingPlan
from rhubarbhinge.utils.bounded_types import Count


class UnchangedRoutes(Struct, frozen=True):
    """A run of consecutive routes that are unchanged.

    :param start: index of the first among the routes of the base version.
    :param count: number of routes.
    """

    start: Count
    count: Count


class PlanChange(Struct, frozen=True):
    """The difference between two versions of the configuration.

    :param base_version: the version that it applies to.
    :param version: the version that it results in.
    :param routes: all routes in order; unchanged ones are given as index ranges.
    :param services: services that were added or changed.
    :param gone: names of services that were removed.
    :param limits: the caller limits.
    """

    base_version: int
    version: int
    routes: tuple[Route | UnchangedRoutes, ...]
    services: tuple[Service, ...]
    gone: tuple[str, ...]
    limits: CallerLimits

    @classmethod
    def between(cls, base: ServingPlan, plan: ServingPlan) -> "PlanChange":
        """Compute the difference between two versions.

        :param base: the base version.
        :param plan: the new version.
        :returns: the difference.
        """
        services = (
            service
            for service in plan.services.values()
            if base.services.get(service.name) != service
        )
        return cls(
            base.version,
            plan.version,
            tuple(_route_changes(base.routes, plan.routes)),
            tuple(services),
            tuple(name for name in base.services if name not in plan.services),
            plan.limits,
        )

    def apply(self, base: ServingPlan) -> ServingPlan:
        """Apply the difference.

        :param base: the base version.
        :returns: the new version.
        :raises ValueError: when it applies to another version.
        """
        if base.version != self.base_version:
            raise ValueError(f"change applies to version {self.base_version}, not {base.version}")
        routes: list[Route] = []
        for change in self.routes:
            if isinstance(change, Route):
                routes.append(change)
            else:
                routes += base.routes[change.start : change.start + change.count]
        gone = set(self.gone)
        services = {name: one for name, one in base.services.items() if name not in gone}
        services.update((service.name, service) for service in self.services)
        return ServingPlan(self.version, tuple(routes), services, self.limits)


def _route_changes(
    before: tuple[Route, ...], after: Iterable[Route]
) -> list[Route | UnchangedRoutes]:
    index_by_name = {route.name: index for index, route in enumerate(before)}
    changes: list[Route | UnchangedRoutes] = []
    for route in after:
        index = index_by_name.get(route.name)
        if index is None or before[index] != route:
            changes.append(route)
            continue
        last = changes[-1] if changes else None
        if isinstance(last, UnchangedRoutes) and last.start + last.count == index:
            changes[-1] = UnchangedRoutes(last.start, last.count + 1)
        else:
            changes.append(UnchangedRoutes(index, 1))
    return changes
