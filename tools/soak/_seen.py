"""What was seen in a run, from outside the entries."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Exchanged:
    """A request as its caller saw it.

    :param id: its id.
    :param path: its path.
    :param entry: name of the entry that it was sent to.
    :param sent_s: when it was sent, on the steady clock.
    :param ended_s: when it was over.
    :param status: the answer's status; 0 when there was none.
    :param headers: the answer's headers, names in lower case.
    :param body: the answer's body.
    :param left: whether the caller left before an answer.
    :param body_bytes: size of the request's body.
    """

    id: str
    path: str
    entry: str
    sent_s: float
    ended_s: float
    status: int
    headers: dict[str, str]
    body: bytes
    left: bool = False
    body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as a searcher saw it.

    :param id: the request.
    :param service: the searcher's service.
    :param searcher: the searcher's id.
    :param at_s: when it arrived, on the steady clock.
    :param begun: whether it was begun.
    """

    id: str
    service: str
    searcher: str
    at_s: float
    begun: bool


@dataclass(frozen=True, slots=True)
class Limit:
    """The greatest body that a configuration allows.

    :param begun_s: when the configuration was written, on the steady clock.
    :param acknowledged_s: when the store acknowledged it.
    :param body_bytes: the limit.
    """

    begun_s: float
    acknowledged_s: float
    body_bytes: int


@dataclass(slots=True)
class Seen:
    """What was seen in a run.

    :ivar exchanged: requests as their callers saw them.
    :ivar arrivals: requests as searchers saw them.
    :ivar ended_by_itself: names of entries whose process ended without being told to.
    :ivar disturbed: times (from, to) at which each entry was stopped, frozen or killed, by name.
    :ivar stops: when entries were asked to stop, and their exit codes, by name.
    :ivar left_s: when searchers left the store, by id.
    :ivar store_trouble: times (from, to) of trouble at the store.
    :ivar store_lost: times (from, to) of trouble between each entry and the store, by name.
    :ivar held_up: times (from, to) at which the soak itself, and so the store, was held up.
    :ivar acknowledged_s: when the store acknowledged each added route, by path.
    :ivar limits: the limits of bodies, in order.
    :ivar fatal_ends_s: when searchers ended by a fatal request, by its path.
    :ivar calm_from_s: when all faults were over and their ends had settled.
    :ivar paths: paths that answer at the end.
    :ivar starved: how often an entry had to wait for a processor for long.
    :ivar store_calls_per_s: the most calls that each entry made to the store in a second, by name.
    :ivar descriptors: open descriptors of each entry before and after, by name.
    """

    exchanged: list[Exchanged] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    ended_by_itself: list[str] = field(default_factory=list)
    disturbed: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    stops: list[tuple[str, float, int]] = field(default_factory=list)
    left_s: dict[str, float] = field(default_factory=dict)
    store_trouble: list[tuple[float, float]] = field(default_factory=list)
    store_lost: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    held_up: list[tuple[float, float]] = field(default_factory=list)
    acknowledged_s: dict[str, float] = field(default_factory=dict)
    limits: list[Limit] = field(default_factory=list)
    fatal_ends_s: dict[str, list[float]] = field(default_factory=dict)
    calm_from_s: float = float("inf")
    starved: int = 0
    paths: list[str] = field(default_factory=list)
    store_calls_per_s: dict[str, float] = field(default_factory=dict)
    descriptors: dict[str, tuple[int, int]] = field(default_factory=dict)
