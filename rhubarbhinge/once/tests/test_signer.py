"""Tests of signing and verification of tickets."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.once import InvalidTicket, OutcomeCode, Signer, Ticket, body_digest

KEY = b"0123456789abcdef"
DIGEST = body_digest("parts-order", b"{}")


def signer(incarnation: int = 7, key: bytes = KEY) -> Signer:
    return Signer(key, "kgn-a-1/entry", incarnation)


class SignerTest(unittest.TestCase):
    def test_round_trip_is_short_and_url_safe(self):
        text = signer().mint(3, "parts-order", DIGEST, 5_000)
        self.assertRegex(text, r"^[A-Za-z0-9_-]{1,130}$")
        wanted = Ticket("kgn-a-1/entry", 7, 3, "parts-order", 5_000, DIGEST)
        self.assertEqual(wanted, signer().verify_own(text, 4_999))

    def test_invalid_tickets(self):
        text = signer().mint(3, "parts-order", DIGEST, 5_000)
        self.assertEqual(InvalidTicket(OutcomeCode.EXPIRED), signer().verify_own(text, 5_000))
        self.assertEqual(
            InvalidTicket(OutcomeCode.OTHER_INCARNATION), signer(8).verify_own(text, 0)
        )
        self.assertEqual(InvalidTicket(OutcomeCode.FORGED), signer(key=KEY[::-1]).verify(text))
        for bad in ("", "a", text + "=", text + "!", "x" * 600, "\u00e9"):
            self.assertEqual(InvalidTicket(OutcomeCode.MALFORMED), signer().verify(bad))

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.data())
    def test_modified_texts_are_invalid(self, data):
        text = signer().mint(3, "parts-order", DIGEST, 5_000)
        at = data.draw(st.integers(0, len(text) - 1))
        other = data.draw(st.characters(codec="ascii").filter(lambda c: c != text[at]))
        changed = text[:at] + other + text[at + 1 :]
        self.assertIsInstance(signer().verify(changed), InvalidTicket)

    def test_digest_binds_action_and_body(self):
        self.assertNotEqual(body_digest("a", b"bc"), body_digest("ab", b"c"))
        with self.assertRaises(ValueError):
            signer(key=b"short")
