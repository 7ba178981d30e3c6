"""Messages between entries."""

import unittest
from dataclasses import replace

import orjson
from hypothesis import given
from hypothesis import strategies as st

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
from rhubarbhinge.delegation._messages import ANSWER, HEAD_LENGTH_BYTES
from rhubarbhinge.net import FrameError

NAMES = st.lists(st.text("abcdef", min_size=1, max_size=8), max_size=5).map(tuple)


class MessagesTest(unittest.TestCase):
    @given(st.binary(max_size=60), st.binary(max_size=60), NAMES)
    def test_an_ask_reads_back(self, head, body, services):
        ask = Ask(7, "r1", head, body, "route", services, 5, 1, 2, 95.0, 80.5, 990.0)
        for one in (ask, replace(ask, searcher="i-1")):
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
