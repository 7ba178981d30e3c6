"""A service with its share of a route's requests."""

from typing import Annotated

from msgspec import Meta, Struct

from rhubarbhinge.utils.bounded_types import Name

MOST_WEIGHT = 1e9
"""Greatest weight; sums of a route's weights and claims keep their fractions."""


class WeightedService(Struct, frozen=True):
    """A service with its share of a route's requests.

    :param name: the service's name.
    :param weight: its share, relative to the other services of the route.
    """

    name: Name
    weight: Annotated[float, Meta(ge=0, le=MOST_WEIGHT)]
