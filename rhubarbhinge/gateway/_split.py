"""Sharing a route's requests among its services."""

from rhubarbhinge.plans import Route


class Splitter:
    """Shares each route's requests among its services by weight, evenly also over short times.

    The service with the greatest claim is next (smooth weighted round robin), so that every part
    has its share to within one request.
    """

    def __init__(self) -> None:
        self._claims: dict[str, dict[str, float]] = {}

    def next(self, route: Route) -> str:
        """Choose the service of the next request.

        :param route: the route, with at least one service.
        :returns: the service's name.
        """
        if len(route.services) == 1:
            return route.services[0].name
        claims = self._claims.setdefault(route.name, {})
        weights = {part.name: part.weight for part in route.services}
        if claims.keys() != weights.keys():
            claims.clear()
            claims.update(dict.fromkeys(weights, 0.0))
        for name, weight in weights.items():
            claims[name] += weight
        chosen = max(claims, key=claims.__getitem__)
        claims[chosen] -= sum(weights.values())
        return chosen

    def keep(self, route_names: set[str]) -> None:
        """Forget routes that are no longer served.

        :param route_names: those that are.
        """
        for name in self._claims.keys() - route_names:
            del self._claims[name]
