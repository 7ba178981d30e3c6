"""Heartbeats and lists of entries, as bytes from anyone."""

import unittest

import msgspec
import orjson
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from rhubarbhinge.members import (
    Heartbeat,
    HeartbeatError,
    Member,
    MembersError,
    MemberState,
    decode_heartbeat,
    decode_members,
    encode_heartbeat,
    encode_members,
)
from rhubarbhinge.utils.testing_revisions import make_revision
from rhubarbhinge.utils.testing_values import FUZZ_SETTINGS, JSON_VALUES, mutated_json

SETTINGS = settings(derandomize=True, deadline=None, database=None)
MEMBER = Member("vm-3", "10.0.0.3", "hall-b", 77, 4, MemberState.SUSPECT)
REVISION, UPDATES, ERA = 6, 10, 12
"""Places of fields in a heartbeat as it is sent."""
BEAT = Heartbeat(
    "vm-2", "hall-a", 9, 3, False, True, make_revision(40), 12.0, 99, {"hall-b": 900.0}, (MEMBER,)
)


class HeartbeatTest(unittest.TestCase):
    def test_a_heartbeat_reads_back(self):
        later = replace(BEAT, revision=make_revision(40, 3), plan_version=24)
        for beat in (BEAT, later, replace(BEAT, leaving=True, asks=False, age_ms=-1.0, updates=())):
            self.assertEqual(decode_heartbeat(encode_heartbeat(beat)), beat)

    def test_its_sender_is_where_it_came_from(self):
        self.assertEqual(BEAT.sender("10.0.0.2"), Member("vm-2", "10.0.0.2", "hall-a", 9, 3))
        leaving = replace(BEAT, leaving=True).sender("10.0.0.2")
        self.assertIs(leaving.state, MemberState.LEFT)

    @SETTINGS
    @given(st.binary(max_size=300))
    def test_other_bytes_are_a_coded_error(self, data):
        with self.assertRaises(HeartbeatError):
            decode_heartbeat(data)

    def test_fields_out_of_bounds_are_an_error(self):
        for changes in (
            {"name": ""},
            {"name": "x" * 201},
            {"failure_domain": ""},
            {"start_id": -1},
            {"counter": 1 << 60},
            {"heard_ms": {f"hall-{number}": 1.0 for number in range(65)}},
            {"updates": (replace(MEMBER, ip="10.0.0.3; x"),)},
        ):
            with self.subTest(changes), self.assertRaises(HeartbeatError):
                decode_heartbeat(encode_heartbeat(replace(BEAT, **changes)))

    def test_too_many_claims_or_bytes_are_an_error(self):
        sent = orjson.loads(encode_heartbeat(BEAT))
        self.assertEqual(sent[UPDATES], orjson.loads(encode_members([MEMBER])))
        sent[UPDATES] *= 16
        self.assertEqual(len(decode_heartbeat(orjson.dumps(sent)).updates), 16)
        sent[UPDATES].append(sent[UPDATES][0])
        for bad in (orjson.dumps(sent), b"[" + b" " * 9_000):
            with self.assertRaises(HeartbeatError):
                decode_heartbeat(bad)

    def test_another_version_is_not_understood(self):
        data = encode_heartbeat(BEAT)
        with self.assertRaises(HeartbeatError):
            decode_heartbeat(data.replace(b"[2,", b"[1,", 1))

    def test_a_release_before_eras_tells_none_and_passes_over_them(self):
        later = replace(BEAT, revision=make_revision(40, 3), plan_version=24)
        sent = orjson.loads(encode_heartbeat(later))
        self.assertEqual(sent[REVISION], 40)
        before = decode_heartbeat(orjson.dumps(sent[:ERA]))
        self.assertEqual((before.revision, before.plan_version), (make_revision(40), 0))

    def test_a_later_release_may_append_fields(self):
        data = encode_heartbeat(BEAT)[:-1] + b',"more"]'
        self.assertEqual(decode_heartbeat(data), BEAT)

    @FUZZ_SETTINGS
    @given(JSON_VALUES | mutated_json(orjson.loads(encode_heartbeat(BEAT))))
    def test_a_heartbeat_with_a_fault_is_a_heartbeat_or_a_coded_error(self, value):
        try:
            beat = decode_heartbeat(msgspec.json.encode(value))
        except HeartbeatError:
            return
        decode_heartbeat(encode_heartbeat(beat))


class MembersTest(unittest.TestCase):
    @SETTINGS
    @given(
        st.lists(
            st.builds(
                Member,
                st.text("abc-", min_size=1, max_size=9),
                st.ip_addresses(v=4).map(str),
                st.text("abc-", min_size=1, max_size=9),
                st.integers(0, 1 << 32),
                st.integers(0, 1 << 40),
                st.sampled_from(MemberState),
            ),
            max_size=5,
        )
    )
    def test_a_list_reads_back(self, members):
        self.assertEqual(decode_members(encode_members(members)), members)

    @SETTINGS
    @given(st.binary(max_size=100) | st.text(max_size=30).map(str.encode))
    def test_other_bytes_are_a_coded_error(self, data):
        try:
            self.assertEqual(decode_members(data), [])
        except MembersError as error:
            self.assertEqual(error.code, "bad-members")

    @FUZZ_SETTINGS
    @given(JSON_VALUES | mutated_json(orjson.loads(encode_members([MEMBER, MEMBER]))))
    def test_a_list_with_a_fault_is_a_list_or_a_coded_error(self, value):
        try:
            members = decode_members(msgspec.json.encode(value))
        except MembersError:
            return
        self.assertEqual(decode_members(encode_members(members)), members)

    def test_lists_that_are_nested_too_deeply_are_a_coded_error(self):
        with self.assertRaises(MembersError):
            decode_members(b"[" * 100_000)
