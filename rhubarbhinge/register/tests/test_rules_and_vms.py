"""Rules and VM lists, and rules against a register."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.register import (
    MOST_FAULTS,
    Register,
    cross_check,
    parse_register,
    parse_rules,
    parse_vms,
    to_document,
)
from rhubarbhinge.register.tests.documents import places, registers, rules, vms


def _bytes(document):
    return json.dumps(document).encode()


def found(parse, document):
    return {(fault.place, fault.code) for fault in parse(_bytes(document)).faults}


class RulesTest(unittest.TestCase):
    def test_accepted_documents_round_trip(self):
        for parse, document in ((parse_rules, rules()), (parse_vms, vms())):
            checked = parse(_bytes(document))
            self.assertEqual(checked.faults, ())
            self.assertEqual(to_document(checked.value), document)

    @settings(derandomize=True, deadline=None, database=None, max_examples=200)
    @given(st.sampled_from([(parse_rules, rules), (parse_vms, vms)]), st.data())
    def test_spoilt_values_are_named(self, kind, data):
        parse, make = kind
        document = make()
        place, holder, key = data.draw(st.sampled_from(list(places(document))))
        holder[key] = data.draw(st.sampled_from([None, True, {"a": 1}, -1, "\n", [[]], 2**70]))
        faults = parse(_bytes(document)).faults
        self.assertTrue(any(fault.place.startswith(place) for fault in faults), faults)

    def test_class_for(self):
        value = parse_rules(_bytes(rules())).value
        self.assertEqual(value.class_for("collection-0").name, "urgent")
        self.assertEqual(value.class_for("collection-9").name, "audit")
        self.assertEqual(value.class_for("collection-9", "urgent").name, "urgent")
        self.assertEqual(value.class_for("collection-0", "none").name, "urgent")
        self.assertIsNone(value.traffic_class("none"))

    def test_repeatable(self):
        value = parse_rules(_bytes(rules())).value
        self.assertFalse(value.repeatable("order"))
        self.assertTrue(value.repeatable("other"))

    def test_faults_of_rules(self):
        document = rules()
        document["classes"][1]["name"] = "urgent"
        document["classes"][0]["least_coverage"] = 1.01
        document["classes"][0]["prefers"] = "both"
        document["default_class"] = "none"
        document["routes"] += [{"collection": "collection-0", "class": "nowhere"}]
        document["never_repeat"] *= 2
        expected = {
            ("classes[1].name", "duplicate-name"),
            ("classes[0].least_coverage", "out-of-range"),
            ("classes[0].prefers", "unknown-choice"),
            ("default_class", "unknown-name"),
            ("routes[1].class", "unknown-name"),
            ("routes[1].collection", "duplicate-name"),
            ("never_repeat[1]", "duplicate-name"),
        }
        self.assertEqual(found(parse_rules, document), expected)

    def test_faults_of_vms(self):
        document = vms()
        document["vms"][0]["nodes"][1] = {"role": "entry", "peer_port": 8001, "http_port": 1}
        document["vms"][1] |= {"name": "a-1", "state": "gone"}
        expected = {
            ("vms[0].nodes[1].role", "duplicate-name"),
            ("vms[0].nodes[1].peer_port", "duplicate-address"),
            ("vms[1].name", "duplicate-name"),
            ("vms[1].state", "unknown-choice"),
        }
        self.assertEqual(found(parse_vms, document), expected)

    def test_vm_lookups(self):
        value = parse_vms(_bytes(vms())).value
        vm = value.vm("a-1")
        self.assertEqual([vm.node_name(node) for node in vm.nodes], ["a-1/entry", "a-1/relay"])
        self.assertIsNone(value.vm("none"))

    @settings(derandomize=True, deadline=None, database=None, max_examples=20)
    @given(registers())
    def test_cross_check(self, document):
        register = parse_register(_bytes(document)).value
        good = parse_rules(_bytes(rules())).value
        self.assertEqual(cross_check(register, good), ())
        bad = rules()
        bad["routes"] += [{"collection": "none", "class": "urgent"}]
        bad["never_repeat"] += ["odrer"]
        faults = cross_check(register, parse_rules(_bytes(bad)).value)
        expected = [("routes[1].collection", "unknown-name"), ("never_repeat[1]", "unknown-name")]
        self.assertEqual([(fault.place, fault.code) for fault in faults], expected)

    def test_cross_check_is_bounded(self):
        bad = rules()
        bad["routes"] = [{"collection": f"c{at}", "class": "urgent"} for at in range(2000)]
        value = parse_rules(_bytes(bad)).value
        empty = Register(1, "kingston", (), (), (), (), (), (), ())
        self.assertEqual(len(cross_check(empty, value)), MOST_FAULTS)


if __name__ == "__main__":
    unittest.main()
