"""CPU of the HTTP client towards searchers, by :mod:`tools.web_rates`."""

from collections.abc import Iterator

from tools.slopes._series import Series, measure
from tools.web_rates import REPLY, call

_MEASURED_S = 1.0
_REPEATS = 2


def web_costs() -> Iterator[Series]:
    """Measure by connections with a request under way.

    :returns: the series.
    """
    yield measure(
        "HTTP client",
        "connections",
        "us a request",
        (4, 24, 100),
        lambda conns: call(conns, REPLY, _MEASURED_S)[1],
        _REPEATS,
    )
