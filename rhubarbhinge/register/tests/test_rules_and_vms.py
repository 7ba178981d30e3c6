"""Parsing of rules and VM lists, and the check of rules against a register."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.register import (
    MAX_LISTED_FAULTS,
    Register,
    cross_check,
    parse_register,
    parse_rules,
    parse_vms,
    to_document,
)
from rhubarbhinge.register.tests.documents import registers, rules, values_with_places, vms


def _encode(document):
    return json.dumps(document).encode()


def faults_in(parse, document):
    return {(fault.place, fault.code) for fault in parse(_encode(document)).faults}


class RulesAndVmsTest(unittest.TestCase):
    def test_accepted_documents_round_trip(self):
        for parse, document in ((parse_rules, rules()), (parse_vms, vms())):
            checked = parse(_encode(document))
            self.assertEqual(checked.faults, ())
            self.assertEqual(to_document(checked.value), document)

    @settings(derandomize=True, deadline=None, database=None, max_examples=200)
    @given(st.sampled_from([(parse_rules, rules), (parse_vms, vms)]), st.data())
    def test_invalid_value_is_reported_at_its_place(self, kind, data):
        parse, make_document = kind
        document = make_document()
        place, container, key = data.draw(st.sampled_from(list(values_with_places(document))))
        container[key] = data.draw(st.sampled_from([None, True, {"a": 1}, -1, "\n", [[]], 2**70]))
        faults = parse(_encode(document)).faults
        self.assertTrue(any(fault.place.startswith(place) for fault in faults), faults)

    def test_class_for(self):
        value = parse_rules(_encode(rules())).value
        self.assertEqual(value.class_for("collection-0").name, "urgent")
        self.assertEqual(value.class_for("collection-9").name, "audit")
        self.assertEqual(value.class_for("collection-9", "urgent").name, "urgent")
        self.assertEqual(value.class_for("collection-0", "none").name, "urgent")
        self.assertIsNone(value.traffic_class("none"))

    def test_repeatable(self):
        value = parse_rules(_encode(rules())).value
        self.assertFalse(value.repeatable("order"))
        self.assertTrue(value.repeatable("other"))

    def test_rules_fault_codes_and_places(self):
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
        self.assertEqual(faults_in(parse_rules, document), expected)

    def test_vms_fault_codes_and_places(self):
        document = vms()
        document["vms"][0]["nodes"][1] = {"role": "entry", "peer_port": 8001, "http_port": 1}
        document["vms"][1] |= {"name": "a-1", "state": "gone"}
        expected = {
            ("vms[0].nodes[1].role", "duplicate-name"),
            ("vms[0].nodes[1].peer_port", "duplicate-address"),
            ("vms[1].name", "duplicate-name"),
            ("vms[1].state", "unknown-choice"),
        }
        self.assertEqual(faults_in(parse_vms, document), expected)

    def test_vm_lookups(self):
        value = parse_vms(_encode(vms())).value
        vm = value.vm("a-1")
        self.assertEqual([vm.node_name(node) for node in vm.nodes], ["a-1/entry", "a-1/relay"])
        self.assertIsNone(value.vm("none"))

    @settings(derandomize=True, deadline=None, database=None, max_examples=20)
    @given(registers())
    def test_cross_check(self, document):
        register = parse_register(_encode(document)).value
        valid = parse_rules(_encode(rules())).value
        self.assertEqual(cross_check(register, valid), ())
        invalid = rules()
        invalid["routes"] += [{"collection": "none", "class": "urgent"}]
        invalid["never_repeat"] += ["odrer"]
        faults = cross_check(register, parse_rules(_encode(invalid)).value)
        expected = [("routes[1].collection", "unknown-name"), ("never_repeat[1]", "unknown-name")]
        self.assertEqual([(fault.place, fault.code) for fault in faults], expected)

    def test_cross_check_is_bounded(self):
        invalid = rules()
        invalid["routes"] = [
            {"collection": f"c{index}", "class": "urgent"} for index in range(2000)
        ]
        value = parse_rules(_encode(invalid)).value
        empty = Register(1, "kingston", (), (), (), (), (), (), ())
        self.assertEqual(len(cross_check(empty, value)), MAX_LISTED_FAULTS)


if __name__ == "__main__":
    unittest.main()
