"""Signing and checking of tickets."""

import base64
import binascii
import hmac
import struct

from rhubarbhinge.once._body_digest import DIGEST_BYTES
from rhubarbhinge.once._invalid_ticket import InvalidTicket
from rhubarbhinge.once._outcome_codes import Code
from rhubarbhinge.once._ticket import Ticket

MAC_BYTES = 16
"""Length of a signature; half of HMAC-SHA256's output, the least that RFC 2104 advises."""
MAX_TEXT_CHARS = 512
"""Longest text that is looked at, in characters."""
MAX_NAME_BYTES = 64
"""Longest entry name and action name in a ticket."""
MIN_KEY_BYTES = 16
"""Shortest deployment key that is accepted."""
_KEY_DERIVATION_LABEL = b"rhubarbhinge ticket 1"
_HEADER = struct.Struct(">QIQBB")


class Signer:
    """Mints and checks the tickets of one entry.

    :param deployment_key: the secret that all entries of a deployment share.
    :param entry: name of this entry.
    :param incarnation: incarnation of this entry.
    :raises ValueError: if the key is too short.
    """

    def __init__(self, deployment_key: bytes, entry: str, incarnation: int):
        if len(deployment_key) < MIN_KEY_BYTES:
            raise ValueError(f"a deployment key has at least {MIN_KEY_BYTES} bytes")
        self._key = hmac.digest(deployment_key, _KEY_DERIVATION_LABEL, "sha256")
        self.entry = entry
        self.incarnation = incarnation

    def mint(self, sequence: int, action: str, digest: bytes, expires_ms: int) -> str:
        """Sign a ticket of this entry.

        :param sequence: number of the ticket; the caller never uses one twice.
        :param action: name of the action.
        :param digest: digest of the action and the body.
        :param expires_ms: end of its lifetime on this entry's clock.
        :returns: the ticket's text, safe in a URL.
        """
        ticket = Ticket(self.entry, self.incarnation, sequence, action, expires_ms, digest)
        packed = _pack(ticket)
        return base64.urlsafe_b64encode(packed + self._mac(packed)).rstrip(b"=").decode()

    def verify(self, text: str) -> Ticket | InvalidTicket:
        """Check form and signature; this says nothing of the ticket's owner or lifetime.

        :param text: what a caller showed.
        :returns: the ticket, or ``ticket-malformed`` or ``ticket-forged``.
        """
        data = _decode(text)
        if data is None:
            return InvalidTicket(Code.MALFORMED)
        packed, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(packed)):
            return InvalidTicket(Code.FORGED)
        ticket = _unpack(packed)
        return InvalidTicket(Code.MALFORMED) if ticket is None else ticket

    def verify_own(self, text: str, now_ms: int) -> Ticket | InvalidTicket:
        """Check that a ticket is this incarnation's and has not expired.

        Only here is the expiry compared with a clock, as only this process reads the clock that
        the expiry was taken from.

        :param text: what a caller showed.
        :param now_ms: time on this entry's clock.
        :returns: the ticket, or a fault.
        """
        ticket = self.verify(text)
        if isinstance(ticket, InvalidTicket):
            return ticket
        if not self.owns(ticket):
            return InvalidTicket(Code.OTHER_INCARNATION)
        return InvalidTicket(Code.EXPIRED) if now_ms >= ticket.expires_ms else ticket

    def owns(self, ticket: Ticket) -> bool:
        """Return whether this incarnation minted a ticket.

        :param ticket: a checked ticket.
        :returns: True if both name and incarnation are this entry's.
        """
        return (ticket.entry, ticket.incarnation) == (self.entry, self.incarnation)

    def _mac(self, packed: bytes) -> bytes:
        return hmac.digest(self._key, packed, "sha256")[:MAC_BYTES]


def _pack(ticket: Ticket) -> bytes:
    entry, action = ticket.entry.encode(), ticket.action.encode()
    if max(len(entry), len(action)) > MAX_NAME_BYTES or len(ticket.digest) != DIGEST_BYTES:
        raise ValueError("a ticket's name or digest has the wrong length")
    head = _HEADER.pack(
        ticket.incarnation, ticket.sequence, ticket.expires_ms, len(entry), len(action)
    )
    return head + entry + action + ticket.digest


def _unpack(packed: bytes) -> Ticket | None:
    if len(packed) < _HEADER.size:
        return None
    incarnation, sequence, expires_ms, entry_size, action_size = _HEADER.unpack_from(packed)
    action_at = _HEADER.size + entry_size
    digest_at = action_at + action_size
    if len(packed) != digest_at + DIGEST_BYTES:
        return None
    try:
        entry = packed[_HEADER.size : action_at].decode()
        action = packed[action_at:digest_at].decode()
    except UnicodeDecodeError:
        return None
    return Ticket(entry, incarnation, sequence, action, expires_ms, packed[digest_at:])


def _decode(text: str) -> bytes | None:
    if not 0 < len(text) <= MAX_TEXT_CHARS or not text.isascii():
        return None
    padded = text.encode() + b"=" * (-len(text) % 4)
    try:
        data = base64.b64decode(padded, altchars=b"-_", validate=True)
    except binascii.Error:
        return None
    canonical = base64.urlsafe_b64encode(data).rstrip(b"=").decode()
    return data if len(data) > MAC_BYTES and canonical == text else None
