"""A service with its weight in a route."""

from typing import Annotated

from msgspec import Meta, Struct

from rhubarbhinge.utils.bounded_types import Name


class WeightedService(Struct, frozen=True):
    """A service with its weight in a route.

    :param name: the service's name.
    :param weight: share of the requests, relative to the other services of the route.
    """

    name: Name
    weight: Annotated[float, Meta(ge=0)]
