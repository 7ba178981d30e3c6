"""Encoding of the replies to requests for loans of retry budget."""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from rhubarbhinge.retries import LOAN_VALID_MS, MAX_LOAN, Loan
from rhubarbhinge.utils.strict_json import json_decoder

SERVICE_PARAMETER = "service"
"""Query parameter with the name of the service."""
MAX_VALID_MS = 60_000.0
"""Longest validity in a reply; one of this release says two seconds, which is also the longest that
a borrower uses."""
MAX_REPLY_BYTES = 1_024
"""Longest reply; one of this release has about 40 bytes."""


class LoanReplyError(Exception):
    """The data is no valid reply.

    :param code: machine-readable reason.
    """

    def __init__(self, code: str):
        super().__init__(code)
        self.code = code


class _LoanMessage(Struct, frozen=True):
    """Reply to a request for a loan.

    :param granted: number of extra sends lent.
    :param valid_ms: time after the request for which they may be spent.
    """

    granted: Annotated[int, Meta(ge=0, le=MAX_LOAN)]
    valid_ms: Annotated[float, Meta(ge=0, le=MAX_VALID_MS)]


_decode = json_decoder(_LoanMessage)


def encode_loan(granted: int) -> bytes:
    """Encode a reply.

    :param granted: number of extra sends lent; 0 for none.
    :returns: the reply as JSON.
    """
    return msgspec.json.encode(_LoanMessage(granted, round(LOAN_VALID_MS)))


def decode_loan(data: bytes) -> Loan:
    """Decode a reply.

    :param data: the reply.
    :returns: the loan.
    :raises LoanReplyError: if the reply is invalid.
    """
    if len(data) > MAX_REPLY_BYTES:
        raise LoanReplyError("too-long")
    try:
        message = _decode(data)
    except ValueError as error:
        raise LoanReplyError("invalid") from error
    return Loan(message.granted, message.valid_ms)
