"""Cells for tests."""

from typing import Any

from tools.bench._cell import Cell, Key
from tools.bench._sample import Sample
from tools.bench._usage import Use

COUNTS = {"searches": 104.0, "base": 100.0, "hedge": 3.0, "retry": 2.0}


def sample(**fields: Any) -> Sample:
    """Make a good answer of the most important class, but for some fields.

    :param fields: the fields.
    :returns: the sample.
    """
    usual = {
        "class_name": "trip",
        "collection": "overhauls",
        "entry": 0,
        "at_ms": 0.0,
        "lag_ms": 0.0,
        "latency_ms": 10.0,
        "status": 200,
        "code": "",
        "coverage": 1.0,
        "not_run": False,
        "retry_after_ms": None,
    }
    return Sample(**{**usual, **fields})


def refusal(**fields: Any) -> Sample:
    """Make a refusal, but for some fields.

    :param fields: the fields.
    :returns: the sample.
    """
    usual = {"status": 503, "code": "overloaded", "coverage": 0.0, "not_run": True}
    return sample(**{**usual, **fields})


def cell(*samples: Sample, scenario: str = "calm", variant: str = "full") -> Cell:
    """Make a cell of 2 s.

    :param samples: its samples.
    :param scenario: its scenario.
    :param variant: its variant.
    :returns: the cell.
    """
    key = Key("kingston", scenario, variant, 0)
    return Cell(key, 2.0, samples, COUNTS, {"entries": Use(0.5, 0.25)})
