"""Messages between entries."""

import unittest

import msgspec
import orjson
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from rhubarbhinge.delegation import (
    Answer,
    Ask,
    Cancel,
    Leave,
    LeaveWanted,
    Taken,
    decode_message,
    encode_message,
)
from rhubarbhinge.delegation._messages import ANSWER, ASK, HEAD_LENGTH_BYTES, LEAVE_WANTED
from rhubarbhinge.net import FrameError
from rhubarbhinge.utils.testing_values import FUZZ_SETTINGS, JSON_VALUES, mutated_json

NAMES = st.lists(st.text("abcdef", min_size=1, max_size=8), max_size=5).map(tuple)


class MessagesTest(unittest.TestCase):
    @given(st.binary(max_size=60), st.binary(max_size=60), NAMES)
    def test_an_ask_reads_back(self, head, body, services):
        ask = Ask(7, "r1", head, body, "route", services, 5, 1, 2, 95.0, 80.5, 990.0)
        single = replace(ask, searcher="i-1")
        for one in (ask, single, replace(single, searcher_started_unix_ms=1_764_720_000_000)):
            self.assertEqual(decode_message(encode_message(one)), one)

    @given(st.binary(max_size=200), NAMES)
    def test_an_answer_reads_back(self, body, services):
        signatures = tuple(f"sig-{name}" for name in services)
        answer = Answer(7, services, signatures, ("u",), ("p",), True, body)
        self.assertEqual(decode_message(encode_message(answer)), answer)

    def test_the_short_ones_read_back(self):
        for message in (Taken(3), Cancel(4), LeaveWanted(5, ("s", "t")), Leave(6, ())):
            self.assertEqual(decode_message(encode_message(message)), message)

    @given(st.binary(max_size=120))
    def test_other_bytes_are_a_coded_error(self, data):
        try:
            decode_message(data)
        except FrameError as error:
            self.assertEqual(error.code, "malformed")

    def test_each_shard_of_an_answer_has_a_signature(self):
        answer = Answer(7, ("s", "t"), ("sig",), (), (), True, b"")
        with self.assertRaises(FrameError):
            decode_message(encode_message(answer))

    def test_an_answer_of_an_earlier_release_has_no_pending_shards(self):
        body = orjson.dumps([ANSWER, 7, ["s"], ["sig"], [], True])
        data = len(body).to_bytes(HEAD_LENGTH_BYTES, "little") + body + b"x" * 16
        self.assertEqual(decode_message(data), Answer(7, ("s",), ("sig",), (), (), True, b"x" * 16))

    def test_an_ask_of_an_earlier_release_names_no_start(self):
        fields = [ASK, 7, "r1", 4, "route", ["s"], 5, 1, 2, 95.0, 80.5, 990.0, "i-1"]
        for sent, searcher in ((fields, "i-1"), (fields[:-1], "")):
            ask = decode_message(_framed(sent, b"headbody"))
            self.assertEqual((ask.searcher, ask.searcher_started_unix_ms), (searcher, None))
            self.assertEqual((ask.head, ask.body), (b"head", b"body"))

    def test_an_earlier_release_reads_asks_and_answers_of_this_one(self):
        # It takes the fields by their places and passes over those that follow.
        ask = Ask(7, "r1", b"h", b"", "route", ("s",), 5, 1, 2, 95.0, 80.5, 990.0, "i-1", 4)
        fields = _head(encode_message(ask))
        self.assertEqual(
            fields[:-1], [ASK, 7, "r1", 1, "route", ["s"], 5, 1, 2, 95, 80.5, 990, "i-1"]
        )
        answer = Answer(7, ("s",), ("sig",), (), ("p",), True, b"x" * 16)
        self.assertEqual(
            _head(encode_message(answer)), [ANSWER, 7, ["s"], ["sig"], [], True, ["p"]]
        )

    def test_a_signature_cant_end_the_line_of_a_header(self):
        for signature in ("", "a\r\nX-Evil: 1", "a\n", "\u0130"):
            answer = Answer(7, ("s",), (signature,), (), (), True, b"")
            with self.assertRaises(FrameError):
                decode_message(encode_message(answer))

    @FUZZ_SETTINGS
    @given(
        JSON_VALUES
        | mutated_json([ASK, 7, "r1", 4, "route", ["s"], 5, 1, 2, 95.0, 80.5, 990.0, "i-1", 4])
        | mutated_json([ANSWER, 7, ["s"], ["sig"], ["u"], True, ["p"]])
        | mutated_json([LEAVE_WANTED, 7, ["s"]]),
    )
    def test_a_message_with_a_fault_is_a_message_or_a_coded_error(self, value):
        try:
            message = decode_message(_framed(value, b"body"))
        except FrameError as error:
            self.assertEqual(error.code, "malformed")
        else:
            self.assertEqual(decode_message(encode_message(message)), message)


def _framed(fields: object, body: bytes) -> bytes:
    head = msgspec.json.encode(fields)
    return len(head).to_bytes(HEAD_LENGTH_BYTES, "little") + head + body


def _head(data: bytes) -> list:
    end = HEAD_LENGTH_BYTES + int.from_bytes(data[:HEAD_LENGTH_BYTES], "little")
    return orjson.loads(data[HEAD_LENGTH_BYTES:end])
