"""Weighted distribution of a route's requests over its services."""

from collections import defaultdict

from rhubarbhinge.plans import Route, WeightedService


class WeightedRoundRobin:
    """Distributes the requests of each route over its services by smooth weighted round robin.

    The service with the greatest credit is next, so that the share of each service is met to within
    one request, also over short periods. Credits are in requests, whatever the scale of the
    weights, so that changed weights take effect with the next requests.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def next(self, route: Route) -> str:
        """Choose the service of the next request.

        :param route: the route, with at least one service.
        :returns: the service's name.
        """
        if len(route.services) == 1:
            return route.services[0].name
        shares = _shares(route.services)
        credit_by_name = self._credits.setdefault(route.name, {})
        if credit_by_name.keys() != shares.keys():
            credit_by_name.clear()
            credit_by_name.update(dict.fromkeys(shares, 0.0))
        for name, share in shares.items():
            credit_by_name[name] += share
        chosen = max(credit_by_name, key=credit_by_name.__getitem__)
        credit_by_name[chosen] -= 1.0
        return chosen

    def retain(self, route_names: set[str]) -> None:
        """Discard the state of removed routes.

        :param route_names: the routes that remain.
        """
        for name in self._credits.keys() - route_names:
            del self._credits[name]


def _shares(services: tuple[WeightedService, ...]) -> dict[str, float]:
    """Return the shares of the services that get requests; equal ones if all weights are 0."""
    greatest = max(part.weight for part in services)
    weights: defaultdict[str, float] = defaultdict(float)
    for part in services:
        # Relative to the greatest weight first, as the sum of great ones may be infinite.
        weight = part.weight / greatest if greatest else 1.0
        if weight:
            weights[part.name] += weight
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()}
