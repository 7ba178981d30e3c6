"""Drains by each signal alone, and graceful stops under load, on real processes."""

import time

from rhubarbhinge.history import drain_bound, graceful_stop
from rhubarbhinge.once import OutcomeKind
from standins.deployment import BY_DOMAIN, Size
from standins.fleet import wait_until
from standins.history import monotonic_ms
from standins.tests._checks import search_violations
from standins.tests._live import ACTION, LiveCase, in_background

_DEADLINE_MS = 5_000
#: How long after a signal work may still arrive at a searcher that leaves.
_DRAIN_BOUND_MS = 4_000.0
_UNDER_LOAD_S = 1.0
_EXIT_WAIT_S = 30.0
#: Longer than any test: what a searcher takes although it leaves shows what the system sends.
_GRACE_MS = 600_000
_SEARCHED = ("overhauls", "outage-schedules", "spare-part-histories")
_BY_REGISTER = "outage-search-desk-01-a"
_BY_HEADER = "outage-search-desk-03-b"
#: Leaves by header too, and is sent no search until the bound has passed.
_BY_POLLS_HEADER = "regulator-report-builder-01"
_SEARCHED_LATE = "regulator-reports"
_BY_HEALTH = "spare-parts-stores-tracker-01"
_LISTED_INSTANCE = "member-portal-02"
RAN = OutcomeKind.RAN.value


class LiveLeavingTest(LiveCase):
    size = Size(scale=0.05, vms_per_domain=2, searcher_processes=BY_DOMAIN)

    @staticmethod
    def change(register, rules):
        for each in rules["classes"]:
            each.update(deadline_ms=_DEADLINE_MS, least_coverage=0.0)

    def setUp(self):
        super().setUp()
        self.vms = self.live.vms

    def load(self):
        return self.callers.load(self.vms, _SEARCHED)

    def test_drained_by_each_signal_alone(self):
        by_list = self._searchers_of(_LISTED_INSTANCE)
        leaving = [_BY_REGISTER, _BY_HEADER, _BY_HEALTH, *by_list, _BY_POLLS_HEADER]
        self.addCleanup(self._come_back, leaving)
        with self.load():
            self._wait_used(leaving[:-1])
            since_ms = monotonic_ms()
            self._set_leaving({_BY_REGISTER})
            self.live.publish_vms([_LISTED_INSTANCE])
            self.set_knobs([_BY_HEALTH], health_state="draining")
            lie = {"draining": True, "drain_grace_ms": _GRACE_MS, "health_state": "ready"}
            self.set_knobs([_BY_HEADER, _BY_POLLS_HEADER], **lie)
            time.sleep(_DRAIN_BOUND_MS / 1000 + _UNDER_LOAD_S)
            for vm in self.vms:
                self.callers.search(vm, _SEARCHED_LATE)
            runs = [self.callers.mint(vm, place).show(vm) for place, vm in enumerate(self.vms)]
            time.sleep(_UNDER_LOAD_S)
        self.assertEqual(set(runs), {RAN})
        drains = [{"event": "drain", "searcher": name, "at_ms": since_ms} for name in leaving]
        events = [each for each in self.history() if each["event"] != "drain"]
        merged = sorted([*drains, *events], key=lambda event: event["at_ms"])
        self.assertEqual(drain_bound(merged, _DRAIN_BOUND_MS), [])
        for name in leaving[:-1]:
            self._check_finished(events, name, since_ms)
        self._check_searches()

    def _wait_used(self, names):
        """Wait until each searcher has got work: one that is passed over for good is a fault."""

        def unused():
            return set(names) - {each.get("searcher") for each in self.history()}

        self.assertTrue(wait_until(lambda: not unused()), f"unused: {unused()}")

    def _searchers_of(self, instance):
        upstreams = self.live.register["upstreams"]
        return [each["name"] for each in upstreams if each["instance"] == instance]

    def _set_leaving(self, names):
        def change(register):
            for each in register["upstreams"]:
                each["leaving"] = each["name"] in names

        self.live.publish_register(change)

    def _come_back(self, names):
        self._set_leaving(set())
        self.live.publish_vms()
        for name in names:
            self.live.searcher(name, {"restart": True})
        self.live.wait_serving()

    def _check_finished(self, events, searcher, since_ms):
        mine = [each for each in events if each.get("searcher") == searcher]
        started = {each["call"] for each in mine if each["event"] == "search"}
        ended = {each["call"] for each in mine if each["event"] in ("done", "cancel")}
        self.assertTrue(any(each["at_ms"] < since_ms for each in mine), f"{searcher} unused")
        self.assertEqual(started - ended, set(), searcher)

    def _check_searches(self):
        events = [each for each in self.callers.events if "run" not in each.get("path", "")]
        runs = {each["request"] for each in self.callers.events} - {
            each["request"] for each in events if each["event"] == "asked"
        }
        searches = [each for each in events if each["request"] not in runs]
        self.assertEqual(search_violations(searches), [])
        thin = [
            each
            for each in searches
            if each["event"] == "answered" and each["body"]["coverage"]["fraction"] < 1.0
        ]
        self.assertEqual(thin, [])

    def test_run_in_flight_on_a_leaving_searcher_ends(self):
        (action,) = [each for each in self.live.register["actions"] if each["name"] == ACTION]
        self.set_knobs(action["upstreams"], run_ms=1_500)
        ticket = self.callers.mint(self.vms[0])
        first = in_background(ticket.show, self.vms[0])
        name = self.wait_run(ticket)["searcher"]
        self.addCleanup(self._come_back, [name])
        self.set_knobs([name], health_state="draining")
        self._set_leaving({name})
        self.assertEqual(first.result(), RAN)
        self.assertEqual(self.times_run(ticket), 1)

    def test_entry_stopped_under_load(self):
        vm = self.vms[0]
        node = f"{vm.name}/entry"
        with self.load():
            time.sleep(_UNDER_LOAD_S)
            stop = self._stop(vm, "entry")
        self.addCleanup(self.restart, vm, "entry")
        self.assertEqual(graceful_stop([*self.callers.events, *stop]), [])
        answers = [each for each in self.callers.answered() if each["node"] == node]
        self.assertGreater(len(answers), 0)
        for each in answers:
            self._check_stopped_answer(each)

    def test_relay_stopped_under_load(self):
        vm = self.vms[0]
        with self.load():
            time.sleep(_UNDER_LOAD_S)
            stop = self._stop(vm, "relay")
            time.sleep(_UNDER_LOAD_S)
        self.addCleanup(self.restart, vm, "relay")
        self.assertEqual(graceful_stop([*self.callers.events, *stop]), [])
        self._check_searches()

    def test_relay_stopped_with_a_run_in_flight(self):
        (action,) = [each for each in self.live.register["actions"] if each["name"] == ACTION]
        self.set_knobs(action["upstreams"], run_ms=1_500)
        ticket = self.callers.mint(self.vms[0])
        first = in_background(ticket.show, self.vms[0])
        name = self.wait_run(ticket)["searcher"]
        (vm,) = [vm for vm in self.vms if name in self.live.status(vm, "relay")["owned"]]
        self._stop(vm, "relay")
        self.addCleanup(self.restart, vm, "relay")
        self.assertEqual(first.result(), RAN)
        self.assertEqual(self.times_run(ticket), 1)

    def _stop(self, vm, role):
        process = vm.nodes[role]
        node = {"node": f"{vm.name}/{role}"}
        stopped = {"event": "stop", "at_ms": monotonic_ms(), **node}
        process.terminate()
        self.assertEqual(process.wait(_EXIT_WAIT_S), 0)
        return [stopped, {"event": "end", "at_ms": monotonic_ms(), **node}]

    def _check_stopped_answer(self, answered):
        if not answered["whole"]:
            self.assertEqual(answered["why"], "ConnectionRefusedError")
        elif answered["status"] != 200:
            error = answered["body"]["error"]
            self.assertEqual((answered["status"], error["code"]), (503, "draining"))
            self.assertTrue(error["not_run"])
            self.assertGreater(error["retry_after_ms"], 0)
