"""Random faults on small fleets: nothing accepted falls, and all agree once the faults end."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.control import DEAD, KEYS, LEAVING, Adopted, MemberChanged
from rhubarbhinge.control.tests.schedule import Schedule, fleet, vms_document

NODES = 6
DOMAINS = 3
FAULTS = ("pause", "restart", "split", "heal", "publish", "race", "bad", "stale", "loss", "cut off")

faults = st.lists(
    st.tuples(st.sampled_from(FAULTS), st.integers(0, NODES - 1), st.integers(100, 6_000)),
    max_size=14,
)


class Story:
    """Applies faults to a schedule and checks each adoption on the way."""

    def __init__(self, test: unittest.TestCase, seed: int) -> None:
        self.test = test
        self.schedule = Schedule(seed)
        self.members = fleet(NODES, DOMAINS)
        self.held: dict[str, dict[str, tuple[int, int]]] = {}
        self.floors: dict[str, dict[str, tuple[int, int]]] = {}
        self.revisions = dict.fromkeys(KEYS, 1)
        self.schedule.on_effect = self.check
        self.schedule.seeds = tuple((m.ip, m.peer_port) for m in self.members)
        vms = vms_document(self.members)
        documents = {"register": (1, b"{1}"), "rules": (1, b"{1}"), "vms": (1, vms)}
        self.schedule.platform.documents = documents
        for member in self.members:
            self.start(member)
        self.schedule.run(5_000)

    def start(self, member) -> None:
        self.held[member.name] = {}
        self.schedule.add(member)

    def check(self, name: str, effect: object) -> None:
        if isinstance(effect, Adopted):
            document = effect.document
            position = (document.revision, document.digest)
            self.test.assertGreater(position, self.held[name].get(document.key, (0, 0)))
            self.held[name][document.key] = position
        node = self.schedule.nodes[name]
        if name in self.floors and node.ready():
            for key, floor in self.floors.pop(name).items():
                self.test.assertGreaterEqual(node.store.position(key), floor)

    def apply(self, kind: str, target: int, length_ms: int) -> None:
        member = self.members[target]
        schedule = self.schedule
        key = KEYS[target % 2]
        if kind == "pause":
            schedule.pause(member.name, length_ms * 2)
        elif kind == "restart":
            self.restart(target)
        elif kind == "split":
            schedule.cut = lambda a, b: (a.failure_domain == member.failure_domain) != (
                b.failure_domain == member.failure_domain
            )
        elif kind == "heal":
            self.heal()
        elif kind in ("publish", "bad", "race"):
            self.publish(key, kind, member.name)
        elif kind == "stale":
            schedule.platform.stale = {"register": (1, b"{1}"), "rules": (1, b"{1}")}
        elif kind == "loss":
            schedule.loss, schedule.duplicates, schedule.delay_ms = 0.2, 0.2, (1, 200)
        elif kind == "cut off":
            schedule.platform.unreachable = lambda name: name != member.name
        schedule.run(length_ms)

    def publish(self, key: str, kind: str, only: str) -> None:
        self.revisions[key] += 1
        revision = self.revisions[key]
        data = b"bad" if kind == "bad" else b'{"at": %d}' % revision
        platform = self.schedule.platform
        if kind == "race":
            reachable, platform.unreachable = platform.unreachable, lambda name: name == only
            self.schedule.publish(key, revision, b'{"second": %d}' % revision)
            self.schedule.run(1)
            platform.unreachable = reachable
        self.schedule.publish(key, revision, data)

    def restart(self, target: int) -> None:
        member = self.members[target]
        domain = [m.name for m in self.members if m.failure_domain == member.failure_domain]
        nodes = [self.schedule.nodes[name] for name in domain]
        floor = {key: min(node.store.position(key) for node in nodes) for key in KEYS}
        self.members[target] = replace(member, incarnation=member.incarnation + 1)
        self.schedule.remove(member.name)
        self.start(self.members[target])
        if member.name not in self.floors and all(node.ready() for node in nodes):
            self.floors[member.name] = floor

    def heal(self) -> None:
        self.schedule.cut = lambda a, b: False
        self.schedule.loss = self.schedule.duplicates = 0.0
        self.schedule.delay_ms = (1, 3)
        self.schedule.platform.stale = None
        self.schedule.platform.unreachable = lambda name: False

    def agree(self) -> bool:
        nodes = list(self.schedule.nodes.values())
        digests = {tuple(node.store.position(key) for key in KEYS) for node in nodes}
        known = all(len(node.membership.live()) == NODES for node in nodes)
        return known and len(digests) == 1 and all(node.ready() for node in nodes)


class FaultsTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None, max_examples=40)
    @given(st.integers(0, 1_000), faults, st.integers(0, NODES - 1))
    def test_nothing_falls_and_all_agree_when_one_node_reaches_the_platform(
        self, seed, events, reached
    ):
        story = Story(self, seed)
        for event in events:
            story.apply(*event)
        story.heal()
        name = story.members[reached].name
        story.schedule.platform.unreachable = lambda other: other != name
        for key in ("register", "rules"):
            story.publish(key, "publish", name)
        wanted = [story.revisions[key] for key in ("register", "rules")]

        def done() -> bool:
            store = story.schedule.nodes[name].store
            newest = [store.position(key)[0] for key in ("register", "rules")] == wanted
            return newest and story.agree()

        story.schedule.run_until(done, 240_000, 1_000)
        self.assertTrue(done(), [n.store.digest(0, 0) for n in story.schedule.nodes.values()])

    @settings(derandomize=True, deadline=None, database=None, max_examples=20)
    @given(st.integers(0, 1_000), faults, st.integers(0, NODES - 1))
    def test_leaving_stays_leaving(self, seed, events, target):
        story = Story(self, seed)
        name = story.members[target].name
        undone = []

        def watch(_: str, effect: object) -> None:
            changed = effect.member if isinstance(effect, MemberChanged) else None
            if changed and changed.name == name and changed.incarnation == 1:
                if changed.state not in (LEAVING, DEAD):
                    undone.append(changed)

        schedule = story.schedule
        schedule.do(name, schedule.nodes[name].leave(schedule.now_ms))
        schedule.run(4_000)
        schedule.on_effect = watch
        for kind, other, length_ms in events:
            if kind != "restart":
                story.apply(kind, other, length_ms)
        self.assertEqual(undone, [])

    @settings(derandomize=True, deadline=None, database=None, max_examples=20)
    @given(st.integers(0, 1_000), st.integers(0, NODES - 1), st.integers(500, 60_000))
    def test_a_paused_node_declares_nobody_dead(self, seed, target, length_ms):
        story = Story(self, seed)
        name = story.members[target].name
        dead = []

        def watch(observer: str, effect: object) -> None:
            if isinstance(effect, MemberChanged) and effect.member.state == DEAD:
                dead.append((observer, effect.member.name))

        story.schedule.on_effect = watch
        story.schedule.pause(name, length_ms)
        story.schedule.run(length_ms + 20_000)
        self.assertEqual([pair for pair in dead if pair[1] != name], [])
        self.assertTrue(story.agree())
