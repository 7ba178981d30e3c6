"""Links to other nodes: dialled, greeted, framed."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from circuits import Component, handler

from rhubarbhinge.daemons._handshake import Handshake
from rhubarbhinge.daemons._identity import Identity
from rhubarbhinge.daemons._peer import Peer
from rhubarbhinge.daemons._peeraddress import PeerAddress
from rhubarbhinge.net import CloseReason, Links
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.failstop import fail_stop
from rhubarbhinge.wire import FrameError, FrameSplitter, Hello, decode, encode, encode_frame

#: Longest time for a connection and its hellos.
_GREETING_TIMEOUT_MS = 2_000.0
#: Wait before a lost link is dialled again; doubles up to the most.
_LEAST_REDIAL_MS = 50.0
_MOST_REDIAL_MS = 2_000.0
#: Before the hello is checked nobody may make this node keep more bytes than this.
_GREETING_BYTES = 4_096
#: Callbacks at the end of a loop turn run after timers and before the sockets are written.
_TURN_END_PRIORITY = 0

_OnPeer = Callable[[Peer], None]
_OnMessage = Callable[[Peer, Any], None]


@dataclass(slots=True)
class _Link:
    handshake: Handshake
    splitter: FrameSplitter
    target: str | None
    peer: Peer | None = None


@dataclass(slots=True)
class _Target:
    address: PeerAddress
    link: int | None = None
    redial_ms: float = _LEAST_REDIAL_MS
    waiting: bool = field(default=False)


class PeerLinks(Component):
    """Keeps links to wanted nodes, accepts links from others, and moves messages over them.

    :param timers: the timer service.
    :param identity: this node.
    :param key: the deployment key.
    :param rng: spreads redials.
    :param on_up: called when a node can be sent to.
    :param on_message: called with each message.
    :param on_down: called when a node can no longer be sent to.
    """

    channel = "peer-links"

    def __init__(
        self,
        timers: TimerService,
        identity: Identity,
        key: bytes,
        rng: random.Random,
        on_up: _OnPeer,
        on_message: _OnMessage,
        on_down: _OnPeer,
    ) -> None:
        super().__init__()
        self._timers = timers
        self._identity = identity
        self._key = key
        self._rng = rng
        self._on_up = on_up
        self._on_message = on_message
        self._on_down = on_down
        self._links: dict[int, _Link] = {}
        self._link_by_name: dict[str, int] = {}
        self._targets: dict[str, _Target] = {}
        self._turn_end: list[Callable[[], None]] = []
        self._sockets = Links(
            self._opened, self._data, self._closed, bind=(identity.ip, identity.peer_port)
        ).register(self)

    def on_turn_end(self, callback: Callable[[], None]) -> None:
        """Subscribe to the end of each loop turn.

        :param callback: called before the sockets are written.
        """
        self._turn_end.append(callback)

    def peer(self, name: str) -> Peer | None:
        """Give a node that can be sent to.

        :param name: its node name.
        :returns: the node, None when there is no link to it.
        """
        link = self._link_by_name.get(name)
        return None if link is None else self._links[link].peer

    def peers(self) -> list[Peer]:
        """Give all nodes that can be sent to.

        :returns: the nodes.
        """
        return [self._links[link].peer for link in self._link_by_name.values()]

    def want(self, addresses: Iterable[PeerAddress]) -> None:
        """Say which nodes to keep links to; others' inbound links are left alone.

        :param addresses: the nodes that this one dials.
        """
        wanted = {address.name: address for address in addresses}
        for name in [name for name in self._targets if name not in wanted]:
            del self._targets[name]
        for name, address in wanted.items():
            known = self._targets.get(name)
            if known is None:
                self._targets[name] = _Target(address)
                self._dial(name)
            else:
                known.address = address

    def send(self, name: str, message: Any) -> bool:
        """Send a message.

        :param name: the node.
        :param message: the message.
        :returns: False when there is no link, or the message is too long; then nothing is sent.
        """
        link = self._link_by_name.get(name)
        if link is None:
            return False
        try:
            frame = encode_frame(encode(message))
        except FrameError as error:
            kind = type(message).__name__
            log_event("message-not-sent", level="error", peer=name, kind=kind, code=error.code)
            return False
        self._sockets.send(link, frame)
        return True

    def drop_all(self, code: str) -> None:
        """Close all links, with all that waits in them unread.

        :param code: why.
        """
        for link in list(self._links):
            self._refuse(link, code)

    def drop(self, name: str, code: str) -> None:
        """Close the link to a node that broke the protocol.

        :param name: the node.
        :param code: what was wrong.
        """
        link = self._link_by_name.get(name)
        if link is not None:
            self._refuse(link, code)

    @handler("generate_events", channel="*", priority=_TURN_END_PRIORITY)
    def _on_generate_events(self, event: Any) -> None:
        try:
            for callback in self._turn_end:
                callback()
        except Exception as error:
            fail_stop(error)

    # Dialling.

    def _dial(self, name: str) -> None:
        target = self._targets.get(name)
        if target is None or target.link is not None or name in self._link_by_name:
            return
        target.waiting = False
        address = target.address
        link = self._sockets.open(address.ip, address.port, _GREETING_TIMEOUT_MS)
        target.link = link
        handshake = Handshake(self._key, self._identity, name)
        self._links[link] = _Link(handshake, FrameSplitter(_GREETING_BYTES), name)

    def _redial_later(self, name: str) -> None:
        target = self._targets.get(name)
        if target is None or target.waiting:
            return
        target.link = None
        target.waiting = True
        wait_ms = target.redial_ms * (0.5 + self._rng.random())
        target.redial_ms = min(_MOST_REDIAL_MS, 2 * target.redial_ms)
        self._timers.after(wait_ms, lambda: self._redial(name))

    def _redial(self, name: str) -> None:
        target = self._targets.get(name)
        if target is not None:
            target.waiting = False
            self._dial(name)

    # Sockets.

    def _opened(self, link: int, inbound: bool) -> None:
        if inbound:
            handshake = Handshake(self._key, self._identity, None)
            self._links[link] = _Link(handshake, FrameSplitter(_GREETING_BYTES), None)
        else:
            self._sockets.send(link, encode_frame(encode(self._links[link].handshake.first())))
        self._timers.after(_GREETING_TIMEOUT_MS, lambda: self._check_greeted(link))

    def _check_greeted(self, link: int) -> None:
        known = self._links.get(link)
        if known is not None and known.peer is None:
            self._refuse(link, "greeting-timeout")

    def _data(self, link: int, data: bytes) -> None:
        known = self._links.get(link)
        if known is None:
            return
        try:
            for payload in known.splitter.feed(data):
                self._take(link, known, decode(payload))
                if link not in self._links:
                    return
        except FrameError as error:
            self._refuse(link, error.code)

    def _take(self, link: int, known: _Link, message: Any) -> None:
        if known.peer is not None:
            if isinstance(message, Hello):
                raise FrameError("malformed", "a hello on a greeted link")
            self._on_message(known.peer, message)
            return
        if not isinstance(message, Hello):
            raise FrameError("unsigned", "the link's first message is no hello")
        reply = known.handshake.on_hello(message)
        if reply is not None:
            self._sockets.send(link, encode_frame(encode(reply)))
        if known.handshake.done:
            self._greeted(link, known)

    def _greeted(self, link: int, known: _Link) -> None:
        hello = known.handshake.peer
        known.peer = Peer(hello.name, hello.role, hello.failure_domain, hello.incarnation)
        known.splitter.allow_max_frame_size()
        older = self._link_by_name.get(hello.name)
        if older is not None and not self._replaces(known.peer, self._links[older].peer):
            self._refuse(link, "duplicate")
            return
        if older is not None:
            self._refuse(older, "replaced")
        self._link_by_name[hello.name] = link
        target = self._targets.get(hello.name)
        if target is not None:
            target.redial_ms = _LEAST_REDIAL_MS
        self._on_up(known.peer)

    def _replaces(self, peer: Peer, older: Peer) -> bool:
        return peer.incarnation >= older.incarnation

    def _refuse(self, link: int, code: str) -> None:
        known = self._links.get(link)
        name = known.peer.name if known and known.peer else ""
        if code not in ("duplicate", "replaced"):
            log_event("link-refused", code=code, peer=name, ip=self._sockets.peer_ip(link))
        self._sockets.abort(link)
        self._forget(link)

    def _closed(self, link: int, reason: CloseReason) -> None:
        self._forget(link)

    def _forget(self, link: int) -> None:
        known = self._links.pop(link, None)
        if known is None:
            return
        peer = known.peer
        if peer is not None and self._link_by_name.get(peer.name) == link:
            del self._link_by_name[peer.name]
            self._on_down(peer)
        name = known.target or (peer.name if peer else None)
        if name is not None:
            target = self._targets.get(name)
            if target is not None and target.link == link:
                target.link = None
            if target is not None and target.link is None and name not in self._link_by_name:
                self._redial_later(name)
