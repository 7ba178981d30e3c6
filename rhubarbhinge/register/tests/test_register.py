"""Register parsing: valid documents round-trip, and each fault names the invalid place."""

import copy
import dataclasses
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.register import parse_register, to_document
from rhubarbhinge.register.tests.documents import registers, values_with_places

OPTIONAL_FIELDS = {"leaving"}


def faults_in(document):
    return {(fault.place, fault.code) for fault in parse_register(_encode(document)).faults}


def _encode(document):
    return json.dumps(document).encode()


def small_register():
    """Return a register of two systems, four upstreams, two failure domains and two shards."""
    upstreams = [
        {
            "name": f"{system}-{index}",
            "system": system,
            "instance": f"{system}-vm-{index}",
            "failure_domain": f"zone-{index}",
            "ip": "10.0.0.1",
            "port": 9000 + 10 * number + index,
            "leaving": False,
        }
        for number, system in enumerate(("desk", "stores"))
        for index in range(2)
    ]
    shards = [
        {"lo": 0, "hi": 1000, "upstreams": ["desk-0", "desk-1"]},
        {"lo": 1000, "hi": 65536, "upstreams": ["desk-1"]},
    ]
    return {
        "revision": 1,
        "tenant": "kingston",
        "failure_domains": ["zone-0", "zone-1"],
        "systems": [
            {"name": name, "slots": 2, "connections": 25, "connect_ms": 6}
            for name in ("desk", "stores")
        ],
        "upstreams": upstreams,
        "plants": [{"name": "rockfort", "units": ["rockfort-1"]}],
        "suppliers": [{"name": "parts"}],
        "collections": [
            {"name": "overhauls", "system": "desk", "about": ["rockfort-1"], "shards": shards}
        ],
        "actions": [{"name": "order", "system": "stores", "upstreams": ["stores-0"]}],
    }


class RegisterTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None)
    @given(registers())
    def test_accepted_documents_round_trip(self, document):
        checked = parse_register(_encode(document))
        self.assertEqual(checked.faults, ())
        self.assertEqual(to_document(checked.value), document)

    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(registers(), st.data())
    def test_invalid_value_is_reported_at_its_place(self, document, data):
        place, container, key = data.draw(st.sampled_from(list(values_with_places(document))))
        invalid = data.draw(st.sampled_from([None, {"a": 1}, 1.5, -1, "", "\n", [[]], 2**70]))
        container[key] = invalid
        if key == "connect_ms" and invalid == 1.5:
            return
        faults = parse_register(_encode(document)).faults
        self.assertTrue(any(fault.place.startswith(place) for fault in faults), faults)

    @settings(derandomize=True, deadline=None, database=None)
    @given(registers(), st.data())
    def test_missing_and_unknown_fields_are_reported(self, document, data):
        fields = [item for item in values_with_places(document) if isinstance(item[1], dict)]
        place, container, key = data.draw(st.sampled_from(fields))
        container[key + "x"] = container.pop(key)
        expected = {(place + "x", "unknown-field"), (place, "missing-field")}
        if key in OPTIONAL_FIELDS:
            expected.discard((place, "missing-field"))
        self.assertLessEqual(expected, faults_in(document))

    def test_leaving_is_optional(self):
        document = small_register()
        del document["upstreams"][0]["leaving"]
        register = parse_register(_encode(document)).value
        self.assertFalse(register.upstream("desk-0").leaving)

    def test_lookups(self):
        register = parse_register(_encode(small_register())).value
        self.assertEqual(register.system("desk").slots, 2)
        self.assertEqual(register.upstream("stores-1").port, 9011)
        self.assertEqual(register.collection("overhauls").shards[1].upstreams, ("desk-1",))
        self.assertEqual(register.action("order").system, "stores")
        for lookup in (register.system, register.upstream, register.collection, register.action):
            self.assertIsNone(lookup("none"))

    def test_models_are_frozen_and_equal_by_value(self):
        register = parse_register(_encode(small_register())).value
        self.assertEqual(register, parse_register(_encode(small_register())).value)
        self.assertEqual(hash(register), hash(parse_register(_encode(small_register())).value))
        with self.assertRaises(dataclasses.FrozenInstanceError):
            register.revision = 2

    def test_fault_codes_and_places(self):
        cases = (
            ("revision", 0, "revision", "out-of-range"),
            ("revision", True, "revision", "wrong-type"),
            ("revision", 1.0, "revision", "wrong-type"),
            (
                "failure_domains",
                ["zone-0", "zone-1", "zone-0"],
                "failure_domains[2]",
                "duplicate-name",
            ),
            ("systems.0.slots", 26, "systems[0].slots", "slots-over-connections"),
            ("systems.0.connect_ms", False, "systems[0].connect_ms", "wrong-type"),
            ("systems.1.name", "desk", "systems[1].name", "duplicate-name"),
            ("upstreams.1.name", "desk-0", "upstreams[1].name", "duplicate-name"),
            ("upstreams.0.system", "none", "upstreams[0].system", "unknown-name"),
            ("upstreams.0.failure_domain", "x", "upstreams[0].failure_domain", "unknown-name"),
            ("upstreams.1.instance", "desk-vm-0", "upstreams[1].failure_domain", "split-instance"),
            ("upstreams.1.port", 9000, "upstreams[1].port", "duplicate-address"),
            ("upstreams.0.port", 65536, "upstreams[0].port", "out-of-range"),
            ("upstreams.0.port", "9000", "upstreams[0].port", "wrong-type"),
            ("upstreams.0.ip", "localhost", "upstreams[0].ip", "bad-ip"),
            ("upstreams.0.ip", "010.0.0.1", "upstreams[0].ip", "bad-ip"),
            ("upstreams.0.ip", "0.0.0.0", "upstreams[0].ip", "bad-ip"),
            ("upstreams.0.ip", "224.0.0.1", "upstreams[0].ip", "bad-ip"),
            ("upstreams.0.ip", "fe80::1%eth0", "upstreams[0].ip", "bad-ip"),
            ("upstreams.0.leaving", 0, "upstreams[0].leaving", "wrong-type"),
            ("suppliers.0.name", "rockfort-1", "suppliers[0].name", "duplicate-name"),
            ("collections.0.about", ["none"], "collections[0].about[0]", "unknown-name"),
            ("collections.0.system", "none", "collections[0].system", "unknown-name"),
            ("collections.0.shards", [], "collections[0].shards", "bad-count"),
            ("collections.0.shards.0.lo", 1, "collections[0].shards[0].lo", "gap"),
            ("collections.0.shards.1.lo", 1001, "collections[0].shards[1].lo", "gap"),
            ("collections.0.shards.1.lo", 999, "collections[0].shards[1].lo", "overlap"),
            ("collections.0.shards.0.hi", 0, "collections[0].shards[0].lo", "empty-range"),
            ("collections.0.shards.1.hi", 65535, "collections[0].shards[1].hi", "gap"),
            ("collections.0.shards.1.hi", 65537, "collections[0].shards[1].hi", "out-of-range"),
            (
                "collections.0.shards.0.upstreams",
                [],
                "collections[0].shards[0].upstreams",
                "bad-count",
            ),
            (
                "collections.0.shards.0.upstreams.1",
                "stores-0",
                "collections[0].shards[0].upstreams[1]",
                "wrong-system",
            ),
            (
                "collections.0.shards.0.upstreams.1",
                "desk-0",
                "collections[0].shards[0].upstreams[1]",
                "duplicate-name",
            ),
            (
                "collections.0.shards.0.upstreams",
                ["desk-0"] * 17,
                "collections[0].shards[0].upstreams",
                "bad-count",
            ),
            ("actions.0.upstreams.0", "none", "actions[0].upstreams[0]", "unknown-name"),
            ("tenant", "a b", "tenant", "bad-name"),
            ("tenant", "a\n", "tenant", "bad-name"),
            ("tenant", "a" * 101, "tenant", "bad-name"),
        )
        for path, value, place, code in cases:
            with self.subTest(path=path, value=value):
                self.assertIn(
                    (place, code), faults_in(_replace_value(small_register(), path, value))
                )

    def test_one_fault_causes_no_other_reports(self):
        document = _replace_value(small_register(), "upstreams.0.port", 0)
        self.assertEqual(faults_in(document), {("upstreams[0].port", "out-of-range")})

    def test_all_faults_are_reported_in_order(self):
        document = _replace_value(small_register(), "revision", 0)
        document = _replace_value(document, "upstreams.3.ip", "x")
        document = _replace_value(document, "collections.0.shards.0.hi", 999)
        checked = parse_register(_encode(document))
        expected = ["revision", "upstreams[3].ip", "collections[0].shards[1].lo"]
        self.assertEqual([fault.place for fault in checked.faults], expected)


def _replace_value(document, path, value):
    """Return a copy of a document with one value replaced."""
    document = copy.deepcopy(document)
    *parents, last = [int(part) if part.isdigit() else part for part in path.split(".")]
    container = document
    for key in parents:
        container = container[key]
    container[last] = value
    return document


if __name__ == "__main__":
    unittest.main()
