"""An answer of the platform."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a call.

    :param exchange: The call's number.
    :param status: The HTTP status; None closes the connection without an answer.
    :param body: The body.
    :param revision: What the ``Revision`` header tells, if any.
    """

    exchange: int
    status: int | None
    body: bytes = b""
    revision: int | None = None
