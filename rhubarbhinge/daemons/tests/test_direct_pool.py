"""An entry that holds the connections to searchers itself."""

import random
import unittest
from pathlib import Path

from rhubarbhinge.daemons._directpool import DirectPool
from rhubarbhinge.daemons._identity import Identity
from rhubarbhinge.daemons._relayparts import RelayParts
from rhubarbhinge.query import RelayTarget
from rhubarbhinge.register import parse_register
from rhubarbhinge.routing import RelayPolicy
from rhubarbhinge.wire import ReplyBatch, SubBatch, SubCode, upstream_id

REGISTER = parse_register(Path("examples/suva/register.json").read_bytes()).value
ME = Identity("e1", "entry", "suv-a", "127.0.0.1", 1, 5)


class Timers:
    def now_ms(self):
        return 1_000.0

    def after(self, delay_ms, callback):
        return None


class Connections:
    def __init__(self):
        self.opened = []

    def __call__(self, *callbacks):
        return self

    def open(self, ip, port, timeout_ms):
        self.opened.append((ip, port))
        return len(self.opened)


class DirectPoolTest(unittest.TestCase):
    def setUp(self):
        self.connections = Connections()
        self.messages = []
        parts = RelayParts(
            Timers(), ME, random.Random(1), RelayPolicy(), self.connections, client=None
        )
        self.pool = DirectPool(parts, self.messages.append)
        self.first = upstream_id(REGISTER.upstreams[0].name)

    def test_it_connects_to_every_searcher_of_the_register_as_their_relay(self):
        self.assertIsNone(self.pool.relay_of(self.first))
        self.pool.follow(REGISTER, frozenset(), 2)
        wanted = {(each.ip, each.port) for each in REGISTER.upstreams}
        self.assertEqual(wanted, set(self.connections.opened))
        self.assertEqual(RelayTarget("e1", 5), self.pool.relay_of(self.first))
        self.assertIsNone(self.pool.relay_of(1))

    def test_it_answers_work_for_a_relay_and_takes_no_other(self):
        batch = SubBatch(
            7, 5, 1, "invoices", 1, "x", 3, 90, 1, (0,), (0,), (self.first,), (0,), (9,)
        )
        self.assertFalse(self.pool.send("e2", batch))
        self.assertFalse(self.pool.send("e1", object()))
        self.assertTrue(self.pool.send("e1", batch))
        self.pool.flush()
        (reply,) = [each for each in self.messages if isinstance(each, ReplyBatch)]
        self.assertEqual(((7,), (SubCode.WRONG_RECEIVER,)), (reply.call_ids, reply.outcomes))


if __name__ == "__main__":
    unittest.main()
