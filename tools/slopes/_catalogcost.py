"""CPU of the entry's catalog after an announcement."""

from collections.abc import Iterator

from rhubarbhinge.query import Catalog
from tools.slopes import _sample as sample
from tools.slopes._cpu import cpu_us
from tools.slopes._querycost import KEYS, catalog
from tools.slopes._series import Series, measure

_TIMES = 10


def catalog_costs() -> Iterator[Series]:
    """Measure the rebuilding by searchers, and a plan by parts.

    :returns: the series.
    """
    yield measure(
        "catalog, rebuilt",
        "searchers",
        "us an announcement",
        (100, 400, 1_600),
        _rebuilt_us,
    )
    yield measure("plan, made anew", "parts", "us a plan", (10, 50, 150, 300), _plan_us)


def _rebuilt_us(searchers: int) -> float:
    found = catalog(searchers // 2)

    def announce() -> None:
        _announce_again(found, searchers // 2)
        found.versions(sample.COLLECTION)

    return cpu_us(announce, _TIMES)


def _plan_us(parts: int) -> float:
    found = catalog(parts)

    def announce(and_plan: bool) -> None:
        _announce_again(found, parts)
        found.versions(sample.COLLECTION)
        if and_plan:
            found.plan(sample.COLLECTION)

    with_plan_us = cpu_us(lambda: announce(True), _TIMES)
    return with_plan_us - cpu_us(lambda: announce(False), _TIMES)


def _announce_again(found: Catalog, parts: int) -> None:
    found.on_holdings(sample.holding(2**60, [(0, KEYS // parts)], parts))
