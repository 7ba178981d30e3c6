"""What changed from one version of the configuration to another."""

from collections.abc import Iterable

from msgspec import Struct

from rhubarbhinge.plans._caller_limits import CallerLimits
from rhubarbhinge.plans._route import Route
from rhubarbhinge.plans._service import Service
from rhubarbhinge.plans._serving_plan import ServingPlan
from rhubarbhinge.utils.bounded_types import Count


class KeptRoutes(Struct, frozen=True):
    """Routes in a row that stay as they were.

    :param start: place of the first among the routes before.
    :param count: how many.
    """

    start: Count
    count: Count


class PlanChange(Struct, frozen=True):
    """What makes one version of the configuration out of another.

    :param base_version: the version that it starts from.
    :param version: the version that it leads to.
    :param routes: all routes in their order; those that stay are named by their places.
    :param services: services that came or changed.
    :param gone: names of services that are gone.
    :param limits: what callers may send.
    """

    base_version: int
    version: int
    routes: tuple[Route | KeptRoutes, ...]
    services: tuple[Service, ...]
    gone: tuple[str, ...]
    limits: CallerLimits

    @classmethod
    def between(cls, base: ServingPlan, plan: ServingPlan) -> "PlanChange":
        """Work out what leads from one version to another.

        :param base: the one.
        :param plan: the other.
        :returns: the change.
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
        """Make the later version.

        :param base: the version that this starts from.
        :returns: the version that it leads to.
        :raises ValueError: when it starts from another version.
        """
        if base.version != self.base_version:
            raise ValueError(f"a change of version {self.base_version}, not of {base.version}")
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


def _route_changes(before: tuple[Route, ...], after: Iterable[Route]) -> list[Route | KeptRoutes]:
    place_by_name = {route.name: place for place, route in enumerate(before)}
    changes: list[Route | KeptRoutes] = []
    for route in after:
        place = place_by_name.get(route.name)
        if place is None or before[place] != route:
            changes.append(route)
            continue
        last = changes[-1] if changes else None
        if isinstance(last, KeptRoutes) and last.start + last.count == place:
            changes[-1] = KeptRoutes(last.start, last.count + 1)
        else:
            changes.append(KeptRoutes(place, 1))
    return changes
