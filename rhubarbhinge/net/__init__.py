"""TCP and UDP sockets as circuits components, and length-prefixed message frames."""

from rhubarbhinge.net._close_reason import CloseReason
from rhubarbhinge.net._datagrams import Datagrams
from rhubarbhinge.net._frame_error import FrameError
from rhubarbhinge.net._frames import (
    MAX_FRAME_BODY_BYTES,
    MAX_FRAME_BYTES,
    FrameSplitter,
    encode_frame,
)
from rhubarbhinge.net._links import DEFAULT_MAX_PENDING_BYTES, Links
from rhubarbhinge.net._sockets import provide_listening_socket
from rhubarbhinge.net._stalled_link import StalledLink

__all__ = [
    "DEFAULT_MAX_PENDING_BYTES",
    "MAX_FRAME_BODY_BYTES",
    "MAX_FRAME_BYTES",
    "CloseReason",
    "Datagrams",
    "FrameError",
    "FrameSplitter",
    "Links",
    "StalledLink",
    "encode_frame",
    "provide_listening_socket",
]
