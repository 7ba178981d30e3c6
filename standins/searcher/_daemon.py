"""The searcher's process: many searchers, each on its own port, on one event loop."""

import random
from collections.abc import Mapping

from standins._knobs import BadKnobs, changed
from standins.history import History
from standins.searcher._control import ControlPort
from standins.searcher._holdings import holdings_from
from standins.searcher._knobs import SearcherKnobs
from standins.searcher._port import SearcherPort

_LOOPBACK = "127.0.0.1"


async def start(config: Mapping[str, object], history: History) -> dict[str, object]:
    """Start the searchers of a configuration.

    :param config: ``searchers`` and ``defaults``, see docs/standins.md.
    :param history: Where their events go.
    :returns: The ports by searcher, and the control port.
    :raises SystemExit: When a knob is unknown or wrong.
    """
    defaults = config.get("defaults", {})
    searchers = {}
    ports = {}
    for document in config["searchers"]:
        name = document["name"]
        searchers[name] = _searcher_port(document, defaults, history)
        ports[name] = searchers[name].listen(document.get("ip", _LOOPBACK), document.get("port", 0))
    control_port = ControlPort(searchers).listen(_LOOPBACK)
    return {"ports": ports, "control_port": control_port}


def _searcher_port(
    document: Mapping[str, object], defaults: Mapping[str, object], history: History
) -> SearcherPort:
    name = document["name"]
    knobs = changed(SearcherKnobs(), {**defaults, **document.get("knobs", {})})
    if isinstance(knobs, BadKnobs):
        raise SystemExit(f"{name}: {knobs}")
    holdings = holdings_from(document.get("holdings", {}))
    holdings.count_records()
    return SearcherPort(
        name=name,
        incarnation=document.get("incarnation", 1),
        knobs=knobs,
        holdings=holdings,
        rng=random.Random(document.get("seed", name)),
        history=history,
    )
