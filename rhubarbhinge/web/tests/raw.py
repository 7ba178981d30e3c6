"""Plain sockets for testing the server and the clients."""

import contextlib
import socket

from circuits import BaseComponent

from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.testing import run_until, stop_tree

LOOPBACK = "127.0.0.1"


class Tree:
    """A circuits component tree whose event loop is run by the test itself."""

    def __init__(self, test):
        self.test = test
        self.root = BaseComponent()
        self.timers = TimerService().register(self.root)
        test.addCleanup(stop_tree, self.root)

    def until(self, predicate):
        self.test.assertTrue(run_until(self.root, predicate))

    def settle(self):
        run_until(self.root, lambda: False, 0.1)

    def connect(self, port):
        sock = socket.create_connection((LOOPBACK, port))
        return RawPeer(self, sock)


class RawPeer:
    """One end of a connection, read while the event loop runs."""

    def __init__(self, tree, sock):
        self.tree = tree
        self.sock = sock
        self.received = b""
        self.closed = False
        sock.setblocking(False)
        tree.test.addCleanup(sock.close)

    def send(self, data):
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            self.sock.sendall(data)
        return self

    def poll(self):
        try:
            data = self.sock.recv(1 << 20)
            self.received += data
            self.closed = self.closed or not data
        except BlockingIOError:
            pass
        except ConnectionResetError:
            self.closed = True
        return self.received

    def wait_received(self, *parts):
        self.tree.until(lambda: all(part in self.poll() for part in parts))
        return self

    def wait_closed(self):
        self.tree.until(lambda: self.poll() is not None and self.closed)
        return self


class RawUpstream:
    """A listening socket that accepts connections only when told to by the test."""

    def __init__(self, tree):
        self.tree = tree
        self.listener = socket.create_server((LOOPBACK, 0))
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        tree.test.addCleanup(self.listener.close)

    def accept(self):
        accepted = []

        def try_accept():
            try:
                accepted.append(self.listener.accept()[0])
            except BlockingIOError:
                pass
            return accepted

        self.tree.until(try_accept)
        return RawPeer(self.tree, accepted[0])


def reply(body, *fields, status=b"200 OK"):
    """Encode a reply with a ``Content-Length`` header."""
    lines = [b"HTTP/1.1 " + status, b"Content-Length: %d" % len(body), *fields]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
