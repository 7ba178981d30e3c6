"""Signing and verification of tickets."""

import base64
import binascii
import hmac
import struct

from rhubarbhinge.once._body_digest import DIGEST_BYTES
from rhubarbhinge.once._invalid_ticket import InvalidTicket
from rhubarbhinge.once._outcome_codes import OutcomeCode
from rhubarbhinge.once._ticket import Ticket

MAC_BYTES = 16
"""Length of a signature: half of HMAC-SHA256's output, the minimum that RFC 2104 recommends."""
MAX_TEXT_CHARS = 512
"""Maximum length of a ticket's text, in characters; longer texts are rejected undecoded."""
MAX_NAME_BYTES = 64
"""Maximum length of the entry name and of the action name in a ticket."""
MIN_KEY_BYTES = 16
"""Minimum length of a deployment key."""
_KEY_DERIVATION_LABEL = b"rhubarbhinge ticket 1"
_HEADER = struct.Struct(">QIQBB")


class Signer:
    """Mints the tickets of one entry and verifies tickets of any entry.

    :param deployment_key: the secret shared by all entries of a deployment.
    :param entry: name of this entry.
    :param incarnation: incarnation of this entry.
    :raises ValueError: if the key is too short.
    """

    def __init__(self, deployment_key: bytes, entry: str, incarnation: int):
        if len(deployment_key) < MIN_KEY_BYTES:
            raise ValueError(f"the deployment key must have at least {MIN_KEY_BYTES} bytes")
        self._key = hmac.digest(deployment_key, _KEY_DERIVATION_LABEL, "sha256")
        self.entry = entry
        self.incarnation = incarnation

    def mint(self, sequence: int, action: str, digest: bytes, expires_ms: int) -> str:
        """Sign a ticket of this entry.

        :param sequence: number of the ticket; must be unique within the incarnation.
        :param action: name of the action.
        :param digest: digest of the action and the body.
        :param expires_ms: end of its lifetime on this entry's clock.
        :returns: the ticket's URL-safe text.
        """
        ticket = Ticket(self.entry, self.incarnation, sequence, action, expires_ms, digest)
        packed = _pack(ticket)
        return base64.urlsafe_b64encode(packed + self._mac(packed)).rstrip(b"=").decode()

    def verify(self, text: str) -> Ticket | InvalidTicket:
        """Verify the format and signature of a ticket, but neither its owner nor its lifetime.

        :param text: the text received from a caller.
        :returns: the ticket, or ``ticket-malformed`` or ``ticket-forged``.
        """
        data = _decode(text)
        if data is None:
            return InvalidTicket(OutcomeCode.MALFORMED)
        packed, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(packed)):
            return InvalidTicket(OutcomeCode.FORGED)
        ticket = _unpack(packed)
        return InvalidTicket(OutcomeCode.MALFORMED) if ticket is None else ticket

    def verify_own(self, text: str, now_ms: int) -> Ticket | InvalidTicket:
        """Verify a ticket, that this incarnation minted it, and that it has not expired.

        Only the process that minted a ticket can check its expiry, as it is a time on that
        process's clock.

        :param text: the text received from a caller.
        :param now_ms: time on this entry's clock.
        :returns: the ticket, or the reason why it is invalid.
        """
        ticket = self.verify(text)
        if isinstance(ticket, InvalidTicket):
            return ticket
        if not self.owns(ticket):
            return InvalidTicket(OutcomeCode.OTHER_INCARNATION)
        return InvalidTicket(OutcomeCode.EXPIRED) if now_ms >= ticket.expires_ms else ticket

    def owns(self, ticket: Ticket) -> bool:
        """Return whether this incarnation minted a ticket.

        :param ticket: a verified ticket.
        :returns: True if both name and incarnation are this entry's.
        """
        return (ticket.entry, ticket.incarnation) == (self.entry, self.incarnation)

    def _mac(self, packed: bytes) -> bytes:
        return hmac.digest(self._key, packed, "sha256")[:MAC_BYTES]


def _pack(ticket: Ticket) -> bytes:
    entry, action = ticket.entry.encode(), ticket.action.encode()
    if max(len(entry), len(action)) > MAX_NAME_BYTES or len(ticket.digest) != DIGEST_BYTES:
        raise ValueError("ticket has a name that is too long, or a digest of invalid length")
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
