"""Immutable model of the operators' rules."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Literal


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """How queries of one traffic class are handled.

    :param name: Unique name.
    :param weight: Share of the capacity relative to other classes.
    :param prefers: Which of the two is kept when not both can be met.
    :param deadline_ms: Time limit for the answer, in milliseconds.
    :param least_coverage: Fraction of the records below which an answer is refused.
    :param extra_load: Hedges and retries allowed, as a fraction of the base load.
    :param hedge_quantile: Quantile of the latency after which a sub-query is hedged.
    """

    name: str
    weight: int
    prefers: Literal["latency", "coverage"]
    deadline_ms: int
    least_coverage: float
    extra_load: float
    hedge_quantile: float


@dataclass(frozen=True, slots=True)
class Route:
    """The class of a collection's queries.

    :param collection: Name of the collection.
    :param traffic_class: Name of the class (``class`` in JSON).
    """

    collection: str
    traffic_class: str


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one entry.

    :param in_flight: Maximum number of queries in progress on one entry.
    """

    in_flight: int


@dataclass(frozen=True, slots=True)
class Rules:
    """The rules of one workspace.

    :param revision: Number that increases with each publication.
    :param classes: The traffic classes.
    :param default_class: Name of the class of collections without a route.
    :param routes: Classes of collections.
    :param never_repeat: Names of the actions that run at most once per request.
    :param limits: Limits of one entry.
    """

    revision: int
    classes: tuple[TrafficClass, ...]
    default_class: str
    routes: tuple[Route, ...]
    never_repeat: tuple[str, ...]
    limits: Limits
    _classes: Mapping[str, TrafficClass] = field(init=False, repr=False, compare=False)
    _routes: Mapping[str, str] = field(init=False, repr=False, compare=False)
    _never_repeat: frozenset[str] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        classes = {item.name: item for item in self.classes}
        routes = {route.collection: route.traffic_class for route in self.routes}
        object.__setattr__(self, "_classes", MappingProxyType(classes))
        object.__setattr__(self, "_routes", MappingProxyType(routes))
        object.__setattr__(self, "_never_repeat", frozenset(self.never_repeat))

    def traffic_class(self, name: str) -> TrafficClass | None:
        """Look up a class.

        :param name: Its name.
        :returns: The class, or ``None``.
        """
        return self._classes.get(name)

    def class_for(self, collection: str, requested: str | None = None) -> TrafficClass:
        """Choose the class of a query.

        :param collection: Name of the collection.
        :param requested: Name of the class that the caller requests. An unknown name is ignored; to
            refuse it, look it up with `traffic_class` first.
        :returns: The requested class, else the collection's, else the default class.
        """
        if requested is not None and requested in self._classes:
            return self._classes[requested]
        return self._classes[self._routes.get(collection, self.default_class)]

    def repeatable(self, action: str) -> bool:
        """Return whether a request for an action may be sent more than once.

        :param action: Name of the action.
        :returns: ``False`` for the actions listed in `never_repeat`.
        """
        return action not in self._never_repeat
