"""The hello exchange at the start of a link: three signed messages, each answering a nonce."""

import os

from rhubarbhinge.daemons._identity import Identity
from rhubarbhinge.wire import NONCE_BYTES, FrameError, Hello, check_hello, signed_hello


class Handshake:
    """One side of the hello exchange of one link.

    The opener sends a hello with its nonce; the acceptor answers that nonce and gives its own; the
    opener answers that one. A hello that was overheard answers no fresh nonce.

    :param key: the deployment key.
    :param identity: this node.
    :param expected_name: the node that was dialled; None on the accepting side.
    """

    def __init__(self, key: bytes, identity: Identity, expected_name: str | None) -> None:
        self._key = key
        self._identity = identity
        self._expected_name = expected_name
        self._nonce = os.urandom(NONCE_BYTES)
        self._peer: Hello | None = None
        self.done = False

    @property
    def peer(self) -> Hello | None:
        """Give the other side's hello.

        :returns: the hello, None before it came.
        """
        return self._peer

    def first(self) -> Hello:
        """Make the opener's first hello.

        :returns: the message to send.
        """
        return self._hello(b"")

    def on_hello(self, hello: Hello) -> Hello | None:
        """Take the other side's hello.

        :param hello: as it came.
        :returns: the hello to send back, None when the exchange is over on this side.
        :raises FrameError: with code ``unsigned`` or ``wrong-receiver``; the link has to be closed.
        """
        check_hello(self._key, hello)
        if self._expected_name is not None:
            return self._on_answer(hello)
        if self._peer is None:
            self._peer = hello
            return self._hello(hello.nonce)
        if hello.answers_nonce != self._nonce or hello.name != self._peer.name:
            raise FrameError("unsigned", "the hello answers another nonce")
        self.done = True
        return None

    def _on_answer(self, hello: Hello) -> Hello:
        if hello.answers_nonce != self._nonce:
            raise FrameError("unsigned", "the hello answers another nonce")
        if hello.name != self._expected_name:
            raise FrameError("wrong-receiver", f"{hello.name} answered at that address")
        self._peer = hello
        self.done = True
        return self._hello(hello.nonce)

    def _hello(self, answers_nonce: bytes) -> Hello:
        me = self._identity
        plain = Hello(
            me.name, me.role, me.failure_domain, me.incarnation, self._nonce, answers_nonce, b""
        )
        return signed_hello(self._key, plain)
