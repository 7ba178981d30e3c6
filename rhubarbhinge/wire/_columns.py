"""Lists that stand side by side in a message have one length."""

from typing import Any

from rhubarbhinge.net._frame_error import FrameError
from rhubarbhinge.wire._cancelbatch import CancelBatch
from rhubarbhinge.wire._holdingreport import HoldingReport
from rhubarbhinge.wire._replybatch import ReplyBatch
from rhubarbhinge.wire._subbatch import SubBatch
from rhubarbhinge.wire._upstreamreport import UpstreamReport

_COLUMNS = {
    SubBatch: ("parts", "attempts", "upstream_ids", "los", "his"),
    ReplyBatch: (
        "call_ids",
        "parts",
        "attempts",
        "outcomes",
        "retry_after_ms",
        "queue_ms",
        "service_ms",
        "bodies",
    ),
    CancelBatch: ("call_ids", "parts", "attempts"),
    UpstreamReport: ("upstream_ids", "states", "queued", "in_flight", "slots"),
    HoldingReport: ("collections", "versions", "total_records", "los", "his", "records"),
}


def check_columns(message: Any) -> None:
    """Check that the lists of a message have one length.

    :param message: a decoded message of any class.
    :raises FrameError: with code ``malformed``.
    """
    names = _COLUMNS.get(type(message))
    if names is not None and len({len(getattr(message, name)) for name in names}) != 1:
        raise FrameError("malformed", "lists that belong together differ in length")
