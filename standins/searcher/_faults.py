"""Faults that strike at random."""

import random

from standins.http import Delivery
from standins.searcher._knobs import SearcherKnobs


def strikes(probability: float, rng: random.Random) -> bool:
    """Draw whether a fault strikes.

    :param probability: Its probability; nothing is drawn for 0.
    :param rng: The random source.
    :returns: True when it does.
    """
    return probability > 0 and rng.random() < probability


def search_delivery(knobs: SearcherKnobs, rng: random.Random) -> Delivery:
    """Draw how the answer to a search is written.

    :param knobs: The knobs.
    :param rng: The random source.
    :returns: The delivery.
    """
    if strikes(knobs.drop_answer_probability, rng):
        return Delivery.LOST
    if strikes(knobs.cut_answer_probability, rng):
        return Delivery.CUT_SHORT
    if strikes(knobs.duplicate_answer_probability, rng):
        return Delivery.TWICE
    return Delivery.WHOLE


def run_delivery(knobs: SearcherKnobs, rng: random.Random) -> Delivery:
    """Draw how the answer to an action is written.

    :param knobs: The knobs.
    :param rng: The random source.
    :returns: The delivery.
    """
    lost = strikes(knobs.run_lose_probability, rng)
    return Delivery.LOST if lost else Delivery.WHOLE
