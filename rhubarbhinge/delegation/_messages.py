"""What entries say to each other about parts of searches."""

import msgspec
from msgspec import Struct

from rhubarbhinge.gather import EndedSearcher
from rhubarbhinge.net import FrameError
from rhubarbhinge.utils.bounded_types import Count, FieldValue, Milliseconds, Priority
from rhubarbhinge.utils.strict_json import json_decoder

ASK, TAKEN, ANSWER, CANCEL, LEAVE_WANTED, LEAVE = range(6)
"""Kinds of messages on the wire; short, as each byte between failure domains is paid for."""
HEAD_LENGTH_BYTES = 4
"""Bytes of the length of a message's head; the body follows the head."""


class Ask(Struct, frozen=True):
    """Search some shards.

    :param number: identifies the ask on its link.
    :param request_id: id of the caller's request.
    :param head: request line and headers that are passed on.
    :param body: its body.
    :param route: name of the route, by which delays are told apart.
    :param services: the shards.
    :param top_k: most records in the answer.
    :param priority: rank of the request.
    :param max_attempts: most searchers of each shard that may execute it.
    :param target_latency_ms: the route's latency objective.
    :param answer_in_ms: answer with what there is after so long.
    :param left_ms: time until the caller stops waiting.
    :param searcher: incarnation of the only searcher that may get it, in one attempt that the entry
        that asks has counted in the retry budget; empty for any searchers of the shards.
    :param searcher_started_unix_ms: the only start of that searcher that may get it; None for any.
    """

    number: int
    request_id: str
    head: bytes
    body: bytes
    route: str
    services: tuple[str, ...]
    top_k: int
    priority: int
    max_attempts: int
    target_latency_ms: float
    answer_in_ms: float
    left_ms: float
    searcher: str = ""
    searcher_started_unix_ms: int | None = None


class Taken(Struct, frozen=True):
    """An ask has come and is being worked on.

    :param number: the ask.
    """

    number: int


class Answer(Struct, frozen=True):
    """What came of an ask, or of the part of it that was told of before as pending.

    :param number: the ask.
    :param services: shards whose records are in the body.
    :param signatures: the signatures of their replies, in the same order.
    :param untried: shards for which nothing arrived at a searcher.
    :param pending: shards that are still being searched; further answers tell of them.
    :param may_have_run: whether any searcher has executed the request.
    :param body: the greatest records of these shards, greatest first.
    """

    number: int
    services: tuple[str, ...]
    signatures: tuple[str, ...]
    untried: tuple[str, ...]
    pending: tuple[str, ...]
    may_have_run: bool
    body: bytes


class Cancel(Struct, frozen=True):
    """Stop working on an ask.

    :param number: the ask.
    """

    number: int


class LeaveWanted(Struct, frozen=True):
    """Shards of an ask that are to be sent to one more searcher, beyond the first.

    :param number: the ask.
    :param services: the shards; none where only the rest is told.
    :param ended: searchers that ended while they had the request.
    :param replied: whether any searcher has executed the request and replied.
    """

    number: int
    services: tuple[str, ...]
    ended: tuple[EndedSearcher, ...] = ()
    replied: bool = False


class Leave(Struct, frozen=True):
    """Shards that may be sent to one more searcher.

    :param number: the ask.
    :param services: the shards.
    """

    number: int
    services: tuple[str, ...]


Message = Ask | Taken | Answer | Cancel | LeaveWanted | Leave


class _SentAsk(msgspec.Struct, frozen=True, array_like=True, tag=ASK):
    """The head of an ask; its body is the request's head and body."""

    number: Count
    request_id: str
    head_bytes: Count
    route: str
    services: tuple[str, ...]
    top_k: Count
    priority: Priority
    max_attempts: Count
    target_latency_ms: Milliseconds
    answer_in_ms: Milliseconds
    left_ms: Milliseconds
    searcher: str = ""
    searcher_started_unix_ms: Count | None = None


class _SentAnswer(msgspec.Struct, frozen=True, array_like=True, tag=ANSWER):
    """The head of an answer; earlier releases leave out ``pending``, as they tell all at once."""

    number: Count
    services: tuple[str, ...]
    signatures: tuple[FieldValue, ...]
    untried: tuple[str, ...]
    may_have_run: bool
    pending: tuple[str, ...] = ()


class _SentTaken(msgspec.Struct, frozen=True, array_like=True, tag=TAKEN):
    number: Count


class _SentCancel(msgspec.Struct, frozen=True, array_like=True, tag=CANCEL):
    number: Count


class _SentLeaveWanted(msgspec.Struct, frozen=True, array_like=True, tag=LEAVE_WANTED):
    """Earlier releases leave out what follows the services, and pass over it."""

    number: Count
    services: tuple[str, ...]
    ended: tuple[tuple[str, Count], ...] = ()
    replied: bool = False


class _SentLeave(msgspec.Struct, frozen=True, array_like=True, tag=LEAVE):
    number: Count
    services: tuple[str, ...]


_Sent = _SentAsk | _SentAnswer | _SentTaken | _SentCancel | _SentLeaveWanted | _SentLeave
_read_head = json_decoder(_Sent)


def encode_message(message: Message) -> bytes:
    """Encode a message.

    :param message: the message.
    :returns: the payload of a frame.
    """
    body = b""
    if isinstance(message, Ask):
        body = message.head + message.body
    elif isinstance(message, Answer):
        body = message.body
    head = msgspec.json.encode(_sent(message))
    return len(head).to_bytes(HEAD_LENGTH_BYTES, "little") + head + body


def decode_message(data: bytes) -> Message:
    """Decode a message.

    :param data: the payload of a frame.
    :returns: the message.
    :raises FrameError: with code ``malformed``, when it is none.
    """
    end = HEAD_LENGTH_BYTES + int.from_bytes(data[:HEAD_LENGTH_BYTES], "little")
    try:
        return _message(_read_head(data[HEAD_LENGTH_BYTES:end]), data[end:])
    except ValueError as error:
        raise FrameError("malformed", f"no message between entries: {error}") from error


def _sent(message: Message) -> _Sent:
    """Give a message's head the form in which it is sent."""
    if isinstance(message, Ask):
        return _SentAsk(
            message.number,
            message.request_id,
            len(message.head),
            message.route,
            message.services,
            message.top_k,
            message.priority,
            message.max_attempts,
            message.target_latency_ms,
            round(message.answer_in_ms, 1),
            round(message.left_ms, 1),
            message.searcher,
            message.searcher_started_unix_ms,
        )
    if isinstance(message, Answer):
        return _SentAnswer(
            message.number,
            message.services,
            message.signatures,
            message.untried,
            message.may_have_run,
            message.pending,
        )
    if isinstance(message, LeaveWanted):
        ended = tuple((one.service, one.mark) for one in message.ended)
        return _SentLeaveWanted(message.number, message.services, ended, message.replied)
    if isinstance(message, Leave):
        return _SentLeave(message.number, message.services)
    sent = _SentTaken if isinstance(message, Taken) else _SentCancel
    return sent(message.number)


def _message(sent: _Sent, body: bytes) -> Message:
    if isinstance(sent, _SentAsk):
        return Ask(
            sent.number,
            sent.request_id,
            body[: sent.head_bytes],
            body[sent.head_bytes :],
            sent.route,
            sent.services,
            sent.top_k,
            sent.priority,
            sent.max_attempts,
            sent.target_latency_ms,
            sent.answer_in_ms,
            sent.left_ms,
            sent.searcher,
            sent.searcher_started_unix_ms,
        )
    if isinstance(sent, _SentAnswer):
        if len(sent.services) != len(sent.signatures):
            raise ValueError("a signature for each shard is needed")
        return Answer(
            sent.number,
            sent.services,
            sent.signatures,
            sent.untried,
            sent.pending,
            sent.may_have_run,
            body,
        )
    if isinstance(sent, _SentLeaveWanted):
        ended = tuple(EndedSearcher(service, mark) for service, mark in sent.ended)
        return LeaveWanted(sent.number, sent.services, ended, sent.replied)
    if isinstance(sent, _SentLeave):
        return Leave(sent.number, sent.services)
    return Taken(sent.number) if isinstance(sent, _SentTaken) else Cancel(sent.number)
