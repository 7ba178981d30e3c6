"""A service with its share of a route's requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service with its share of a route's requests.

    :param name: the service's name.
    :param weight: its share, relative to the other services of the route.
    """

    name: str
    weight: float
