"""Weighted distribution of a route's requests over its services."""

from rhubarbhinge.plans import Route


class WeightedRoundRobin:
    """Distributes the requests of each route over its services by smooth weighted round robin.

    The service with the greatest current weight is next, so that the share of each service is met
    to within one request, also over short periods.
    """

    def __init__(self) -> None:
        self._current_weights: dict[str, dict[str, float]] = {}

    def next(self, route: Route) -> str:
        """Choose the service of the next request.

        :param route: the route, with at least one service.
        :returns: the service's name.
        """
        if len(route.services) == 1:
            return route.services[0].name
        current_weights = self._current_weights.setdefault(route.name, {})
        weights = {part.name: part.weight for part in route.services}
        if current_weights.keys() != weights.keys():
            current_weights.clear()
            current_weights.update(dict.fromkeys(weights, 0.0))
        for name, weight in weights.items():
            current_weights[name] += weight
        chosen = max(current_weights, key=current_weights.__getitem__)
        current_weights[chosen] -= sum(weights.values())
        return chosen

    def retain(self, route_names: set[str]) -> None:
        """Discard the state of removed routes.

        :param route_names: the routes that remain.
        """
        for name in self._current_weights.keys() - route_names:
            del self._current_weights[name]
