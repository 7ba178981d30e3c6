import unittest

from circuits import BaseComponent

from rhubarbhinge.net import Datagrams
from rhubarbhinge.utils.testing import run_until, stop_tree


class DatagramsTest(unittest.TestCase):
    def test_datagrams_carry_sender_address_and_send_errors_keep_socket_open(self):
        root = BaseComponent()
        self.addCleanup(stop_tree, root)
        seen = []
        sockets = [
            Datagrams(lambda *datagram: seen.append(datagram), ("127.0.0.1", 0)).register(root)
            for _ in range(2)
        ]
        sockets[0].send("127.0.0.1", 1, b"nobody listens")
        sockets[0].send("127.0.0.1", sockets[1].bound_port, b"x" * 70_000)
        sockets[0].send("127.0.0.1", sockets[1].bound_port, b"ping")
        self.assertTrue(run_until(root, lambda: seen))
        self.assertEqual([("127.0.0.1", sockets[0].bound_port, b"ping")], seen)
