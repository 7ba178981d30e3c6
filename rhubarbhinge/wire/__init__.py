"""Messages between the system's own nodes: schema, frames, signatures and limits."""

from typing import Any

from rhubarbhinge.net._frame_error import FrameError
from rhubarbhinge.net._frames import MAX_FRAME_BYTES, FrameSplitter, encode_frame
from rhubarbhinge.wire._cancelbatch import CancelBatch
from rhubarbhinge.wire._codec import Codec
from rhubarbhinge.wire._columns import check_columns
from rhubarbhinge.wire._config_busy import ConfigBusy
from rhubarbhinge.wire._config_chunk import ConfigChunk
from rhubarbhinge.wire._config_digest import ConfigDigest
from rhubarbhinge.wire._config_notice import ConfigNotice
from rhubarbhinge.wire._config_request import ConfigRequest
from rhubarbhinge.wire._hello import Hello
from rhubarbhinge.wire._hellocheck import (
    NONCE_BYTES,
    check_hello,
    open_datagram,
    sign_datagram,
    signed_hello,
)
from rhubarbhinge.wire._holdingreport import HoldingReport
from rhubarbhinge.wire._indirect_probe import IndirectProbe
from rhubarbhinge.wire._key_claim import KeyClaim
from rhubarbhinge.wire._key_claim_reply import KeyClaimReply
from rhubarbhinge.wire._member import Member
from rhubarbhinge.wire._members_page import MembersPage
from rhubarbhinge.wire._members_request import MembersRequest
from rhubarbhinge.wire._probe import Probe
from rhubarbhinge.wire._probe_ack import ProbeAck
from rhubarbhinge.wire._replybatch import ReplyBatch
from rhubarbhinge.wire._run_reply import RunReply
from rhubarbhinge.wire._run_request import RunRequest
from rhubarbhinge.wire._subbatch import SubBatch
from rhubarbhinge.wire._subcode import SubCode
from rhubarbhinge.wire._ticket_forward import TicketForward
from rhubarbhinge.wire._ticket_forward_reply import TicketForwardReply
from rhubarbhinge.wire._upstreamid import upstream_id
from rhubarbhinge.wire._upstreamreport import UpstreamReport
from rhubarbhinge.wire._upstreamstate import UpstreamState
from rhubarbhinge.wire._wrong_receiver import WrongReceiver

__all__ = [
    "MAX_FRAME_BYTES",
    "MESSAGE_TYPES",
    "NONCE_BYTES",
    "CancelBatch",
    "FrameError",
    "FrameSplitter",
    "Hello",
    "HoldingReport",
    "KeyClaim",
    "KeyClaimReply",
    "ReplyBatch",
    "RunReply",
    "RunRequest",
    "SubBatch",
    "SubCode",
    "TicketForward",
    "TicketForwardReply",
    "UpstreamReport",
    "UpstreamState",
    "check_hello",
    "decode",
    "Probe",
    "ProbeAck",
    "IndirectProbe",
    "WrongReceiver",
    "MembersRequest",
    "MembersPage",
    "ConfigNotice",
    "ConfigRequest",
    "ConfigChunk",
    "ConfigBusy",
    "ConfigDigest",
    "Member",
    "encode",
    "encode_frame",
    "open_datagram",
    "sign_datagram",
    "signed_hello",
    "upstream_id",
]

#: Every message class, in the order of the schema's union.
MESSAGE_TYPES = (
    Hello,
    SubBatch,
    ReplyBatch,
    CancelBatch,
    UpstreamReport,
    HoldingReport,
    RunRequest,
    RunReply,
    TicketForward,
    TicketForwardReply,
    KeyClaim,
    KeyClaimReply,
    Probe,
    ProbeAck,
    IndirectProbe,
    WrongReceiver,
    MembersRequest,
    MembersPage,
    ConfigNotice,
    ConfigRequest,
    ConfigChunk,
    ConfigBusy,
)

_CODEC = Codec(MESSAGE_TYPES)


def encode(message: Any) -> bytes:
    """Encode one message without framing.

    :param message: an instance of one of :data:`MESSAGE_TYPES`.
    :returns: its bytes.
    """
    return _CODEC.encode(message)


def decode(data: bytes) -> Any:
    """Decode one message.

    :param data: bytes from anyone.
    :returns: the message.
    :raises FrameError: with code ``malformed``.
    """
    message = _CODEC.decode(data)
    check_columns(message)
    return message
