"""The control port of a process of searchers."""

from collections.abc import Mapping

import orjson

from standins._knobs import BadKnobs
from standins.http import Connection, Reply, Request, Server, reads
from standins.searcher._port import SearcherPort, refused

_PATH = "/standin"


class ControlPort:
    """Shows and changes searchers, several at once; no searcher's cap or loss is in its way.

    :param ports: The searchers by name.
    """

    def __init__(self, ports: Mapping[str, SearcherPort]) -> None:
        self._ports = ports
        self._server = Server(self._requested, lambda connection: None, lambda now_open: 0.0)

    def listen(self, ip: str) -> int:
        """Start to listen on any free port.

        :param ip: The address.
        :returns: The port bound.
        """
        return self._server.listen(ip, 0)

    def _requested(self, connection: Connection, request: Request) -> None:
        connection.reply(self._answer(request))

    def _answer(self, request: Request) -> Reply:
        if request.path != _PATH:
            return Reply(404, b'{"code":"no-such-path"}')
        chosen = self._chosen(request)
        if request.method == "POST":
            return self._change(chosen, request.body)
        shown = {name: port.shown() for name, port in chosen.items()}
        return Reply(200, orjson.dumps(shown))

    @reads
    def _chosen(self, request: Request) -> dict[str, SearcherPort]:
        names = request.query.get("searcher")
        chosen = names.split(",") if names else self._ports
        return {name: self._ports[name] for name in chosen}

    def _change(self, chosen: Mapping[str, SearcherPort], body: bytes) -> Reply:
        changes = {name: port.read_change(body) for name, port in chosen.items()}
        for change in changes.values():
            if isinstance(change, BadKnobs):
                return refused(change)
        for name, change in changes.items():
            chosen[name].apply(change)
        return Reply(200, orjson.dumps({"changed": list(changes)}))
