"""CPU and length of the messages between entry and relay."""

from collections.abc import Callable, Iterator

from rhubarbhinge.wire import UpstreamReport, decode, encode
from tools.slopes import _sample as sample
from tools.slopes._cpu import cpu_us
from tools.slopes._series import Series, measure

_SIZES = (1, 6, 25, 150)
_SUB_QUERIES = 6_000


def codec_costs() -> Iterator[Series]:
    """Measure encoding and decoding by batch size, and the length of messages.

    :returns: the series.
    """
    shapes: dict[str, Callable[[int], object]] = {
        "SubBatch": sample.sub_batch,
        "ReplyBatch": lambda size: sample.replies(sample.sub_batch(size)),
        "UpstreamReport": report,
        "HoldingReport": lambda size: sample.holding(2**60, [(0, 400)] * size, size),
    }
    for name, make in shapes.items():
        for step, cost_us in (("encode", _encode_us), ("decode", _decode_us)):
            yield measure(
                f"{name}, {step}",
                "rows a message",
                "us a message",
                _SIZES,
                lambda size, make=make, cost_us=cost_us: cost_us(make(size), size),
            )
        yield measure(
            f"{name}, length",
            "rows a message",
            "bytes a message",
            _SIZES,
            lambda size, make=make: len(encode(make(size))),
            repeats=1,
        )


def report(searchers: int) -> UpstreamReport:
    """Make a relay's report of load.

    :param searchers: how many it owns.
    :returns: the message.
    """
    ids = tuple(2**60 + number for number in range(searchers))
    ones = (1,) * searchers
    return UpstreamReport(ids, ones, ones, ones, ones, 1_000_000)


def _encode_us(message: object, size: int) -> float:
    return cpu_us(lambda: encode(message), _times(size))


def _decode_us(message: object, size: int) -> float:
    data = encode(message)
    return cpu_us(lambda: decode(data), _times(size))


def _times(size: int) -> int:
    return _SUB_QUERIES // size // 2 + 20
