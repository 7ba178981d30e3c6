"""What a soak does, drawn from its seed: faults and requests with their times."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

FAULT_GAP_S = 0.8
"""Mean time between faults; most last longer, so that they overlap."""
RESTORE_GAP_S = 12.0
"""Mean time between the store's returns from a copy of itself."""
SILENCE_GAP_S = 5.0
"""Mean time between moments at which connections fall silent."""
CHANGE_GAP_S = 2.0
"""Mean time between changes of the configuration."""
STATE_GAP_S = 6.0
"""Mean time between faults of a run for the published state, in which entries have to be in touch
now and then for changes to be due at them."""
CALM_BEFORE_S, CALM_AFTER_S = 2.0, 8.0
"""Without faults at the start, and at the end for what has to come back by itself."""
WEIGHTS = {
    "entry-killed": 3,
    "entry-stopped": 3,
    "entry-frozen": 3,
    "settings-read-again": 1,
    "domain-killed": 1,
    "fleet-killed": 1,
    "store-refuses": 2,
    "store-forgets": 1,
    "route-added": 2,
    "searchers-crash": 3,
    "searchers-slow": 2,
    "searchers-refuse": 2,
    "answers-lost": 2,
    "searcher-leaves": 2,
    "links-reset": 2,
    "links-slow": 1,
    "links-silent": 1,
    "fatal-request": 1,
}
"""How often each kind of fault is drawn, in relation to the others."""
SECONDS = {
    "entry-frozen": (0.2, 4.0),
    "entry-killed": (0.1, 1.0),
    "domain-killed": (0.1, 1.0),
    "fleet-killed": (0.1, 1.0),
    "store-refuses": (0.5, 4.0),
    "store-restored": (0.2, 2.0),
    "searchers-crash": (0.5, 3.0),
    "searchers-slow": (0.5, 3.0),
    "searchers-refuse": (0.2, 2.0),
    "links-slow": (0.5, 2.0),
    "links-silent": (0.3, 1.5),
    "store-out-of-reach": (0.5, 6.0),
    "refusals-repeated": (1.0, 4.0),
    "connections-reset": (0.5, 3.0),
    "replies-endless": (0.5, 2.5),
}
"""How long those last that are taken back."""
RESTORED = "store-restored"
CHANGED = "route-added"
SEARCHER_GAP_S = 5.0
"""Mean time between faults of searchers in what they send on connections."""
SEARCHER_FAULTS = ("refusals-repeated", "connections-reset")
SIZE_GAP_S = 4.0
"""Mean time between faults of sizes."""
SIZE_FAULTS = ("limits-changed", "replies-endless")
SILENCES = ("store-connections-silent", "store-out-of-reach", "searcher-connections-silent")
STATE_KINDS = (
    *SILENCES[:2],
    RESTORED,
    "store-refuses",
    "store-forgets",
    "entry-killed",
    "entry-stopped",
    "entry-frozen",
    "searcher-leaves",
)
"""Kinds of faults of a run for the published state."""
KINDS = (*WEIGHTS, RESTORED, *SILENCES, *SEARCHER_FAULTS, *SIZE_FAULTS)
"""All kinds of faults."""
LEAVES_SHARE, AT_ONCE_SHARE, SLOW_SHARE = 0.05, 0.1, 0.05
"""Parts of the callers' requests whose caller leaves early, repeats at once after a failure, or
reads the answer slowly."""
BODY_SHARE = 0.1
"""Part of the callers' requests that have a body."""
BODY_SIZES = (0.0001, 0.1, 0.9, 1.0)
"""Sizes of bodies, as shares of the greatest size that the configuration allows."""
BURST_GAP_S = 8.0
"""Mean time between bursts of requests to single searchers."""
BURST_S = (0.5, 2.0)
"""How long a burst lasts."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault.

    :param at_s: when, from the start of the traffic.
    :param kind: one of ``KINDS``.
    :param for_s: how long; 0 for what is not taken back.
    :param draw: a number between 0 and 1 by which its targets are chosen.
    """

    at_s: float
    kind: str
    for_s: float
    draw: float


@dataclass(frozen=True, slots=True)
class Asked:
    """A caller's request.

    :param at_s: when it is due, from the start of the traffic.
    :param id: its id.
    :param path: its path.
    :param leave_s: when its caller leaves; None if it waits.
    :param at_once: whether it is sent again at once, with another id, when it fails.
    :param slowly: whether its caller reads the answer slowly.
    :param body_share: size of its body, as a share of the greatest size allowed.
    """

    at_s: float
    id: str
    path: str
    leave_s: float | None
    at_once: bool
    slowly: bool = False
    body_share: float = 0.0


def draw_faults(seed: int, seconds: float) -> tuple[Fault, ...]:
    """Draw the faults of a run.

    :param seed: the seed.
    :param seconds: length of the traffic.
    :returns: the faults, by time.
    """
    kinds, weights = list(WEIGHTS), list(WEIGHTS.values())

    def draw_kind(rng: random.Random) -> str:
        return rng.choices(kinds, weights)[0]

    faults = _drawn(random.Random(f"faults {seed}"), seconds, FAULT_GAP_S, draw_kind)
    # Drawn apart, so that all other faults of a seed stay what they were.
    restores = _drawn(
        random.Random(f"restores {seed}"), seconds, RESTORE_GAP_S, lambda rng: RESTORED
    )
    silences = _drawn(
        random.Random(f"silences {seed}"), seconds, SILENCE_GAP_S, lambda rng: rng.choice(SILENCES)
    )
    of_searchers = _drawn(
        random.Random(f"searcher faults {seed}"),
        seconds,
        SEARCHER_GAP_S,
        lambda rng: rng.choice(SEARCHER_FAULTS),
    )
    of_sizes = _drawn(
        random.Random(f"size faults {seed}"),
        seconds,
        SIZE_GAP_S,
        lambda rng: rng.choice(SIZE_FAULTS),
    )
    drawn = (*faults, *restores, *silences, *of_searchers, *of_sizes)
    return tuple(sorted(drawn, key=lambda fault: fault.at_s))


def draw_state_faults(seed: int, seconds: float) -> tuple[Fault, ...]:
    """Draw the faults of a run that checks when changes of the published state are in force.

    :param seed: the seed.
    :param seconds: length of the traffic.
    :returns: the faults, by time.
    """
    rngs = (random.Random(f"state faults {seed}"), random.Random(f"state changes {seed}"))
    faults = _drawn(rngs[0], seconds, STATE_GAP_S, lambda rng: rng.choice(STATE_KINDS))
    changes = _drawn(rngs[1], seconds, CHANGE_GAP_S, lambda rng: CHANGED)
    limits = _drawn(
        random.Random(f"state limits {seed}"), seconds, SIZE_GAP_S, lambda rng: SIZE_FAULTS[0]
    )
    return tuple(sorted((*faults, *changes, *limits), key=lambda fault: fault.at_s))


def _drawn(
    rng: random.Random, seconds: float, gap_s: float, draw_kind: Callable[[random.Random], str]
) -> Iterator[Fault]:
    at_s = CALM_BEFORE_S
    while True:
        at_s += rng.expovariate(1.0 / gap_s)
        if at_s > seconds - CALM_AFTER_S:
            return
        kind = draw_kind(rng)
        for_s = rng.uniform(*SECONDS.get(kind, (0.0, 0.0)))
        yield Fault(round(at_s, 3), kind, round(for_s, 3), rng.random())


def draw_requests(seed: int, caller: int, seconds: float, rate: float) -> tuple[Asked, ...]:
    """Draw the requests of a caller.

    :param seed: the seed.
    :param caller: the caller's number.
    :param seconds: length of the traffic.
    :param rate: its requests a second.
    :returns: the requests, by time.
    """
    rng = random.Random(f"requests {seed} {caller}")
    # Drawn apart, so that the requests of a seed stay what they were.
    reading_rng = random.Random(f"reading {seed} {caller}")
    body_rng = random.Random(f"bodies {seed} {caller}")
    asked = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(rate)
        if at_s > seconds:
            return tuple(asked)
        (kind,) = rng.choices(("search", "any", "once"), (7, 2, 1))
        request_id = f"s{seed}-c{caller}-{len(asked)}"
        leave_s = rng.uniform(0.005, 0.2) if rng.random() < LEAVES_SHARE else None
        at_once = rng.random() < AT_ONCE_SHARE
        slowly = reading_rng.random() < SLOW_SHARE
        path = f"/{kind}/{request_id}"
        share = body_rng.choice(BODY_SIZES) if body_rng.random() < BODY_SHARE else 0.0
        asked.append(Asked(round(at_s, 3), request_id, path, leave_s, at_once, slowly, share))


def draw_bursts(seed: int, seconds: float) -> tuple[tuple[float, float], ...]:
    """Draw the bursts of requests of a run.

    :param seed: the seed.
    :param seconds: length of the traffic.
    :returns: their starts and ends, from the start of the traffic.
    """
    rng = random.Random(f"bursts {seed}")
    bursts = []
    at_s = CALM_BEFORE_S + rng.expovariate(1.0 / BURST_GAP_S)
    while at_s < seconds - CALM_AFTER_S:
        end_s = at_s + rng.uniform(*BURST_S)
        bursts.append((at_s, end_s))
        at_s = end_s + rng.expovariate(1.0 / BURST_GAP_S)
    return tuple(bursts)


def draw_burst_requests(
    seed: int, caller: int, bursts: tuple[tuple[float, float], ...], rate: float
) -> tuple[Asked, ...]:
    """Draw the requests of a caller that sends in bursts only, and repeats failed ones at once.

    :param seed: the seed.
    :param caller: the caller's number.
    :param bursts: starts and ends of the bursts.
    :param rate: its requests a second in a burst.
    :returns: the requests, by time.
    """
    rng = random.Random(f"burst requests {seed} {caller}")
    asked = []
    for start_s, end_s in bursts:
        at_s = start_s + rng.expovariate(rate)
        while at_s < end_s:
            request_id = f"s{seed}-b{caller}-{len(asked)}"
            path = f"/{rng.choice(('any', 'once'))}/{request_id}"
            asked.append(Asked(round(at_s, 3), request_id, path, None, at_once=True))
            at_s += rng.expovariate(rate)
    return tuple(asked)
