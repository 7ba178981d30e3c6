"""Immutable model of the operators' asset register."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

KEY_SPACE = 65_536
"""Keys of every collection run from 0 to this number, exclusive (docs/architecture.md)."""


@dataclass(frozen=True, slots=True)
class System:
    """A kind of upstream.

    :param name: Unique name.
    :param slots: Number of searches that one upstream runs concurrently.
    :param connections: Number of connections that one upstream accepts.
    :param connect_ms: Typical time to open one connection, in milliseconds.
    """

    name: str
    slots: int
    connections: int
    connect_ms: float


@dataclass(frozen=True, slots=True)
class Upstream:
    """One searcher.

    :param name: Unique name.
    :param system: Name of its system.
    :param instance: Name of the VM that it runs on.
    :param failure_domain: Failure domain of that VM.
    :param ip: Numeric IP address.
    :param port: TCP port.
    :param leaving: Whether it must not receive new requests.
    """

    name: str
    system: str
    instance: str
    failure_domain: str
    ip: str
    port: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Plant:
    """A plant and its units.

    :param name: Unique name.
    :param units: Names of its units.
    """

    name: str
    units: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Supplier:
    """A supplier.

    :param name: Unique name.
    """

    name: str


@dataclass(frozen=True, slots=True)
class Shard:
    """The range ``lo <= key < hi`` of a collection and its replicas.

    :param lo: First key.
    :param hi: First key after the range.
    :param upstreams: Names of the upstreams that hold a replica.
    """

    lo: int
    hi: int
    upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Collection:
    """A searchable set of records.

    :param name: Unique name.
    :param system: Name of the system that holds it.
    :param about: Names of the plants, units and suppliers that its records concern.
    :param shards: Its shards in ascending order, without gaps or overlaps.
    """

    name: str
    system: str
    about: tuple[str, ...]
    shards: tuple[Shard, ...]


@dataclass(frozen=True, slots=True)
class Action:
    """An operation that an upstream can run, such as an order.

    :param name: Unique name.
    :param system: Name of the system that runs it.
    :param upstreams: Names of the upstreams that run it.
    """

    name: str
    system: str
    upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Register:
    """The asset register of one workspace.

    :param revision: Number that increases with each publication.
    :param tenant: Name of the workspace.
    :param failure_domains: Names of the failure domains.
    :param systems: The kinds of upstream.
    :param upstreams: The upstreams.
    :param plants: The plants.
    :param suppliers: The suppliers.
    :param collections: The collections.
    :param actions: The actions.
    """

    revision: int
    tenant: str
    failure_domains: tuple[str, ...]
    systems: tuple[System, ...]
    upstreams: tuple[Upstream, ...]
    plants: tuple[Plant, ...]
    suppliers: tuple[Supplier, ...]
    collections: tuple[Collection, ...]
    actions: tuple[Action, ...]
    _systems: Mapping[str, System] = field(init=False, repr=False, compare=False)
    _upstreams: Mapping[str, Upstream] = field(init=False, repr=False, compare=False)
    _collections: Mapping[str, Collection] = field(init=False, repr=False, compare=False)
    _actions: Mapping[str, Action] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "_systems", _by_name(self.systems))
        object.__setattr__(self, "_upstreams", _by_name(self.upstreams))
        object.__setattr__(self, "_collections", _by_name(self.collections))
        object.__setattr__(self, "_actions", _by_name(self.actions))

    def system(self, name: str) -> System | None:
        """Look up a system.

        :param name: Its name.
        :returns: The system, or ``None``.
        """
        return self._systems.get(name)

    def upstream(self, name: str) -> Upstream | None:
        """Look up an upstream.

        :param name: Its name.
        :returns: The upstream, or ``None``.
        """
        return self._upstreams.get(name)

    def collection(self, name: str) -> Collection | None:
        """Look up a collection.

        :param name: Its name.
        :returns: The collection, or ``None``.
        """
        return self._collections.get(name)

    def action(self, name: str) -> Action | None:
        """Look up an action.

        :param name: Its name.
        :returns: The action, or ``None``.
        """
        return self._actions.get(name)


def _by_name(items: tuple) -> Mapping:
    return MappingProxyType({item.name: item for item in items})
