"""Encoding of messages between entries."""

import unittest

import msgspec
import orjson
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from rhubarbhinge.delegation import (
    AttemptGrant,
    AttemptRequest,
    DelegateAccepted,
    DelegateCancel,
    DelegateReply,
    DelegateRequest,
    decode_message,
    encode_message,
)
from rhubarbhinge.delegation._messages import (
    ACCEPTED,
    ATTEMPT_REQUEST,
    CANCEL,
    HEAD_LENGTH_BYTES,
    MAX_SUB_QUERIES,
    REPLY,
    REQUEST,
)
from rhubarbhinge.net import FrameError
from rhubarbhinge.utils.testing_values import FUZZ_SETTINGS, JSON_VALUES, mutated_json

NAMES = st.lists(st.text("abcdef", min_size=1, max_size=8), max_size=5).map(tuple)


class MessagesTest(unittest.TestCase):
    @given(st.binary(max_size=60), st.binary(max_size=60), NAMES)
    def test_request_round_trip(self, head, body, services):
        request = DelegateRequest(
            7, "r1", head, body, "route", services, 5, 1, 2, 95.0, 80.5, 990.0
        )
        single = replace(request, searcher="i-1")
        for one in (request, single, replace(single, searcher_started_unix_ms=1_764_720_000_000)):
            self.assertEqual(decode_message(encode_message(one)), one)

    @given(st.binary(max_size=200), NAMES)
    def test_reply_round_trip(self, body, services):
        signatures = tuple(f"sig-{name}" for name in services)
        reply = DelegateReply(7, services, signatures, ("u",), ("p",), True, body)
        self.assertEqual(decode_message(encode_message(reply)), reply)

    def test_short_messages_round_trip(self):
        for message in (
            DelegateAccepted(3),
            DelegateCancel(4),
            AttemptRequest(5, ("s", "t")),
            AttemptGrant(6, ()),
        ):
            self.assertEqual(decode_message(encode_message(message)), message)

    @given(st.binary(max_size=120))
    def test_invalid_bytes_raise_a_coded_error(self, data):
        try:
            decode_message(data)
        except FrameError as error:
            self.assertEqual(error.code, "malformed")

    def test_each_shard_of_a_reply_needs_a_signature(self):
        reply = DelegateReply(7, ("s", "t"), ("sig",), (), (), True, b"")
        with self.assertRaises(FrameError):
            decode_message(encode_message(reply))

    def test_reply_without_pending_shards_is_accepted(self):
        body = orjson.dumps([REPLY, 7, ["s"], ["sig"], [], True])
        data = len(body).to_bytes(HEAD_LENGTH_BYTES, "little") + body + b"x" * 16
        self.assertEqual(
            decode_message(data), DelegateReply(7, ("s",), ("sig",), (), (), True, b"x" * 16)
        )

    def test_request_without_start_time_is_accepted(self):
        fields = [REQUEST, 7, "r1", 4, "route", ["s"], 5, 1, 2, 95.0, 80.5, 990.0, "i-1"]
        for sent, searcher in ((fields, "i-1"), (fields[:-1], "")):
            request = decode_message(_framed(sent, b"headbody"))
            self.assertEqual((request.searcher, request.searcher_started_unix_ms), (searcher, None))
            self.assertEqual((request.head, request.body), (b"head", b"body"))

    def test_earlier_releases_can_decode_messages(self):
        # Earlier releases read fields by position and ignore those that follow.
        request = DelegateRequest(
            7, "r1", b"h", b"", "route", ("s",), 5, 1, 2, 95.0, 80.5, 990.0, "i-1", 4
        )
        fields = _head(encode_message(request))
        self.assertEqual(
            fields[:-1], [REQUEST, 7, "r1", 1, "route", ["s"], 5, 1, 2, 95, 80.5, 990, "i-1"]
        )
        reply = DelegateReply(7, ("s",), ("sig",), (), ("p",), True, b"x" * 16)
        self.assertEqual(_head(encode_message(reply)), [REPLY, 7, ["s"], ["sig"], [], True, ["p"]])

    def test_cancellation_with_and_without_a_wanted_reply(self):
        """Guards against refusing earlier releases, which neither send nor read the last field."""
        self.assertEqual(decode_message(_framed([CANCEL, 4], b"")), DelegateCancel(4))
        cancel = DelegateCancel(4, wants_reply=True)
        self.assertEqual(_head(encode_message(cancel)), [CANCEL, 4, True])
        self.assertEqual(decode_message(encode_message(cancel)), cancel)

    def test_acceptance_with_and_without_load(self):
        """Guards against refusing earlier releases, and against impossible loads."""
        self.assertEqual(decode_message(_framed([ACCEPTED, 3], b"")), DelegateAccepted(3, 0))
        accepted = DelegateAccepted(3, 45)
        self.assertEqual(_head(encode_message(accepted)), [ACCEPTED, 3, 45])
        self.assertEqual(decode_message(encode_message(accepted)), accepted)
        for load in (-1, 0.5, "1", None, MAX_SUB_QUERIES + 1):
            with self.assertRaises(FrameError):
                decode_message(_framed([ACCEPTED, 3, load], b""))

    def test_signature_cannot_end_a_header_line(self):
        for signature in ("", "a\r\nX-Evil: 1", "a\n", "\u0130"):
            reply = DelegateReply(7, ("s",), (signature,), (), (), True, b"")
            with self.assertRaises(FrameError):
                decode_message(encode_message(reply))

    @FUZZ_SETTINGS
    @given(
        JSON_VALUES
        | mutated_json([REQUEST, 7, "r1", 4, "route", ["s"], 5, 1, 2, 95.0, 80.5, 990.0, "i-1", 4])
        | mutated_json([REPLY, 7, ["s"], ["sig"], ["u"], True, ["p"]])
        | mutated_json([ATTEMPT_REQUEST, 7, ["s"]]),
    )
    def test_mutated_message_is_valid_or_raises(self, value):
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
