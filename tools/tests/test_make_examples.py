"""The example documents are good, committed as made, and spread over failure domains."""

import itertools
import json
import unittest
from pathlib import Path

from rhubarbhinge.register import cross_check, parse_register, parse_rules
from tools.make_examples import EXAMPLE_PORTS, make_deployment, render

SIZES = {
    "kingston": {
        "outage-search-desk": (20, 40, 2, 25, 6),
        "member-portal": (30, 60, 2, 25, 6),
        "spare-parts-stores-tracker": (7, 7, 3, 100, 1),
        "regulator-report-builder": (3, 3, 3, 100, 1),
    },
    "suva": {
        "payment-run-engine": (20, 40, 2, 25, 6),
        "ledger-sync": (30, 60, 2, 25, 6),
        "supplier-record-desk": (4, 4, 4, 40, 1),
        "payment-audit-trail": (4, 4, 4, 40, 1),
    },
}
"""Instances, upstreams, slots, connections and connect_ms of each system."""


class MakeExamplesTest(unittest.TestCase):
    def test_committed_files_are_as_made(self):
        for name, first_port in EXAMPLE_PORTS.items():
            made = make_deployment(name, itertools.count(first_port).__next__)
            for key in ("register", "rules"):
                text = Path("examples", name, f"{key}.json").read_text()
                self.assertEqual(text, render(getattr(made, key)) + "\n")

    def test_documents_are_accepted_at_every_scale(self):
        for name, scale in itertools.product(EXAMPLE_PORTS, (0.01, 0.3, 1.0, 4.0)):
            made = make_deployment(name, itertools.count(1).__next__, scale)
            register = parse_register(json.dumps(made.register).encode())
            rules = parse_rules(json.dumps(made.rules).encode())
            self.assertEqual((register.faults, rules.faults), ((), ()))
            self.assertEqual(cross_check(register.value, rules.value), ())

    def test_sizes(self):
        for name, systems in SIZES.items():
            register = _register(name)
            for system in register.systems:
                members = [each for each in register.upstreams if each.system == system.name]
                instances = {each.instance for each in members}
                limits = (system.slots, system.connections, system.connect_ms)
                found = (len(instances), len(members), *limits)
                self.assertEqual(found, systems[system.name], system.name)
            self.assertEqual(len(register.systems), len(systems))

    def test_replicas_are_in_different_failure_domains(self):
        for name in EXAMPLE_PORTS:
            register = _register(name)
            for collection in register.collections:
                for shard in collection.shards:
                    domains = {register.upstream(each).failure_domain for each in shard.upstreams}
                    self.assertEqual(len(domains), len(shard.upstreams))
                    self.assertGreaterEqual(len(domains), 2)

    def test_every_action_must_not_repeat(self):
        for name in EXAMPLE_PORTS:
            made = make_deployment(name, itertools.count(1).__next__)
            actions = [action["name"] for action in made.register["actions"]]
            self.assertEqual(made.rules["never_repeat"], actions)


def _register(name):
    made = make_deployment(name, itertools.count(1).__next__)
    return parse_register(json.dumps(made.register).encode()).value


if __name__ == "__main__":
    unittest.main()
