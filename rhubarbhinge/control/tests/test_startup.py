"""When a started node may serve, and how old its configuration looks."""

import random
import unittest

from rhubarbhinge.control import DisseminationSettings, Membership, PlatformOutcome
from rhubarbhinge.control._contacts import Contacts
from rhubarbhinge.control._platform_reader import PlatformReader
from rhubarbhinge.control._startup import Startup
from rhubarbhinge.control.tests.schedule import fleet
from rhubarbhinge.wire._config_digest import ConfigDigest

HELD = ConfigDigest(1, 1, 0, 1, 1, 0)


class StartupTest(unittest.TestCase):
    def setUp(self):
        me, *others = fleet(4, 2)
        membership = Membership(me, random.Random(1))
        membership._claims.take(others, 0)
        membership.tick(0)
        self.names = [member.name for member in others]
        self.startup = Startup(membership, random.Random(1), DisseminationSettings())

    def is_ready(self, now_ms: int, may_be_ready: bool = True, tried: bool = True) -> bool:
        self.startup.tick(may_be_ready, tried, now_ms)
        return self.startup.ready

    def test_it_waits_for_all_that_were_asked_and_asks_again(self):
        self.assertEqual(sorted(self.startup.tick(True, True, 0)), sorted(self.names))
        self.startup.on_answer(self.names[0], HELD)
        self.assertEqual(sorted(self.startup.tick(True, True, 500)), sorted(self.names[1:]))
        self.assertFalse(self.is_ready(1_500))
        self.startup.on_answer(self.names[1], HELD)
        self.startup.on_answer(self.names[2], HELD)
        self.assertFalse(self.is_ready(1_600, tried=False))
        self.assertTrue(self.is_ready(1_600))

    def test_it_waits_no_longer_than_the_limit(self):
        self.assertFalse(self.is_ready(0))
        self.assertFalse(self.is_ready(2_999))
        self.assertFalse(self.is_ready(3_000, may_be_ready=False))
        self.assertTrue(self.is_ready(3_000, tried=False))

    def test_it_is_not_ready_within_its_first_second(self):
        self.is_ready(0)
        for name in self.names:
            self.startup.on_answer(name, HELD)
        self.assertFalse(self.is_ready(999))
        self.assertTrue(self.is_ready(1_000))


class PlatformAgeTest(unittest.TestCase):
    def test_the_age_is_that_of_the_key_answered_longest_ago(self):
        membership = Membership(fleet(1, 1)[0], random.Random(1))
        reader = PlatformReader(membership, random.Random(1), DisseminationSettings())
        for now_ms in range(0, 3_000, 100):
            reader.due(False, now_ms)
        reader.on_outcome("register", PlatformOutcome.CHANGED, True, 3_000)
        reader.on_outcome("rules", PlatformOutcome.CHANGED, True, 4_000)
        self.assertEqual(reader.platform_age_ms(5_000), -1)
        reader.on_outcome("vms", PlatformOutcome.MISSING, False, 5_000)
        self.assertEqual(reader.platform_age_ms(5_000), 2_000)
        reader.on_outcome("rules", PlatformOutcome.UNCHANGED, False, 6_000)
        reader.on_outcome("vms", PlatformOutcome.FAILED, False, 6_000)
        reader.on_outcome("register", PlatformOutcome.UNCHANGED, False, 7_000)
        self.assertEqual(reader.platform_age_ms(9_000), 4_000)


class ContactsTest(unittest.TestCase):
    def test_an_answer_that_comes_back_does_not_look_younger(self):
        contacts = Contacts()
        self.assertTrue(contacts.hear(7, 100))
        self.assertFalse(contacts.hear(7, 500))
        self.assertTrue(contacts.hear(8, 50))
        self.assertEqual((contacts.newest, contacts.newest_ms), (7, 100))
