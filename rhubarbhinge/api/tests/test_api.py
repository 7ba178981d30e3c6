"""Tests for parsing untrusted request bodies and rendering the responses."""

import unittest
from decimal import Decimal
from fractions import Fraction

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge import api
from rhubarbhinge.once import Outcome, OutcomeKind
from rhubarbhinge.query import Answer, MissingRange, QueryStats, Shortfall
from rhubarbhinge.register import parse_register, parse_rules
from rhubarbhinge.register.tests.documents import rules

KEY_SPACE_END = 65_536
UPSTREAM = {"name": "up", "system": "s", "instance": "vm", "failure_domain": "a", "ip": "127.0.0.1"}
REGISTER = parse_register(
    orjson.dumps(
        {
            "revision": 1,
            "tenant": "kingston",
            "failure_domains": ["a"],
            "systems": [{"name": "s", "slots": 2, "connections": 25, "connect_ms": 6}],
            "upstreams": [UPSTREAM | {"port": 9001, "leaving": False}],
            "plants": [],
            "suppliers": [],
            "collections": [
                {
                    "name": "collection-0",
                    "system": "s",
                    "about": [],
                    "shards": [{"lo": 0, "hi": KEY_SPACE_END, "upstreams": ["up"]}],
                }
            ],
            "actions": [{"name": "order", "system": "s", "upstreams": ["up"]}],
        }
    )
).value
RULES = parse_rules(orjson.dumps(rules())).value
SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=300)

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=6,
)
FIELD_NAMES = ("collection", "text", "limit", "class", "deadline_ms", "action", "body", "other")
VALID_FIELDS = {"collection": "collection-0", "text": "x", "action": "order", "body": {}}
ALTERED_BODIES = st.dictionaries(st.sampled_from(FIELD_NAMES), JSON_VALUES, max_size=3).map(
    lambda changed: orjson.dumps(VALID_FIELDS | changed)
)
BODIES = st.binary(max_size=80) | JSON_VALUES.map(orjson.dumps) | ALTERED_BODIES


def search(**fields):
    return api.parse_search(orjson.dumps(fields), REGISTER, RULES)


def answer(covered, total, missing=()):
    stats = QueryStats(1.0, 1, 0, 0, 0)
    return Answer(1, "collection-0", 4, ({"id": "a", "score": 1},), covered, total, missing, stats)


class RequestBodyTest(unittest.TestCase):
    @SETTINGS
    @given(BODIES)
    def test_no_body_raises_and_every_error_has_a_code(self, body):
        found = [api.parse_search(body, REGISTER, RULES), api.parse_run(body, REGISTER)]
        for each in found:
            if isinstance(each, api.ApiError):
                document = orjson.loads(api.error(each).body)["error"]
                self.assertIn(each.status, (400, 404))
                self.assertTrue(document["code"] and document["message"] and document["todo"])
                self.assertIs(True, document["not_run"])
        if isinstance(found[1], api.RunCommand):
            fields = orjson.loads(api.action_fields(body))
            self.assertEqual(orjson.loads(body)["body"], fields)

    def test_search_uses_its_class_and_deadline_is_capped_by_it(self):
        for fields, name, deadline_ms in (
            ({}, "urgent", 230.0),
            ({"class": "audit", "deadline_ms": 9_999}, "audit", 230.0),
            ({"deadline_ms": 50}, "urgent", 50.0),
        ):
            with self.subTest(fields):
                found = search(collection="collection-0", text="x", **fields)
                seen = (found.traffic_class.name, found.deadline_ms, found.limit)
                self.assertEqual((name, deadline_ms, 10), seen)

    def test_invalid_search_fields_are_rejected(self):
        valid_fields = {"collection": "collection-0", "text": "x"}
        for changed, status in (
            ({"collection": "no"}, 404),
            ({"collection": 1}, 400),
            ({"text": ""}, 400),
            ({"text": "x" * 1_001}, 400),
            ({"limit": 0}, 400),
            ({"limit": True}, 400),
            ({"limit": 1_001}, 400),
            ({"class": "no"}, 400),
            ({"deadline_ms": 4.9}, 400),
            ({"deadline_ms": "9"}, 400),
            ({"other": 1}, 400),
        ):
            with self.subTest(changed):
                self.assertEqual(status, search(**valid_fields | changed).status)

    def test_action_fields_are_extracted_byte_for_byte(self):
        amount = b"123456789012345678901234567890.10"
        fields = b'{"amount": ' + amount + b', "note": "a\\u00e9 \\"body\\": {}"}'
        body = b' { "x": {"body": {"no": 1}}, "body" :\n' + fields + b' , "action":"order"}'
        self.assertIsInstance(api.parse_run(body, REGISTER), api.RunCommand)
        self.assertEqual(fields, api.action_fields(body))

    def test_body_nested_too_deeply_is_rejected(self):
        for depth in (300, 1_000, 5_000):
            with self.subTest(depth):
                deep = b"[" * depth + b"]" * depth
                body = b'{"action":"order","body":{"x":' + deep + b"}}"
                self.assertEqual(400, api.parse_run(body, REGISTER).status)


class RenderTest(unittest.TestCase):
    @SETTINGS
    @given(st.integers(1, 2**64 - 1), st.data())
    def test_coverage_fraction_is_never_rounded_up(self, total, data):
        covered = data.draw(st.integers(0, total) | st.integers(max(0, total - 3), total))
        missing_range = MissingRange(9, KEY_SPACE_END, total - covered, "deadline")
        missing = (missing_range,) if covered < total else ()
        found = answer(covered, total, missing)
        for response in (api.answer(found, {}), api.shortfall(Shortfall(found, 1.0, 9.0))):
            coverage = orjson.loads(response.body)["coverage"]
            stated, exact = Fraction(Decimal(str(coverage["fraction"]))), Fraction(covered, total)
            self.assertLessEqual(stated, exact)
            self.assertLess(exact - stated, Fraction(1, 10**6))
            self.assertEqual((covered, total), (coverage["records"], coverage["total_records"]))
            self.assertEqual(len(missing), len(coverage["missing"]))

    def test_empty_collection_is_covered_unless_ranges_are_missing(self):
        for missing, fraction in (
            ((), 1.0),
            ((MissingRange(0, KEY_SPACE_END, None, "no-replica"),), 0.0),
        ):
            body = orjson.loads(api.answer(answer(0, 0, missing), {}).body)
            self.assertEqual(fraction, body["coverage"]["fraction"])

    def test_shortfall_omits_hits_and_sets_retry_after(self):
        response = api.shortfall(Shortfall(answer(1, 2), 0.9, 1_500.0))
        document = orjson.loads(response.body)
        self.assertEqual((503, "2"), (response.status, dict(response.headers)["Retry-After"]))
        self.assertNotIn("hits", document)
        self.assertEqual("coverage-too-low", document["error"]["code"])

    def test_outcome_sets_status_and_only_a_run_has_a_result(self):
        for kind, status in (
            (OutcomeKind.RAN, 200),
            (OutcomeKind.REFUSED_NOT_RUN, 503),
            (OutcomeKind.UNKNOWN, 504),
        ):
            with self.subTest(kind):
                found = Outcome(kind, "code", "message", "todo", 40, b'{"done":true}')
                response = api.outcome(found, "t")
                document = orjson.loads(response.body)
                seen = (response.status, document["outcome"], document["ticket"])
                self.assertEqual((status, kind.value, "t"), seen)
                self.assertEqual(kind is OutcomeKind.RAN, "result" in document)
                self.assertEqual("1", dict(response.headers)["Retry-After"])

    def test_redirect_is_307_to_the_ticket(self):
        response = api.redirect("t", 900)
        self.assertEqual((307, "/v1/run/t"), (response.status, dict(response.headers)["Location"]))


if __name__ == "__main__":
    unittest.main()
