"""A small fleet starts, follows a change, and loses and regains members."""

import unittest

from rhubarbhinge.control.tests.schedule import Schedule, fleet, vms_document


def start(seed: int = 1, count: int = 16, domains: int = 4) -> Schedule:
    schedule = Schedule(seed)
    members = fleet(count, domains)
    schedule.seeds = tuple((member.ip, member.peer_port) for member in members[:4])
    schedule.platform.documents = {
        "register": (1, b"{}"),
        "rules": (1, b"{}"),
        "vms": (1, vms_document(members)),
    }
    for member in members:
        schedule.add(member)
    schedule.run_until(lambda: joined(schedule), 30_000)
    return schedule


def joined(schedule: Schedule) -> bool:
    nodes = schedule.nodes.values()
    return all(node.ready() and len(node.membership.live()) == len(nodes) for node in nodes)


def in_force(schedule: Schedule, key: str, revision: int) -> bool:
    return all(node.store.position(key)[0] == revision for node in schedule.nodes.values())


class FleetTest(unittest.TestCase):
    def test_all_know_all_and_are_ready(self):
        self.assertTrue(joined(start()))

    def test_a_change_is_in_force_everywhere_within_five_seconds(self):
        schedule = start()
        schedule.publish("register", 2, b'{"revision": 2}')
        schedule.run(5_000)
        self.assertTrue(in_force(schedule, "register", 2))

    def test_a_refused_revision_leaves_the_last_accepted(self):
        schedule = start()
        schedule.publish("register", 2, b"bad")
        schedule.run(5_000)
        self.assertTrue(in_force(schedule, "register", 1))
        schedule.publish("register", 3, b"{3}")
        schedule.run(5_000)
        self.assertTrue(in_force(schedule, "register", 3))
