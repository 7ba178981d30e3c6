"""When requests arrive: an open loop that waits for no answer."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

JITTER = 0.5
"""Largest deviation of an arrival from the fixed rate, as a share of the mean gap."""


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one kind.

    :param class_name: their traffic class.
    :param collection: the collection searched.
    :param rate_per_s: requests a second.
    :param deadline_ms: the caller's own deadline; None for that of the class.
    """

    class_name: str
    collection: str
    rate_per_s: float
    deadline_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Arrival:
    """One intended request.

    :param at_ms: when, from the start of the measured time.
    :param stream: place of its stream.
    """

    at_ms: float
    stream: int


def arrivals(
    streams: Sequence[Stream], from_ms: float, until_ms: float, rng: random.Random
) -> list[Arrival]:
    """Lay out the arrivals of all streams.

    Each stream has a fixed rate and a phase of its own; every arrival deviates from it by a jitter
    of up to half a gap either way, so that the mean rate holds exactly.

    :param streams: the streams; those without a rate bring nothing.
    :param from_ms: first intended time.
    :param until_ms: end of the intended times.
    :param rng: the random source.
    :returns: all arrivals by time.
    """
    found: list[Arrival] = []
    for place, stream in enumerate(streams):
        if stream.rate_per_s > 0:
            times = _times(1000.0 / stream.rate_per_s, from_ms, until_ms, rng)
            found.extend(Arrival(at_ms, place) for at_ms in times)
    return sorted(found, key=lambda arrival: arrival.at_ms)


def _times(gap_ms: float, from_ms: float, until_ms: float, rng: random.Random) -> list[float]:
    count = round((until_ms - from_ms) / gap_ms)
    phase_ms = gap_ms * rng.random()
    span_ms = until_ms - from_ms
    return [
        from_ms + (place * gap_ms + phase_ms + gap_ms * JITTER * rng.uniform(-1, 1)) % span_ms
        for place in range(count)
    ]
