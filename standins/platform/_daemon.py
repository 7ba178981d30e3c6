"""The platform's process."""

import asyncio
from collections.abc import Mapping

import orjson

from standins._knobs import BadKnobs, changed
from standins.history import History
from standins.platform._knobs import PlatformKnobs
from standins.platform._model import Platform
from standins.platform._port import PlatformPort
from standins.platform._publication import read_publication

_LOOPBACK = "127.0.0.1"
_TICK_S = 0.01


async def start(config: Mapping[str, object], history: History) -> dict[str, object]:
    """Start the platform.

    :param config: ``ip``, ``port``, ``knobs`` and ``documents``, see docs/standins.md.
    :param history: Where its events go.
    :returns: The port.
    :raises SystemExit: When a knob is unknown or wrong.
    """
    knobs = changed(PlatformKnobs(), config.get("knobs", {}))
    if isinstance(knobs, BadKnobs):
        raise SystemExit(str(knobs))
    platform = PlatformPort(Platform(knobs), history)
    for key, document in config.get("documents", {}).items():
        platform.publish(read_publication(key, orjson.dumps(document)))
    bound = platform.listen(config.get("ip", _LOOPBACK), config.get("port", 0))
    _tick(platform)
    return {"port": bound}


def _tick(platform: PlatformPort) -> None:
    platform.tick()
    asyncio.get_running_loop().call_later(_TICK_S, _tick, platform)
