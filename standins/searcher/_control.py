"""The control port of a process of searchers."""

from collections.abc import Iterable, Mapping

import orjson

from standins._knobs import BadKnobs
from standins.http import Connection, Reply, Request, Server
from standins.searcher._parsing import MALFORMED
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
        try:
            connection.reply(self._answer(request))
        except MALFORMED:
            connection.reply(Reply(400, b'{"code":"malformed"}'))

    def _answer(self, request: Request) -> Reply:
        if request.path != _PATH:
            return Reply(404, b'{"code":"no-such-path"}')
        names = request.query.get("searcher")
        chosen = names.split(",") if names else tuple(self._ports)
        if request.method == "POST":
            return self._change(chosen, orjson.loads(request.body))
        shown = {name: self._ports[name].shown() for name in chosen}
        return Reply(200, orjson.dumps(shown))

    def _change(self, names: Iterable[str], document: Mapping[str, object]) -> Reply:
        changes = {name: self._ports[name].read_change(document) for name in names}
        for change in changes.values():
            if isinstance(change, BadKnobs):
                return refused(change)
        for name, change in changes.items():
            self._ports[name].apply(change)
        return Reply(200, orjson.dumps({"changed": list(changes)}))
