import errno
import socket
import unittest
from unittest import mock

from circuits import BaseComponent

from rhubarbhinge.net import Datagrams, Links
from rhubarbhinge.utils.testing import run_until, stop_tree

LOOPBACK = "127.0.0.1"
PAYLOAD = b"x" * 3_000_000
MAX_OCCURRENCES = 16
"""Number of calls of each kind that fail, one in each round."""
ERRORS = {
    "accept": (
        errno.EAGAIN,
        errno.EINTR,
        errno.ECONNABORTED,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPERM,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.EHOSTUNREACH,
    ),
    "connect_ex": (
        errno.EACCES,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.ECONNREFUSED,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
    ),
    "getpeername": (errno.ENOBUFS, errno.ENOTCONN),
    "getsockname": (errno.ENOBUFS,),
    "recv": (errno.EAGAIN, errno.EINTR, errno.ECONNRESET, errno.ENOMEM, errno.ETIMEDOUT),
    "recvfrom": (errno.EAGAIN, errno.EINTR, errno.ECONNREFUSED, errno.ENOMEM),
    "send": (errno.EAGAIN, errno.EINTR, errno.ECONNRESET, errno.ENOBUFS, errno.EPIPE),
    "sendmsg": (errno.EAGAIN, errno.EINTR, errno.ECONNRESET, errno.ENOBUFS, errno.EPIPE),
    "sendto": (errno.EAGAIN, errno.ECONNREFUSED, errno.ENOBUFS, errno.EPERM),
    "setsockopt": (errno.EINVAL, errno.ENOMEM, errno.ENOBUFS),
    "shutdown": (errno.ENOTCONN, errno.ENOBUFS),
    "socket": (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
}
"""Errors that the manual pages name for each call and that a correct caller can meet."""


class FailingCalls:
    """Lets one call on a socket fail.

    :param name: the call.
    :param occurrence: which call of that name fails, counted from 0.
    :param error_code: the error number.
    """

    def __init__(self, name, occurrence, error_code):
        self.name = name
        self.error_code = error_code
        self.left = occurrence + 1
        self.armed = False
        self.failed = False

    def check(self, name):
        if name != self.name or not self.armed:
            return 0
        self.left -= 1
        if self.left:
            return 0
        self.failed = True
        return self.error_code

    def failing_socket_class(self):
        calls = self

        class FailingSocket(socket.socket):
            def __init__(self, *arguments, fileno=None):
                # An accepted connection has a descriptor already.
                if fileno is None and calls.check("socket"):
                    raise OSError(calls.error_code, "injected")
                super().__init__(*arguments, fileno=fileno)

        for name in ERRORS.keys() - {"socket"}:
            setattr(FailingSocket, name, self._wrapped(name))
        return FailingSocket

    def _wrapped(self, name):
        original = getattr(socket.socket, name)

        def call(sock, *arguments):
            error_code = self.check(name)
            if not error_code:
                return original(sock, *arguments)
            if name == "connect_ex":
                return error_code
            raise OSError(error_code, "injected")

        return call


class Network:
    """Two connected components, with sockets whose calls may fail."""

    def __init__(self):
        self.root = BaseComponent()
        self.opened, self.closed, self.inbound, self.received_bytes = set(), [], [], 0
        self.near = Links(self._opened, lambda *_: None, self._closed, detect_dead_peers=True)
        self.far = Links(self._accepted, self._received, lambda *_: None, bind=(LOOPBACK, 0))
        self.datagrams_seen = []
        self.datagrams = [
            Datagrams(lambda *seen: self.datagrams_seen.append(seen), (LOOPBACK, 0))
            for _ in range(2)
        ]
        for component in (self.near, self.far, *self.datagrams):
            component.register(self.root)
        self.until(lambda: self.datagrams[1]._poller is not None)

    def _opened(self, link, inbound):
        self.opened.add(link)

    def _closed(self, link, reason):
        self.closed.append(link)

    def _accepted(self, link, inbound):
        self.inbound.append(link)

    def _received(self, link, data):
        self.received_bytes += len(data)

    def until(self, predicate):
        return run_until(self.root, predicate, tick_s=0.002)

    def connect(self):
        link = self.near.open(LOOPBACK, self.far.bound_port, 5000)
        self.until(lambda: link in self.opened or link in self.closed)
        return link

    def use(self):
        """Connect, write more than the kernel takes at once, close and reset."""
        links = [self.connect() for _ in range(3)]
        for link in links:
            self.near.send(link, b"first")
            self.near.send(link, b"second")
        self.near.send(links[0], PAYLOAD)
        self.near.close(links[0])
        self.until(lambda: links[0] in self.closed)
        self.near.send(links[1], PAYLOAD)
        self.near.flush(links[1])
        self.near.reset(links[1])
        self.until(lambda: links[1] in self.closed)
        self.datagrams[0].send(LOOPBACK, self.datagrams[1].bound_port, b"first")
        self.datagrams[0].send(LOOPBACK, self.datagrams[1].bound_port, b"second")
        self.until(lambda: self.datagrams_seen)
        self.until(lambda: self.abort_inbound() or links[2] in self.closed)
        return links

    def abort_inbound(self):
        for link in self.inbound:
            self.far.abort(link)


class SocketErrorsTest(unittest.TestCase):
    # An error that the network may cause at any time ended the process, with all its connections.
    def test_no_failed_call_on_a_socket_stops_the_process(self):
        for name, error_codes in ERRORS.items():
            for error_code in error_codes:
                for occurrence in range(MAX_OCCURRENCES):
                    if not self.check_failure(FailingCalls(name, occurrence, error_code)):
                        self.assertGreater(occurrence, 0, name)
                        break

    def check_failure(self, calls):
        where = f"{calls.name} {errno.errorcode[calls.error_code]} {calls.left - 1}"
        with mock.patch("socket.socket", calls.failing_socket_class()), self.subTest(where):
            network = Network()
            self.addCleanup(stop_tree, network.root)
            calls.armed = True
            links = network.use()
            self.assertEqual(sorted(links), sorted(network.closed))
            calls.armed = False
            # Whatever failed, the components still accept, connect and deliver.
            network.received_bytes = 0
            network.near.send(network.connect(), b"again")
            self.assertTrue(network.until(lambda: network.received_bytes == 5))
        self.doCleanups()
        return calls.failed


if __name__ == "__main__":
    unittest.main()
