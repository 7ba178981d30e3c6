"""CPU of the relay core, without codec and sockets, by :mod:`tools.bench_routing`."""

from collections.abc import Iterator

from tools.bench_routing import sub_query_us
from tools.slopes._series import Series, measure

#: Rounds of a millisecond each, in which a batch comes.
_ROUNDS = 1_000
_MANY_ROUNDS = 150
#: More batches than fit the slots at once are taken before the first is answered.
_QUEUED_LAG = 12


def relay_costs() -> Iterator[Series]:
    """Measure by batch size, searchers owned, and with queues.

    :returns: the series.
    """
    unit = "us a sub-query"
    yield measure(
        "relay core, by batch size",
        "sub-queries a message",
        unit,
        (1, 6, 25),
        lambda size: sub_query_us(1, batch_size=size, rounds=_ROUNDS),
    )
    yield measure(
        "relay core, by searchers",
        "searchers owned",
        unit,
        (12, 40, 160),
        lambda count: sub_query_us(1, upstreams=count, rounds=_ROUNDS),
    )
    yield measure(
        "relay core, through queues",
        "searchers owned",
        unit,
        (40,),
        lambda count: sub_query_us(_QUEUED_LAG, upstreams=count, rounds=_ROUNDS),
    )
    yield measure(
        "relay core at 50 sub-queries a ms",
        "searchers owned",
        unit,
        (160,),
        lambda count: sub_query_us(1, count, 50, _MANY_ROUNDS),
    )
