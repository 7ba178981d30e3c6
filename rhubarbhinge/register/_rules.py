"""The operators' rules as frozen data."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Literal


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """How the queries of one class are treated.

    :param name: Unique name.
    :param weight: Share of the capacity relative to other classes.
    :param prefers: Which of the two gives way when both can't be had.
    :param deadline_ms: Time to the answer, in milliseconds.
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

    :param in_flight: Queries that one entry works on at once.
    """

    in_flight: int


@dataclass(frozen=True, slots=True)
class Rules:
    """The rules of one tenant.

    :param revision: Number that grows with each publication.
    :param classes: The traffic classes.
    :param default_class: Name of the class of collections without a route.
    :param routes: Classes of collections.
    :param never_repeat: Names of the actions that run at most once a request.
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
        classes = {each.name: each for each in self.classes}
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

    def class_for(self, collection: str, asked: str | None = None) -> TrafficClass:
        """Choose the class of a query.

        :param collection: Name of the collection.
        :param asked: Name of the class that the caller asked for; an unknown one is ignored, so
            callers that want to refuse it look it up by `traffic_class` first.
        :returns: The asked class, else the collection's, else the default class.
        """
        if asked is not None and asked in self._classes:
            return self._classes[asked]
        return self._classes[self._routes.get(collection, self.default_class)]

    def repeatable(self, action: str) -> bool:
        """Tell whether a request for an action may be sent twice.

        :param action: Name of the action.
        :returns: ``False`` for the actions listed in `never_repeat`.
        """
        return action not in self._never_repeat
