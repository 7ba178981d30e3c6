"""What a relay answers before it knows what it owns."""

import random
import unittest

from rhubarbhinge.daemons._identity import Identity
from rhubarbhinge.daemons._relayparts import RelayParts
from rhubarbhinge.daemons._relaywork import RelayWork
from rhubarbhinge.daemons.tests.simulated_runs import NUMBER, Timers, Upstream
from rhubarbhinge.routing import RelayPolicy
from rhubarbhinge.wire import SubBatch, SubCode, decode, encode

ENTRY = "a/entry"
INCARNATION = 5


class RelayWorkTest(unittest.TestCase):
    def setUp(self):
        timers = Timers()
        upstream = Upstream(timers, [])
        identity = Identity("a/relay", "relay", "a", "127.0.0.1", 2, INCARNATION)
        parts = RelayParts(timers, identity, random.Random(1), RelayPolicy(), upstream, upstream)
        self.sent = []
        self.work = RelayWork(
            parts,
            lambda entry, message: self.sent.append(decode(encode(message))),
            lambda report: None,
            lambda entry, code: None,
        )

    def test_a_relay_without_a_register_refuses_at_once(self):
        """Guards against refusals that can not be written, so that entries wait for them."""
        batch = SubBatch(
            7, INCARNATION, 1, "overhauls", 1, "x", 3, 90, 1, (0,), (0,), (NUMBER,), (0,), (9,)
        )
        self.work.take(ENTRY, batch)
        self.work.flush()
        (reply,) = self.sent
        self.assertEqual((SubCode.WRONG_RECEIVER,), reply.outcomes)
        self.assertEqual(0, reply.register_revision)


if __name__ == "__main__":
    unittest.main()
