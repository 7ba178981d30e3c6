"""CPU of admission."""

import random
from collections.abc import Iterator

from rhubarbhinge.admission import Admitted, Limiter
from tools.slopes._cpu import cpu_us
from tools.slopes._series import Series, measure

_QUERIES = 5_000


def admission_costs() -> Iterator[Series]:
    """Measure by queries in flight.

    :returns: the series.
    """
    yield measure(
        "admission", "queries in flight", "us a query", (10, 100, 1_000), _admit_and_end_us
    )


def _admit_and_end_us(in_flight: int) -> float:
    limiter = Limiter(2 * in_flight, 8.0, random.Random(1))
    for _ in range(in_flight // 2):
        limiter.admit(8.0, 0.0)
    now_ms = 0.0

    def step() -> None:
        nonlocal now_ms
        now_ms += 1.0
        if isinstance(limiter.admit(4.0, now_ms), Admitted):
            limiter.ended(20.0, 230.0, True, now_ms)

    return cpu_us(step, _QUERIES)
