import unittest

from circuits import BaseComponent

from rhubarbhinge.net import Datagrams
from rhubarbhinge.utils.testing import run_until, stop_tree


class DatagramsTest(unittest.TestCase):
    def test_datagrams_arrive_with_their_sender_and_faults_do_not_end_the_socket(self):
        root = BaseComponent()
        self.addCleanup(stop_tree, root)
        seen = []
        ends = [
            Datagrams(lambda *datagram: seen.append(datagram), ("127.0.0.1", 0)).register(root)
            for _ in range(2)
        ]
        ends[0].send("127.0.0.1", 1, b"nobody listens")
        ends[0].send("127.0.0.1", ends[1].bound_port, b"x" * 70_000)
        ends[0].send("127.0.0.1", ends[1].bound_port, b"ping")
        self.assertTrue(run_until(root, lambda: seen))
        self.assertEqual([("127.0.0.1", ends[0].bound_port, b"ping")], seen)
