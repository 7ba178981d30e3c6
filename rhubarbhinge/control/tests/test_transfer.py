"""Deltas, transfers in chunks and their pacing."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.control import KEYS, Adopted, ConfigStore, Document, TokenBucket, content_hash
from rhubarbhinge.control._bad_transfer import BadTransfer
from rhubarbhinge.control._delta import apply_delta, deflate, encode_delta, inflate
from rhubarbhinge.control._puller import CHUNK_BYTES, Puller
from rhubarbhinge.control._transfer_codec import decode_links, split_links
from rhubarbhinge.control._transfer_source import TransferSource
from rhubarbhinge.control.tests.schedule import validate
from rhubarbhinge.wire._config_chunk import ConfigChunk

pieces = st.lists(st.sampled_from([b"{1}", b"{22}", b"{", b"}", b"x", b'{"a":{}}'])).map(b"".join)
hypothesis = settings(derandomize=True, deadline=None, database=None)


def document(revision: int, data: bytes) -> Document:
    return Document("register", revision, content_hash(data), data, 0)


class DeltaTest(unittest.TestCase):
    @hypothesis
    @given(pieces, pieces)
    def test_a_delta_rebuilds_the_document(self, base, target):
        self.assertEqual(apply_delta(base, encode_delta(base, target)), target)

    @hypothesis
    @given(pieces, st.binary(max_size=64))
    def test_malformed_bytes_are_refused_as_such(self, base, steps):
        for data in (steps, deflate(steps)):
            try:
                apply_delta(base, data)
            except BadTransfer:
                pass

    def test_a_document_above_the_limit_is_refused(self):
        with self.assertRaises(BadTransfer):
            inflate(deflate(bytes(3_000_000)))


class TransferSourceTest(unittest.TestCase):
    def setUp(self):
        self.source = TransferSource()
        rng = random.Random(5)
        self.tail = rng.randbytes(20_000)
        for number in range(1, 6):
            self.source.adopted(document(number, self.data(number)), None)

    def data(self, number: int) -> bytes:
        return self.tail + b"}%d}" % number

    def position(self, number: int) -> tuple[int, int]:
        return number, content_hash(self.data(number))

    def test_a_lagging_receiver_gets_all_steps_at_once(self):
        transfer = self.source.transfer(self.position(2), 0)
        links = split_links(transfer.data)
        self.assertEqual([link.revision for link in links], [3, 4, 5])
        self.assertEqual(decode_links(self.data(2), links), self.data(5))
        self.assertLess(len(transfer.data), 400)

    def test_a_receiver_with_other_content_gets_the_whole(self):
        self.assertEqual(self.source.transfer((2, 1), 0).base_revision, 0)
        self.assertIsNone(self.source.transfer(self.position(5), 0))

    def test_a_kept_whole_is_given_to_a_second_receiver_and_followed_by_steps(self):
        first = self.source.transfer((0, 0), 0)
        self.source.adopted(document(6, self.data(6)), None)
        self.assertIs(self.source.transfer((0, 0), 1_000), first)
        self.assertEqual(self.source.transfer(self.position(5), 1_000).base_revision, 5)
        self.assertEqual(self.source.transfer((0, 0), 60_000).revision, 6)


class PullerTest(unittest.TestCase):
    def setUp(self):
        self.store = ConfigStore(validate)
        self.puller = Puller(self.store, random.Random(1), 1_000, lambda: ["third"])
        self.data = random.Random(2).randbytes(40_000)
        self.encoded = deflate(self.data)

    def chunk(self, offset: int) -> ConfigChunk:
        data = self.encoded[offset : offset + CHUNK_BYTES]
        digest = content_hash(self.data)
        return ConfigChunk("register", 1, digest, 0, offset, len(self.encoded), data)

    def announce(self, member: str, now_ms: int = 0):
        return self.puller.announce(member, "register", (1, content_hash(self.data)), now_ms)

    def test_chunks_are_put_together_and_repeats_ignored(self):
        requests = self.announce("first")
        received = None
        while received is None:
            chunk = self.chunk(requests[0].message.offset)
            requests, received = self.puller.on_chunk("first", chunk, 0)
            if received is None:
                self.assertEqual(self.puller.on_chunk("first", self.chunk(0), 0), ([], None))
        self.assertEqual(received[:2], (1, self.data))
        result = self.store.offer("register", *received[:2], "first", 0)
        self.assertIsInstance(result, Adopted)
        self.assertEqual(self.puller.resume("register", 0), [])
        self.assertTrue(self.puller.idle())

    def test_a_silent_source_is_replaced(self):
        self.announce("first")
        self.announce("second")
        self.assertEqual(self.puller.tick(1_000)[0].member_name, "second")

    def test_a_document_that_nobody_gives_is_dropped(self):
        self.announce("first")
        for now_ms in range(1_000, 20_000, 1_000):
            self.puller.tick(now_ms)
        self.assertTrue(self.puller.idle())

    def test_a_wrong_chunk_turns_to_another_source(self):
        self.announce("first")
        requests, received = self.puller.on_chunk("first", self.chunk(CHUNK_BYTES), 0)
        self.assertEqual((requests[0].member_name, received), ("third", None))


class TokenBucketTest(unittest.TestCase):
    def test_it_gives_the_burst_then_the_rate(self):
        bucket = TokenBucket(10, 5, 5)
        given = [now_ms for now_ms in range(0, 2_000, 10) if bucket.take(1, now_ms)]
        self.assertEqual(len([ms for ms in given if ms < 1_000]), 14)
        self.assertEqual(len(given), 24)
        self.assertEqual(bucket.wait_ms(0, 2_000), 0)

    def test_keys_are_those_of_the_platform(self):
        self.assertEqual(KEYS, ("register", "rules", "vms"))
