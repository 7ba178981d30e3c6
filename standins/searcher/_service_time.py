"""How long an execution takes."""

import math
import random

from standins.searcher._knobs import SearcherKnobs


def cold_factor(knobs: SearcherKnobs, age_ms: float) -> float:
    """Give the slowdown of a searcher that has just started.

    :param knobs: The knobs.
    :param age_ms: Time since the start.
    :returns: A factor that falls from ``knobs.cold_factor`` to 1 over ``knobs.warm_ms``.
    """
    if age_ms >= knobs.warm_ms:
        return 1.0
    return 1.0 + (knobs.cold_factor - 1.0) * (1.0 - age_ms / knobs.warm_ms)


def search_ms(knobs: SearcherKnobs, age_ms: float, rng: random.Random) -> float:
    """Draw the service time of a search.

    :param knobs: The knobs.
    :param age_ms: Time since the searcher's start.
    :param rng: The random source.
    :returns: The time in milliseconds.
    """
    time_ms = knobs.median_ms * cold_factor(knobs, age_ms)
    if knobs.sigma > 0:
        time_ms *= math.exp(rng.gauss(0.0, knobs.sigma))
    if knobs.straggle_factor != 1.0 and rng.random() < knobs.straggle_probability:
        time_ms *= knobs.straggle_factor
    return time_ms
