import errno
import socket
import unittest
from unittest import mock

from circuits import BaseComponent

from rhubarbhinge.net import CloseReason, Links
from rhubarbhinge.net._link import Link
from rhubarbhinge.net._sockets import reset_on_close, take_socket_error
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.testing import run_until, stop_tree

LOOPBACK = "127.0.0.1"


class Endpoint:
    """Records the callbacks of one :class:`Links` component."""

    def __init__(self, **arguments):
        self.opened, self.data, self.closed = [], {}, []
        self.links = Links(
            lambda link, inbound: self.opened.append((link, inbound)),
            self.received,
            lambda link, reason: self.closed.append((link, reason)),
            **arguments,
        )

    def received(self, link, data):
        self.data[link] = self.data.get(link, b"") + data


class LinksTest(unittest.TestCase):
    def setUp(self):
        self.root = BaseComponent()
        self.near, self.far = Endpoint(), Endpoint(bind=(LOOPBACK, 0))
        self.near.links.register(self.root)
        self.far.links.register(self.root)
        self.port = self.far.links.bound_port
        self.addCleanup(stop_tree, self.root)

    def until(self, predicate):
        self.assertTrue(run_until(self.root, predicate))

    def connect(self):
        link = self.near.links.open(LOOPBACK, self.port, 5000)
        count = len(self.far.opened) + 1
        self.until(lambda: (link, False) in self.near.opened and len(self.far.opened) == count)
        return link, self.far.opened[-1][0]

    def raw_peer(self, **options):
        listener = socket.create_server((LOOPBACK, 0), **options)
        self.addCleanup(listener.close)
        return listener, listener.getsockname()[1]

    def test_data_is_sent_in_both_directions(self):
        near, far = self.connect()
        self.near.links.send(near, b"ab")
        self.near.links.send(near, b"cd")
        self.until(lambda: self.far.data.get(far) == b"abcd")
        self.far.links.send(far, b"ef")
        self.until(lambda: self.near.data.get(near) == b"ef")
        self.assertEqual(LOOPBACK, self.far.links.peer_ip(far))

    def test_flush_writes_immediately(self):
        near, far = self.connect()
        self.near.links.send(near, b"ab")
        self.assertEqual((self.near.links.unsent_bytes(near), self.near.links.sent_bytes), (2, 2))
        self.near.links.flush(near)
        self.assertEqual(self.near.links.unsent_bytes(near), 0)
        self.until(lambda: self.far.data.get(far) == b"ab")

    def test_backlog_is_accepted_when_listening_stops(self):
        run_until(self.root, lambda: False, 0.05)
        peers = [socket.create_connection((LOOPBACK, self.port)) for _ in range(3)]
        for peer in peers:
            self.addCleanup(peer.close)
            peer.sendall(b"asked")
        self.far.links.stop_listening()
        self.until(lambda: list(self.far.data.values()) == [b"asked"] * 3)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection((LOOPBACK, self.port))

    def test_sends_in_one_iteration_are_written_together(self):
        near, far = self.connect()
        with mock.patch.object(Link, "write_pending", autospec=True) as write:
            write.side_effect = lambda link: link.discard_written(link.pending_bytes) or True
            for _ in range(10):
                self.near.links.send(near, b"x")
            self.until(lambda: write.called)
            run_until(self.root, lambda: False, 0.1)
        self.assertEqual(1, write.call_count)

    def test_data_sent_while_connecting_is_delivered(self):
        link = self.near.links.open(LOOPBACK, self.port, 5000)
        self.near.links.send(link, b"early")
        self.until(lambda: b"early" in self.far.data.values())

    def test_partial_writes_to_slow_reader_lose_nothing(self):
        listener, port = self.raw_peer()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        link = self.near.links.open(LOOPBACK, port, 5000)
        self.until(lambda: self.near.opened)
        sock = self.near.links._links[link].sock
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        peer, _ = listener.accept()
        self.addCleanup(peer.close)
        peer.setblocking(False)
        parts = [bytes([index]) * 30_000 for index in range(100)]
        for part in parts:
            self.near.links.send(link, part)
        self.near.links.close(link)
        run_until(self.root, lambda: False, 0.1)
        self.assertGreater(self.near.links._links[link].pending_bytes, 0)
        received = bytearray()

        def receive_all():
            try:
                while len(received) < 3_000_000:
                    received.extend(peer.recv(1 << 20))
            except BlockingIOError:
                return False
            return True

        self.until(receive_all)
        self.assertEqual(b"".join(parts), bytes(received))
        peer.close()
        self.until(lambda: self.near.closed == [(link, CloseReason.LOCAL)])

    def test_exceeding_pending_limit_closes_link(self):
        _, port = self.raw_peer()
        endpoint = Endpoint(max_pending_bytes=1000)
        endpoint.links.register(self.root)
        link = endpoint.links.open(LOOPBACK, port, 5000)
        self.until(lambda: endpoint.opened)
        endpoint.links.send(link, b"x" * 1001)
        self.assertEqual([], endpoint.closed)
        self.until(lambda: endpoint.closed == [(link, CloseReason.OVERFLOW)])

    def test_each_side_gets_its_close_reason(self):
        near, far = self.connect()
        self.near.links.close(near)
        self.until(lambda: self.near.closed and self.far.closed)
        self.assertEqual([(near, CloseReason.LOCAL)], self.near.closed)
        self.assertEqual([(far, CloseReason.PEER)], self.far.closed)
        near, far = self.connect()
        self.far.links.abort(far)
        self.until(lambda: (far, CloseReason.LOCAL) in self.far.closed)
        self.until(lambda: self.near.closed[-1][0] == near)
        self.near.links.send(near, b"dropped")
        self.near.links.close(near)
        self.near.links.abort(near)
        run_until(self.root, lambda: False, 0.1)
        self.assertEqual(2, len(self.near.closed))

    def test_reset_is_reported(self):
        listener, port = self.raw_peer()
        link = self.near.links.open(LOOPBACK, port, 5000)
        self.until(lambda: self.near.opened)
        peer, _ = listener.accept()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        peer.close()
        self.until(lambda: self.near.closed == [(link, CloseReason.RESET)])

    # A reset right after the connection was established ended the process.
    def test_reset_while_a_connect_completes_closes_only_that_link(self):
        listener, port = self.raw_peer()
        resets = iter([True, False])

        def take_error_before_reset(sock):
            error_code = take_socket_error(sock)
            if next(resets):
                peer, _ = listener.accept()
                reset_on_close(peer)
                peer.close()
            return error_code

        with mock.patch("rhubarbhinge.net._links.take_socket_error", take_error_before_reset):
            link = self.near.links.open(LOOPBACK, port, 5000)
            self.until(lambda: self.near.closed == [(link, CloseReason.UNREACHABLE)])
        self.assertEqual([], self.near.opened)
        self.connect()

    def test_failed_connects_are_reported_asynchronously(self):
        self.far.links.stop_listening()
        refused = self.near.links.open(LOOPBACK, self.port, 5000)
        unreachable = self.near.links.open("not-an-address", 1, 5000)
        self.assertEqual([], self.near.closed)
        self.until(lambda: len(self.near.closed) == 2)
        self.assertIn((refused, CloseReason.REFUSED), self.near.closed)
        self.assertIn((unreachable, CloseReason.UNREACHABLE), self.near.closed)

    def test_connect_times_out(self):
        listener, port = self.raw_peer(backlog=0)
        links = [self.near.links.open(LOOPBACK, port, 300) for _ in range(8)]
        self.until(lambda: len(self.near.opened) + len(self.near.closed) == len(links))
        self.assertEqual({CloseReason.CONNECT_TIMEOUT}, {reason for _, reason in self.near.closed})

    def test_accepting_pauses_without_file_descriptors(self):
        no_descriptors = OSError(errno.EMFILE, "too many open files")
        with mock.patch("socket.socket.accept", side_effect=no_descriptors) as accept:
            link = self.near.links.open(LOOPBACK, self.port, 5000)
            self.until(lambda: self.near.opened)
            run_until(self.root, lambda: False, 0.25)
            self.assertLess(accept.call_count, 10)
        self.until(lambda: self.far.opened)
        self.assertTrue(self.near.links.is_idle(link))

    def test_self_connection_is_refused(self):
        with mock.patch("rhubarbhinge.net._links.is_self_connected", return_value=True):
            link = self.near.links.open(LOOPBACK, self.port, 5000)
            self.until(lambda: self.near.closed == [(link, CloseReason.REFUSED)])

    def test_pause_is_reported_before_data_received_meanwhile(self):
        now_ms, seen = 0.0, []
        self.root = BaseComponent()
        self.addCleanup(stop_tree, self.root)
        timers = TimerService(clock=lambda: now_ms).register(self.root)
        timers.on_pause(lambda late_ms: seen.append("pause"))
        endpoint = Endpoint(bind=(LOOPBACK, 0))
        endpoint.links.register(self.root)
        endpoint.links._on_data = lambda link, data: seen.append("data")
        peer = socket.create_connection((LOOPBACK, endpoint.links.bound_port))
        self.addCleanup(peer.close)
        self.until(lambda: endpoint.opened and timers.is_polling)
        peer.send(b"x")
        now_ms += 5000
        self.until(lambda: "data" in seen)
        self.assertEqual(["pause", "data"], seen)

    def test_exception_in_callback_stops_process(self):
        near, _ = self.connect()
        self.far.links._on_data = lambda link, data: 1 / 0
        self.near.links.send(near, b"x")
        with self.assertLogs("absl", "ERROR"), self.assertRaises(SystemExit):
            run_until(self.root, lambda: False, 5.0)
