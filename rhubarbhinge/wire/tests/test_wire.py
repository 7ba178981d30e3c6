"""Frames and messages from honest and from hostile senders."""

import dataclasses
import typing
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.wire import (
    MAX_FRAME_BYTES,
    MESSAGE_TYPES,
    FrameError,
    FrameSplitter,
    Hello,
    HoldingReport,
    ReplyBatch,
    SubBatch,
    check_hello,
    decode,
    encode,
    encode_frame,
    open_datagram,
    sign_datagram,
    signed_hello,
)

PROFILE = settings(derandomize=True, deadline=None, database=None, max_examples=150)

BATCH = SubBatch(
    7,
    2**63,
    3,
    "overhauls",
    41,
    "bearing é",
    10,
    180,
    8,
    (0, 1),
    (0, 1),
    (2**64 - 1, 5),
    (0, 9),
    (9, 65536),
)
REPLIES = ReplyBatch(3, (7, 8), (0, 1), (0, 0), (0, 1), (0, 50), (1, 2), (3, 4), (b"{}", b""))
HOLDING = HoldingReport(5, 2, ("a", "b"), (1, 2), (10, 20), (0, 0), (5, 6), (3, 4))


def sample(kind):
    """Make a value of a field's type."""
    if typing.get_origin(kind) is tuple:
        return (sample(typing.get_args(kind)[0]),)
    if dataclasses.is_dataclass(kind):
        hints = typing.get_type_hints(kind)
        return kind(*[sample(hints[field.name]) for field in dataclasses.fields(kind)])
    return {int: 7, str: "é", bytes: b"\x00x", bool: True}[kind]


class WireTest(unittest.TestCase):
    def test_the_schema_has_each_field_of_each_message(self):
        for kind in MESSAGE_TYPES:
            message = sample(kind)
            self.assertEqual(decode(encode(message)), message)

    def test_messages_round_trip(self):
        for message in (BATCH, REPLIES, HOLDING):
            self.assertEqual(decode(encode(message)), message)

    @PROFILE
    @given(st.lists(st.binary(min_size=1, max_size=80), max_size=8), st.integers(1, 50))
    def test_any_cut_of_the_stream_gives_the_same_frames(self, payloads, step):
        stream = b"".join(encode_frame(payload) for payload in payloads)
        splitter = FrameSplitter()
        got = []
        for start in range(0, len(stream), step):
            got += splitter.feed(stream[start : start + step])
        self.assertEqual(got, payloads)

    @PROFILE
    @given(st.binary(max_size=400))
    def test_arbitrary_bytes_give_a_message_or_a_frame_error(self, data):
        try:
            decode(data)
        except FrameError as error:
            self.assertEqual(error.code, "malformed")

    @PROFILE
    @given(st.integers(0, 10_000), st.integers(0, 255))
    def test_a_changed_byte_gives_a_message_or_a_frame_error(self, place, value):
        data = bytearray(encode(BATCH))
        data[place % len(data)] = value
        try:
            decode(bytes(data))
        except FrameError as error:
            self.assertEqual(error.code, "malformed")

    def test_lists_of_unequal_length_are_malformed(self):
        for message, name in ((BATCH, "los"), (REPLIES, "bodies"), (HOLDING, "records")):
            cut = dataclasses.replace(message, **{name: getattr(message, name)[:-1]})
            with self.assertRaises(FrameError) as caught:
                decode(encode(cut))
            self.assertEqual(caught.exception.code, "malformed")

    def test_an_oversized_frame_is_refused_from_its_length_alone(self):
        with self.assertRaises(FrameError) as caught:
            FrameSplitter().feed((MAX_FRAME_BYTES + 1).to_bytes(4, "little"))
        self.assertEqual(caught.exception.code, "oversized")

    def test_a_hello_of_another_key_is_refused(self):
        hello = signed_hello(b"one", Hello("a/entry", "entry", "d", 1, b"n", b"", b""))
        check_hello(b"one", hello)
        with self.assertRaises(FrameError) as caught:
            check_hello(b"two", hello)
        self.assertEqual(caught.exception.code, "unsigned")

    def test_a_datagram_changed_on_the_way_is_refused(self):
        datagram = sign_datagram(b"one", b"payload")
        self.assertEqual(open_datagram(b"one", datagram), b"payload")
        for bad in (datagram[:-1], datagram + b"x", b"", b"short"):
            with self.assertRaises(FrameError):
                open_datagram(b"one", bad)


if __name__ == "__main__":
    unittest.main()
