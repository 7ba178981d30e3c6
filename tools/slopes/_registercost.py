"""CPU and length of the register by searchers, and of what a node works out from it."""

import itertools
from collections.abc import Iterator
from functools import cache

import orjson

from rhubarbhinge.daemons._peer import Peer
from rhubarbhinge.daemons._relaydirectory import RelayDirectory
from rhubarbhinge.register import Register, parse_register
from tools.make_examples import make_deployment
from tools.slopes._cpu import cpu_us
from tools.slopes._series import Series, measure

_SIZES = (100, 400, 1_600)
#: Searchers of the example at scale 1.
_EXAMPLE_SEARCHERS = 110
_RELAYS = 12


def register_costs() -> Iterator[Series]:
    """Measure the document's length, its check, and finding all owners anew.

    :returns: the series.
    """
    yield measure(
        "register, length", "searchers", "bytes", _SIZES, lambda n: len(register_data(n)), 1
    )
    yield measure(
        "register, check and parse",
        "searchers",
        "us a revision",
        _SIZES,
        lambda n: cpu_us(lambda: parse_register(register_data(n)), 3),
    )
    yield measure(
        "owner directory, found anew", "searchers", "us a revision", _SIZES, _directory_us
    )


@cache
def register_data(searchers: int) -> bytes:
    """Make an example register.

    :param searchers: about how many searchers.
    :returns: the document.
    """
    made = make_deployment(
        "kingston", itertools.count(1_025).__next__, searchers / _EXAMPLE_SEARCHERS
    )
    return orjson.dumps(made.register)


def checked_register(searchers: int) -> Register:
    """Check an example register.

    :param searchers: about how many searchers.
    :returns: the model.
    """
    return parse_register(register_data(searchers)).value


def directory(register: Register) -> RelayDirectory:
    """Find all owners among a few relays in each failure domain.

    :param register: the register.
    :returns: the directory.
    """
    made = _empty_directory()
    made.follow(register)
    return made


def _empty_directory() -> RelayDirectory:
    def live(domain: str) -> tuple[str, ...]:
        return tuple(f"{domain}-{number}/relay" for number in range(_RELAYS))

    return RelayDirectory(live, lambda name: Peer(name, "relay", name.split("/")[0], 7))


def _directory_us(searchers: int) -> float:
    register = checked_register(searchers)
    return cpu_us(lambda: directory(register), 3)
