"""What a searcher's model asks of the process around it."""

from dataclasses import dataclass, field

from standins.http import Delivery


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer a request.

    :param exchange: The request's number, as given with it.
    :param status: The HTTP status.
    :param body: The body, JSON.
    :param draining: Whether to send ``Draining: 1``.
    :param delivery: How to write the answer.
    """

    exchange: int
    status: int
    body: bytes = b""
    draining: bool = False
    delivery: Delivery = Delivery.WHOLE


@dataclass(frozen=True, slots=True)
class Event:
    """Write an event to the history.

    :param event: What happened.
    :param at_ms: When.
    :param fields: More about it.
    :param durable: Whether it must be on file before any later effect.
    """

    event: str
    at_ms: float
    fields: dict[str, object] = field(default_factory=dict)
    durable: bool = False


Effect = Answer | Event
