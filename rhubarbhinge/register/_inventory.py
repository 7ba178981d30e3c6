"""The operators' asset register as frozen data."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

KEY_SPACE = 65_536
"""Keys of every collection run from 0 to this number, exclusive (docs/architecture.md)."""


@dataclass(frozen=True, slots=True)
class System:
    """A kind of upstream.

    :param name: Unique name.
    :param slots: Searches that one upstream runs at once.
    :param connections: Connections that one upstream accepts.
    :param connect_ms: Usual time to open one connection, in milliseconds.
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
    :param ip: IP address, as a number.
    :param port: TCP port.
    :param leaving: Whether it must get no new work.
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
    :param about: Names of the plants, units and suppliers that its records are about.
    :param shards: Its shards in ascending order, without gap or overlap.
    """

    name: str
    system: str
    about: tuple[str, ...]
    shards: tuple[Shard, ...]


@dataclass(frozen=True, slots=True)
class Action:
    """Something that can be run on an upstream, such as an order.

    :param name: Unique name.
    :param system: Name of the system that runs it.
    :param upstreams: Names of the upstreams that run it.
    """

    name: str
    system: str
    upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Register:
    """The asset register of one tenant.

    :param revision: Number that grows with each publication.
    :param tenant: Name of the tenant.
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
