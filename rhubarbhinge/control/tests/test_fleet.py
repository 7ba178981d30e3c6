"""A small fleet starts, follows changes, restarts, and meets single faults."""

import random
import unittest
from collections import Counter
from dataclasses import replace

from rhubarbhinge.control import DEAD, LEAVING, DisseminationSettings, MemberChanged
from rhubarbhinge.control._neighbours import Neighbours
from rhubarbhinge.control.tests.schedule import Schedule, fleet, vms_document
from rhubarbhinge.wire._config_busy import ConfigBusy
from rhubarbhinge.wire._config_chunk import ConfigChunk
from rhubarbhinge.wire._config_notice import ConfigNotice
from rhubarbhinge.wire._config_request import ConfigRequest

DOMAIN = "kgn-a"


def start(seed: int = 1, count: int = 16, domains: int = 4) -> Schedule:
    schedule = Schedule(seed)
    members = fleet(count, domains)
    schedule.seeds = tuple((member.ip, member.peer_port) for member in members)
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


def restart(schedule: Schedule, name: str) -> None:
    member = schedule.members[name]
    schedule.remove(name)
    schedule.add(replace(member, incarnation=member.incarnation + 1))


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
        schedule.run(1_000)
        calls = len(schedule.platform.calls_ms)
        schedule.run(5_000)
        self.assertTrue(in_force(schedule, "register", 1))
        self.assertLess(len(schedule.platform.calls_ms) - calls, 30)
        schedule.publish("register", 3, b"{3}")
        schedule.run(5_000)
        self.assertTrue(in_force(schedule, "register", 3))

    def test_a_platform_that_has_lost_the_latest_revisions_takes_nobody_back(self):
        schedule = start()
        schedule.publish("register", 3, b"{3}")
        schedule.run(5_000)
        calls = len(schedule.platform.calls_ms)
        # Of a copy, and then a number that was given out before, for another content.
        for revision, data in ((1, b"{}"), (2, b"{other}")):
            schedule.publish("register", revision, data)
            schedule.run(5_000)
            self.assertTrue(in_force(schedule, "register", 3))
        self.assertLess(len(schedule.platform.calls_ms) - calls, 60)
        schedule.publish("register", 4, b"{4}")
        schedule.run(5_000)
        self.assertTrue(in_force(schedule, "register", 4))

    def test_each_domain_has_three_readers_on_as_many_vms_as_it_can(self):
        schedule = start(count=18, domains=3)
        readers = [name for name, n in schedule.nodes.items() if n.dissemination.is_reader]
        vms = {name.partition("/")[0] for name in readers}
        self.assertEqual((len(readers), len(vms)), (9, 9))

    def test_with_one_node_in_reach_of_the_platform_changes_follow_at_once_when_it_is_found(self):
        schedule = start()
        idle = [name for name, n in schedule.nodes.items() if not n.dissemination.is_reader]
        schedule.platform.unreachable = lambda name: name != idle[0]
        node = schedule.nodes[idle[0]].dissemination
        schedule.run_until(lambda: node.is_reader, 150_000)
        schedule.publish("rules", 2, b"{2}")
        schedule.run(5_000)
        self.assertTrue(in_force(schedule, "rules", 2))
        schedule.platform.unreachable = lambda name: False
        schedule.run(60_000)
        self.assertFalse(node.is_reader)

    def test_a_domain_restarts_with_a_stale_platform_and_one_old_peer_elsewhere(self):
        schedule = start()
        schedule.publish("register", 2, b"{2}")
        schedule.run(5_000)
        schedule.platform.stale = {"register": (1, b"{}"), "rules": (1, b"{}")}
        schedule.delay_ms = (150, 250)
        keep = next(n for n, m in schedule.members.items() if m.failure_domain != DOMAIN)
        for name in [name for name in schedule.nodes if name != keep]:
            if schedule.members[name].failure_domain == DOMAIN:
                restart(schedule, name)
            else:
                schedule.remove(name)
        early = []

        def watch(name: str, effect: object) -> None:
            node = schedule.nodes[name]
            if node.ready() and node.store.position("register")[0] < 2:
                early.append(name)

        schedule.on_effect = watch
        schedule.run(10_000)
        self.assertTrue(in_force(schedule, "register", 2))
        self.assertEqual(early, [])
        self.assertTrue(all(node.ready() for node in schedule.nodes.values()))

    def test_a_domain_cut_off_from_the_platform_follows_by_the_others(self):
        schedule = start()
        cut_off = [n for n, m in schedule.members.items() if m.failure_domain == DOMAIN]
        schedule.platform.unreachable = lambda name: name in cut_off
        schedule.publish("register", 2, b"{2}")
        schedule.run(5_000)
        self.assertTrue(in_force(schedule, "register", 2))

    def test_a_node_that_slept_learns_from_its_first_data_message(self):
        schedule = start()
        node = schedule.nodes["kgn-a-0/entry"]
        (request,) = node.on_seen_revision("kgn-b-1/relay", "rules", 2, schedule.now_ms)
        self.assertEqual(request.member_name, "kgn-b-1/relay")
        self.assertEqual((request.message.key, request.message.base_revision), ("rules", 1))
        questions = node.on_pause(60_000, schedule.now_ms + 60_000)
        notices = [e.message for e in questions if isinstance(e.message, ConfigNotice)]
        self.assertEqual([notice.answer for notice in notices], [True] * 3)

    def test_a_restarted_node_is_ready_once_those_asked_have_answered(self):
        schedule = start()
        name = next(iter(schedule.nodes))
        restart(schedule, name)
        self.assertLessEqual(schedule.run_until(schedule.nodes[name].ready, 10_000), 2_500)

    def test_the_ring_alone_reaches_the_whole_domain(self):
        schedule = start()
        settings = DisseminationSettings(neighbours=0, remote_neighbours=0)
        nodes = {n: Neighbours(x.membership, settings) for n, x in schedule.nodes.items()}
        name, reached = "kgn-a-0/entry", set()
        while name not in reached:
            reached.add(name)
            (name,) = nodes[name].near()
        self.assertEqual(len(reached), 4)

    def test_uploads_are_paced(self):
        node = start().nodes["kgn-a-0/entry"]
        node.on_platform("rules", "changed", 2, random.Random(1).randbytes(100_000), 0)
        request = ConfigRequest("rules", 0, 0, 0, 0, 0)
        answers = [node.on_peer("kgn-b-1/entry", request, 60_000)[0].message for _ in range(60)]
        chunks = [answer for answer in answers if isinstance(answer, ConfigChunk)]
        self.assertLess(len(chunks) * 16_384, 600_000)
        self.assertIsInstance(answers[-1], ConfigBusy)

    def test_nobody_is_ready_before_the_platform_or_a_peer_answers(self):
        schedule = Schedule(3)
        schedule.platform.unreachable = lambda name: True
        for member in fleet(6, 3):
            schedule.add(member)
        schedule.run(60_000)
        self.assertFalse(any(node.ready() for node in schedule.nodes.values()))

    def test_a_mass_start_stays_under_the_platforms_rate(self):
        settings = DisseminationSettings(expected_nodes=40, platform_calls_per_s=40)
        schedule = Schedule(4, settings)
        members = fleet(40, 4)
        schedule.seeds = tuple((member.ip, member.peer_port) for member in members[:4])
        schedule.platform.unreachable = lambda name: schedule.now_ms < 15_000
        schedule.platform.documents = {"register": (1, b"{}"), "rules": (1, b"{}")}
        for member in members:
            schedule.add(member)
        schedule.run(40_000)
        seconds = Counter(at_ms // 1_000 for at_ms in schedule.platform.calls_ms)
        self.assertLessEqual(max(seconds.values()), 40)
        self.assertTrue(all(node.ready() for node in schedule.nodes.values()))

    def test_two_documents_of_one_revision_have_one_winner(self):
        schedule = start()
        names = sorted(schedule.nodes)
        schedule.cut = lambda one, other: True
        schedule.platform.unreachable = lambda name: name in names[::2]
        schedule.publish("register", 2, b'{"one": 2}')
        schedule.run(100)
        schedule.platform.unreachable = lambda name: name not in names[::2]
        schedule.publish("register", 2, b'{"other": 2}')
        schedule.run(60_000)
        schedule.cut = lambda one, other: False
        schedule.run(20_000)
        held = {node.store.position("register") for node in schedule.nodes.values()}
        self.assertEqual(len(held), 1)

    def test_the_age_of_the_configuration_grows_while_the_platform_is_down(self):
        schedule = start()
        schedule.platform.unreachable = lambda name: True
        schedule.delay_ms = (50, 100)
        schedule.run(60_000)
        nodes = schedule.nodes.values()
        ages = [node.dissemination.ages(schedule.now_ms)[0].platform_age_ms for node in nodes]
        self.assertGreaterEqual(min(ages), 40_000)
        self.assertTrue(all(node.ready() for node in nodes))


class MembersTest(unittest.TestCase):
    def test_a_stopped_node_is_declared_dead_and_returns_with_its_next_life(self):
        schedule = start()
        name = next(iter(schedule.nodes))
        node = schedule.nodes[name]
        schedule.remove(name)
        schedule.run(15_000)
        others = list(schedule.nodes.values())
        self.assertEqual({n.membership.get(name).state for n in others}, {DEAD})
        schedule.nodes[name] = node
        restart(schedule, name)
        schedule.run(10_000)
        self.assertTrue(joined(schedule))

    def test_leaving_reaches_all_within_seconds_and_lasts(self):
        schedule = start()
        name = next(iter(schedule.nodes))
        schedule.do(name, schedule.nodes[name].leave(schedule.now_ms))
        schedule.run(3_000)
        nodes = schedule.nodes.values()
        self.assertEqual({n.membership.get(name).state for n in nodes}, {LEAVING})
        schedule.run(30_000)
        self.assertEqual({n.membership.get(name).state for n in nodes}, {LEAVING})

    def test_a_suspicion_does_not_run_out_during_ones_own_pause(self):
        schedule = start()
        name, other = list(schedule.nodes)[:2]
        schedule.cut = lambda one, two: name in (one.name, two.name)
        table = schedule.nodes[name].membership
        schedule.run_until(lambda: len(suspects(table)) > 2, 5_000, 10)
        dead = []
        schedule.on_effect = lambda observer, effect: dead.extend(died(observer, effect, name))
        schedule.cut = lambda one, two: False
        schedule.pause(name, 60_000)
        schedule.run(80_000)
        self.assertEqual(dead, [])
        self.assertTrue(joined(schedule))

    def test_a_split_heals(self):
        schedule = start()
        schedule.cut = lambda a, b: (a.failure_domain == DOMAIN) != (b.failure_domain == DOMAIN)
        schedule.run(3_600_000 // 20)
        self.assertEqual(len(schedule.nodes["kgn-a-0/entry"].membership.live()), 4)
        schedule.cut = lambda one, other: False
        schedule.run(60_000)
        self.assertTrue(joined(schedule))


def suspects(membership) -> list:
    return [member for member in membership.members() if member.state == "suspect"]


def died(observer: str, effect: object, name: str) -> list:
    if observer == name and isinstance(effect, MemberChanged) and effect.member.state == DEAD:
        return [effect.member.name]
    return []
