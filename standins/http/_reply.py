"""An answer and how it is written."""

from dataclasses import dataclass
from enum import Enum


class Delivery(Enum):
    """How an answer is written to its connection.

    ``LOST`` closes the connection instead, ``CUT_SHORT`` closes it within the answer, ``TWICE``
    writes the answer two times.
    """

    WHOLE = "whole"
    LOST = "lost"
    TWICE = "twice"
    CUT_SHORT = "cut-short"


@dataclass(frozen=True, slots=True)
class Reply:
    """One answer.

    :param status: The HTTP status.
    :param body: The body, JSON.
    :param headers: More headers.
    :param delivery: How to write it.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    delivery: Delivery = Delivery.WHOLE
