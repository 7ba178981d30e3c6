import errno
import socket
import unittest
from unittest import mock

from circuits import BaseComponent

from rhubarbhinge.net import CloseReason, Links
from rhubarbhinge.net._link import Link
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.testing import run_until, stop_tree

LOOPBACK = "127.0.0.1"


class End:
    """Records what one component of links tells."""

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
        self.near, self.far = End(), End(bind=(LOOPBACK, 0))
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

    def test_bytes_go_both_ways(self):
        near, far = self.connect()
        self.near.links.send(near, b"ab")
        self.near.links.send(near, b"cd")
        self.until(lambda: self.far.data.get(far) == b"abcd")
        self.far.links.send(far, b"ef")
        self.until(lambda: self.near.data.get(near) == b"ef")
        self.assertEqual(LOOPBACK, self.far.links.peer_ip(far))

    def test_what_is_flushed_is_written_before_the_turn_ends(self):
        near, far = self.connect()
        self.near.links.send(near, b"ab")
        self.assertEqual((self.near.links.unsent_bytes(near), self.near.links.sent_bytes), (2, 2))
        self.near.links.flush(near)
        self.assertEqual(self.near.links.unsent_bytes(near), 0)
        self.until(lambda: self.far.data.get(far) == b"ab")

    def test_connections_that_wait_when_listening_stops_are_still_served(self):
        run_until(self.root, lambda: False, 0.05)
        peers = [socket.create_connection((LOOPBACK, self.port)) for _ in range(3)]
        for peer in peers:
            self.addCleanup(peer.close)
            peer.sendall(b"asked")
        self.far.links.stop_listening()
        self.until(lambda: list(self.far.data.values()) == [b"asked"] * 3)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection((LOOPBACK, self.port))

    def test_what_is_sent_in_one_turn_goes_out_in_one_write(self):
        near, far = self.connect()
        with mock.patch.object(Link, "write_some", autospec=True) as write:
            write.side_effect = lambda link: link.drop_written(link.pending_bytes) or True
            for _ in range(10):
                self.near.links.send(near, b"x")
            self.until(lambda: write.called)
            run_until(self.root, lambda: False, 0.1)
        self.assertEqual(1, write.call_count)

    def test_what_is_sent_before_the_connection_is_made_arrives(self):
        link = self.near.links.open(LOOPBACK, self.port, 5000)
        self.near.links.send(link, b"early")
        self.until(lambda: b"early" in self.far.data.values())

    def test_a_slow_reader_gets_every_byte_of_partial_writes(self):
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
        got = bytearray()

        def read_some():
            try:
                while len(got) < 3_000_000:
                    got.extend(peer.recv(1 << 20))
            except BlockingIOError:
                return False
            return True

        self.until(read_some)
        self.assertEqual(b"".join(parts), bytes(got))
        peer.close()
        self.until(lambda: self.near.closed == [(link, CloseReason.LOCAL)])

    def test_too_many_pending_bytes_close_the_link(self):
        _, port = self.raw_peer()
        end = End(max_pending_bytes=1000)
        end.links.register(self.root)
        link = end.links.open(LOOPBACK, port, 5000)
        self.until(lambda: end.opened)
        end.links.send(link, b"x" * 1001)
        self.assertEqual([], end.closed)
        self.until(lambda: end.closed == [(link, CloseReason.OVERFLOW)])

    def test_each_way_of_ending_has_its_reason(self):
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

    def test_a_reset_is_told(self):
        listener, port = self.raw_peer()
        link = self.near.links.open(LOOPBACK, port, 5000)
        self.until(lambda: self.near.opened)
        peer, _ = listener.accept()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        peer.close()
        self.until(lambda: self.near.closed == [(link, CloseReason.RESET)])

    def test_failed_connections_are_told_later_and_never_from_open(self):
        self.far.links.stop_listening()
        refused = self.near.links.open(LOOPBACK, self.port, 5000)
        unreachable = self.near.links.open("not-an-address", 1, 5000)
        self.assertEqual([], self.near.closed)
        self.until(lambda: len(self.near.closed) == 2)
        self.assertIn((refused, CloseReason.REFUSED), self.near.closed)
        self.assertIn((unreachable, CloseReason.UNREACHABLE), self.near.closed)

    def test_a_connection_that_takes_too_long_is_given_up(self):
        listener, port = self.raw_peer(backlog=0)
        links = [self.near.links.open(LOOPBACK, port, 300) for _ in range(8)]
        self.until(lambda: len(self.near.opened) + len(self.near.closed) == len(links))
        self.assertEqual({CloseReason.CONNECT_TIMEOUT}, {why for _, why in self.near.closed})

    def test_accepting_rests_while_descriptors_are_out(self):
        out = OSError(errno.EMFILE, "too many open files")
        with mock.patch("socket.socket.accept", side_effect=out) as accept:
            link = self.near.links.open(LOOPBACK, self.port, 5000)
            self.until(lambda: self.near.opened)
            run_until(self.root, lambda: False, 0.25)
            self.assertLess(accept.call_count, 10)
        self.until(lambda: self.far.opened)
        self.assertTrue(self.near.links.is_quiet(link))

    def test_a_connection_to_itself_counts_as_refused(self):
        with mock.patch("rhubarbhinge.net._links.is_self_connected", return_value=True):
            link = self.near.links.open(LOOPBACK, self.port, 5000)
            self.until(lambda: self.near.closed == [(link, CloseReason.REFUSED)])

    def test_a_pause_is_told_before_the_data_that_came_in_meanwhile(self):
        now_ms, seen = 0.0, []
        self.root = BaseComponent()
        self.addCleanup(stop_tree, self.root)
        timers = TimerService(clock=lambda: now_ms).register(self.root)
        timers.on_pause(lambda late_ms: seen.append("pause"))
        end = End(bind=(LOOPBACK, 0))
        end.links.register(self.root)
        end.links._on_data = lambda link, data: seen.append("data")
        peer = socket.create_connection((LOOPBACK, end.links.bound_port))
        self.addCleanup(peer.close)
        self.until(lambda: end.opened and timers.asleep)
        peer.send(b"x")
        now_ms += 5000
        self.until(lambda: "data" in seen)
        self.assertEqual(["pause", "data"], seen)

    def test_a_callback_that_raises_stops_the_process(self):
        near, _ = self.connect()
        self.far.links._on_data = lambda link, data: 1 / 0
        self.near.links.send(near, b"x")
        with self.assertLogs("absl", "ERROR"), self.assertRaises(SystemExit):
            run_until(self.root, lambda: False, 5.0)
