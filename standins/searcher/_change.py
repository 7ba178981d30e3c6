"""A change of one searcher, as ``POST /standin`` asks for it."""

from collections.abc import Mapping
from dataclasses import dataclass

import orjson

from standins._knobs import BadKnobs, changed
from standins.http import reads
from standins.searcher._holdings import Holdings, holdings_from, ranges_from
from standins.searcher._knobs import SearcherKnobs

_HOLDINGS_NAMES = ("holdings", "publish", "drop", "repartition")
_LIFE_NAMES = ("restart", "lost")


@dataclass(frozen=True, slots=True)
class Change:
    """What becomes of a searcher.

    :param knobs: Its new knobs.
    :param holdings: Its new holdings.
    :param restart: Whether to start it anew: connections and requests in flight are lost.
    :param lost: Whether it listens no more; None for as it is.
    """

    knobs: SearcherKnobs
    holdings: Holdings
    restart: bool = False
    lost: bool | None = None


@reads
def read_change(body: bytes, knobs: SearcherKnobs, holdings: Holdings) -> Change | BadKnobs:
    """Read a change.

    :param body: The request's body.
    :param knobs: The present knobs.
    :param holdings: The present holdings.
    :returns: The change, or why it was refused.
    :raises MalformedError: When it is no JSON object, or lacks part of a change of holdings.
    """
    document = orjson.loads(body)
    others = (*_HOLDINGS_NAMES, *_LIFE_NAMES)
    new_knobs = changed(knobs, {name: document[name] for name in document if name not in others})
    if isinstance(new_knobs, BadKnobs):
        return new_knobs
    return Change(
        knobs=new_knobs,
        holdings=_changed_holdings(holdings, document),
        restart=bool(document.get("restart", False)),
        lost=document.get("lost"),
    )


def _changed_holdings(holdings: Holdings, document: Mapping[str, object]) -> Holdings:
    if "holdings" in document:
        holdings = holdings_from(document["holdings"])
    for item in document.get("publish", ()):
        ranges = ranges_from(item["ranges"])
        holdings = holdings.with_version(item["collection"], int(item["version"]), ranges)
    for item in document.get("repartition", ()):
        holdings = holdings.repartitioned(item["collection"], ranges_from(item["ranges"]))
    for item in document.get("drop", ()):
        holdings = holdings.without_version(item["collection"], int(item["version"]))
    return holdings
