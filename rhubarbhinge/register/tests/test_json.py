"""Malformed and oversized documents: parsers never raise and give the same result each time."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.register import (
    MAX_COUNTED_FAULTS,
    MAX_DOCUMENT_BYTES,
    MAX_LISTED_FAULTS,
    _json,
    parse_register,
    parse_rules,
    parse_vms,
)

PARSERS = (parse_register, parse_rules, parse_vms)
FIELD_NAMES = (
    "revision tenant failure_domains systems upstreams plants suppliers collections actions name"
    " units about shards lo hi slots classes routes class limits vms nodes role ip peer_port"
).split()
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text()
    | st.sampled_from(["kgn-a", "entry", "live", "10.0.0.1"])
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.sampled_from(FIELD_NAMES) | st.text(), inner, max_size=8),
    max_leaves=40,
)


def places_and_codes(checked):
    return [(fault.place, fault.code) for fault in checked.faults]


class JsonTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None)
    @given(st.binary())
    def test_never_raises_on_bytes(self, data):
        for parse in PARSERS:
            self.assertFalse(parse(data).ok)

    @settings(derandomize=True, deadline=None, database=None, max_examples=400)
    @given(st.dictionaries(st.sampled_from(FIELD_NAMES), VALUES) | VALUES)
    def test_never_raises_on_json(self, value):
        data = json.dumps(value).encode()
        for parse in PARSERS:
            checked = parse(data)
            self.assertEqual(checked, parse(data))
            self.assertNotEqual(checked.ok, bool(checked.faults))

    def test_not_json(self):
        for data in (b"", b"{", b"NaN", b'{"a":Infinity}', b"1e400", b"\xff", b'"\\ud800"', b"'a'"):
            for parse in PARSERS:
                self.assertEqual(places_and_codes(parse(data)), [("document", "not-json")], data)

    def test_huge_numbers_are_faults_and_not_errors(self):
        checked = parse_vms(b'{"revision": ' + b"9" * 5000 + b', "vms": []}')
        self.assertFalse(checked.ok)

    def test_size_and_depth_limits(self):
        oversized = b" " * (MAX_DOCUMENT_BYTES + 1)
        self.assertEqual(places_and_codes(parse_register(oversized)), [("document", "too-large")])
        deep = b"[" * 17 + b"]" * 17
        self.assertEqual(places_and_codes(parse_register(deep)), [("document", "too-deep")])
        hidden = b'{"vms": ' + deep + b', "vms": []}'
        self.assertEqual(places_and_codes(parse_vms(hidden)), [("document", "too-deep")])
        in_string = b'{"revision": 1, "' + b"[" * 30 + b'": 1, "vms": []}'
        self.assertEqual(
            [code for _, code in places_and_codes(parse_vms(in_string))], ["unknown-field"]
        )

    def test_duplicate_keys_are_reported_at_every_level(self):
        data = b'{"revision": 1, "vms": [{"name": "a", "name": "b"}], "revision": 2}'
        found = places_and_codes(parse_vms(data))
        self.assertEqual(
            found[:2], [("vms[0].name", "duplicate-key"), ("revision", "duplicate-key")]
        )

    def test_faults_are_bounded_and_counted(self):
        data = json.dumps({"revision": 1, "vms": [0] * 300}).encode()
        checked = parse_vms(data)
        self.assertEqual(len(checked.faults), MAX_LISTED_FAULTS)
        self.assertEqual(checked.more_faults, 300 - MAX_LISTED_FAULTS)

    def test_counting_stops_at_the_limit(self):
        data = json.dumps({"revision": 1, "vms": [0] * 3000}).encode()
        checked = parse_vms(data)
        self.assertIsNone(checked.value)
        self.assertEqual(checked.more_faults, MAX_COUNTED_FAULTS - MAX_LISTED_FAULTS)

    def test_messages_are_bounded_plain_text(self):
        hostile = "\n\x1b[31m\u202e" + "x" * 10_000
        data = json.dumps({hostile: 1, "revision": hostile, "vms": hostile}).encode()
        for fault in parse_vms(data).faults:
            for text in (fault.place, fault.message, fault.todo):
                self.assertTrue(text.isascii() and text.isprintable())
                self.assertLess(len(text), 300)

    def test_unterminated_string_is_one_match(self):
        """Guards against matching from each inner quote to the end, in quadratic time."""
        data = b'"' + b'\\"' * 1_000
        self.assertEqual(len(list(_json._STRING_PATTERN.finditer(data))), 1)


if __name__ == "__main__":
    unittest.main()
