"""Configuration on real processes: the platform cut off, stale and down; revisions that race."""

import shlex
import threading
import time
import urllib.request
from copy import deepcopy
from datetime import datetime

from rhubarbhinge.control import content_hash
from rhubarbhinge.history import monotonic_config
from standins.deployment import wait_for
from standins.fleet import call
from standins.history import monotonic_ms
from standins.tests._live import LiveCase

#: How long a publication may take to be in force everywhere.
_BOUND_MS = 20_000.0
#: What the clock of the nodes' logs is ahead of that of the histories.
_WALL_AHEAD_MS = time.time() * 1e3 - monotonic_ms()
_ROLES = ("entry", "relay")
#: Status of a search of a collection that the register lacks.
_UNKNOWN = 404
_COLLECTION = "spare-part-histories"


class LiveConfigurationTest(LiveCase):
    def setUp(self):
        super().setUp()
        self.nodes = [(vm, role) for vm in self.live.vms for role in _ROLES]
        self.published = []
        self.lives = []
        for vm, role in self.nodes:
            self.lives.append((f"{vm.name}/{role}", vm.nodes[role]))
        self.addCleanup(self.platform)

    def platform(self, **knobs):
        defaults = {"down": False, "cut_off": [], "stale_revision": {}, "unreachable": False}
        call(self.live.platform.port(), "/standin", {**defaults, **knobs})

    def publish(self, key="rules", revision=None, probe="probe"):
        """Publish a document whose content shows in the answers, if it is a register."""
        document = deepcopy(getattr(self.live, key))
        document["revision"] = revision or document["revision"] + 1
        if key == "register":
            document["collections"].append({**document["collections"][0], "name": probe})
        self.live.publish(key, document)
        if document["revision"] > getattr(self.live, key)["revision"]:
            setattr(self.live, key, {**getattr(self.live, key), "revision": document["revision"]})
        event = {"event": "publish", "key": key, "revision": document["revision"]}
        self.published.append({"at_ms": monotonic_ms(), **event})
        return document["revision"]

    def config(self, key="rules"):
        statuses = [self.live.status(vm, role) for vm, role in self.nodes]
        return [status["config"][key] for status in statuses]

    def wait_revision(self, revision, key="rules"):
        def in_force():
            return {each["revision"] for each in self.config(key)} == {revision}

        wait_for(in_force, f"{key} {revision} everywhere")

    def known(self, *probes):
        """Give, for each entry, the collections among some that its register has."""
        return [
            {name for name in probes if self.live.search(vm, name)[0] != _UNKNOWN}
            for vm in self.live.vms
        ]

    def events(self, lives):
        events = [*self.published]
        for node, process in lives:
            events += _life_events(node, process.errors())
            if not process.is_running():
                events.append({**events[-1], "event": "end"})
        events.append({"event": "checked", "at_ms": monotonic_ms()})
        self.assertGreaterEqual(sum(each["event"] == "ready" for each in events), len(lives))
        return sorted(events, key=lambda event: event["at_ms"])

    def check(self):
        self.assertEqual(monotonic_config(self.events(self.lives), _BOUND_MS), [])

    def check_never_lower(self, first_life):
        """Check that later lives had all that was published before them when they were ready."""
        self.assertEqual(monotonic_config(self.events(self.lives[first_life:]), 0.0), [])

    def restart_nodes(self, nodes):
        for vm, role in nodes:
            vm.nodes[role].kill()
        for vm, role in nodes:
            self.lives.append((f"{vm.name}/{role}", self.live.start_node(vm, role)))
        self.live.wait_serving()

    def restart_all_but(self, kept):
        self.restart_nodes([node for node in self.nodes if node != kept])

    def test_platform_reachable_by_one_node(self):
        for reader in (self.nodes[0], self.nodes[-1]):
            names = [f"{vm.name}/{role}" for vm, role in self.nodes if (vm, role) != reader]
            self.platform(cut_off=names)
            self.wait_revision(self.publish())
        self.check()

    def test_restarted_beside_a_stale_platform(self):
        old = self.publish()
        self.wait_revision(old)
        newest = self.publish()
        self.wait_revision(newest)
        self.platform(stale_revision={"rules": old})
        self.restart_all_but(self.nodes[-1])
        self.wait_revision(newest)
        self.check_never_lower(first_life=len(self.nodes))
        self.check()

    def test_restarted_with_the_platform_down(self):
        newest = self.publish()
        self.wait_revision(newest)
        self.platform(down=True)
        self.restart_all_but(self.nodes[0])
        self.wait_revision(newest)
        self.check_never_lower(first_life=len(self.nodes))
        self.check()

    def test_searches_go_on_without_the_platform(self):
        for fault in ("down", "unreachable"):
            self.platform(**{fault: True})
            with self.callers.load(self.live.vms, [_COLLECTION]):
                wait_for(lambda: len(self.callers.answered()) > 300, "searches")
            self.platform()
        self.assertEqual({each["status"] for each in self.callers.answered()}, {200})
        self.wait_revision(self.publish())
        self.check()

    def test_two_revisions_at_once(self):
        higher = self.live.register["revision"] + 2
        threads = [
            threading.Thread(target=self.publish, args=("register", revision, f"probe-{revision}"))
            for revision in (higher, higher - 1)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.wait_revision(higher, "register")
        known = self.known(f"probe-{higher - 1}", f"probe-{higher}")
        self.assertEqual(known, [{f"probe-{higher}"}] * len(self.live.vms))
        self.check()

    def test_one_revision_with_two_contents(self):
        probes = ("probe-first", "probe-second")
        for second in range(2):
            revision = self.publish("register", probe=probes[second])
            self.wait_revision(revision, "register")
            contents = {probes[second]: self.published_bytes("register")}
            self.publish("register", revision, probes[1 - second])
            contents[probes[1 - second]] = self.published_bytes("register")
            # Both contents are known to somebody now; all keep the one with the higher hash.
            self.read_alone(self.nodes[0], revision)
            winner = max(contents, key=lambda probe: content_hash(contents[probe]))
            self.wait_known(probes, winner)
        self.restart_all_but(self.nodes[2])
        self.wait_known(probes, winner)
        self.check()

    def read_alone(self, node, revision):
        """Restart a node while no other can hand it the register, so that the platform does."""
        vm, role = node
        others = [other.nodes[name] for other, name in self.nodes if (other, name) != node]
        vm.nodes[role].kill()
        for process in others:
            process.freeze()
        try:
            self.lives.append((f"{vm.name}/{role}", self.live.start_node(vm, role)))
            wait_for(lambda: self.register_revision(node) == revision, "the platform's register")
        finally:
            for process in others:
                process.thaw()
        self.live.wait_serving()

    def register_revision(self, node):
        try:
            return self.live.status(*node)["config"]["register"]["revision"]
        except OSError:
            return 0

    def published_bytes(self, key):
        url = f"http://127.0.0.1:{self.live.platform.port()}/v1/config/{key}"
        with urllib.request.urlopen(url, timeout=10) as response:
            return response.read()

    def wait_known(self, probes, probe):
        expected = [{probe}] * len(self.live.vms)
        wait_for(lambda: self.known(*probes) == expected, f"{probe} everywhere")

    def test_bad_revision_is_refused_by_all(self):
        good = self.publish()
        self.wait_revision(good)
        bad = deepcopy(self.live.rules)
        bad["revision"] = good + 1
        bad["classes"][0]["weight"] = -1
        self.live.publish("rules", bad)

        def refused():
            last = [each["last_refused"] or {} for each in self.config()]
            return all(each.get("revision") == good + 1 and each["faults"] for each in last)

        wait_for(refused, "the refusal in every status")
        self.assertEqual({each["revision"] for each in self.config()}, {good})
        self.wait_revision(self.publish(revision=good + 2))
        self.check()


def _life_events(node, log):
    events = []
    incarnation = 0
    names = {"config-adopted": "adopt", "ready": "ready"}
    for line in log.splitlines():
        if not line.startswith("time="):
            continue
        fields = dict(pair.partition("=")[::2] for pair in shlex.split(line))
        if fields["event"] == "node-started":
            incarnation = int(fields["incarnation"])
        elif fields["event"] in names:
            event = {"event": names[fields["event"]], "node": node, "incarnation": incarnation}
            revision = {"key": fields.get("key"), "revision": int(fields.get("revision", 0))}
            events.append({"at_ms": _monotonic_ms(fields["time"]), **event, **revision})
    return events


def _monotonic_ms(text):
    return datetime.fromisoformat(text).timestamp() * 1e3 - _WALL_AHEAD_MS
