"""What entries say to each other about parts of searches."""

from collections.abc import Callable
from dataclasses import dataclass

import orjson

from rhubarbhinge.net import FrameError

ASK, TAKEN, ANSWER, CANCEL, LEAVE_WANTED, LEAVE = range(6)
"""Kinds of messages on the wire; short, as each byte between failure domains is paid for."""
HEAD_LENGTH_BYTES = 4
"""Bytes of the length of a message's head; the body follows the head."""


@dataclass(frozen=True, slots=True)
class Ask:
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


@dataclass(frozen=True, slots=True)
class Taken:
    """An ask has come and is being worked on.

    :param number: the ask.
    """

    number: int


@dataclass(frozen=True, slots=True)
class Answer:
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


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop working on an ask.

    :param number: the ask.
    """

    number: int


@dataclass(frozen=True, slots=True)
class LeaveWanted:
    """Shards of an ask that are to be sent to one more searcher, beyond the first.

    :param number: the ask.
    :param services: the shards.
    """

    number: int
    services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Leave:
    """Shards that may be sent to one more searcher.

    :param number: the ask.
    :param services: the shards.
    """

    number: int
    services: tuple[str, ...]


Message = Ask | Taken | Answer | Cancel | LeaveWanted | Leave


def encode_message(message: Message) -> bytes:
    """Encode a message.

    :param message: the message.
    :returns: the payload of a frame.
    """
    if isinstance(message, Ask):
        fields = [
            ASK,
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
        ]
        return _join(fields, message.head + message.body)
    if isinstance(message, Answer):
        fields = [
            ANSWER,
            message.number,
            message.services,
            message.signatures,
            message.untried,
            message.may_have_run,
            message.pending,
        ]
        return _join(fields, message.body)
    if isinstance(message, LeaveWanted | Leave):
        kind = LEAVE if isinstance(message, Leave) else LEAVE_WANTED
        return _join([kind, message.number, message.services], b"")
    return _join([TAKEN if isinstance(message, Taken) else CANCEL, message.number], b"")


def decode_message(data: bytes) -> Message:
    """Decode a message.

    :param data: the payload of a frame.
    :returns: the message.
    :raises FrameError: with code ``malformed``, when it is none.
    """
    try:
        end = HEAD_LENGTH_BYTES + int.from_bytes(data[:HEAD_LENGTH_BYTES], "little")
        kind, number, *fields = orjson.loads(data[HEAD_LENGTH_BYTES:end])
        return _DECODERS[kind](int(number), fields, data[end:])
    except (IndexError, KeyError, TypeError, ValueError) as error:
        raise FrameError("malformed", f"no message between entries: {error}") from error


def _join(fields: list, body: bytes) -> bytes:
    head = orjson.dumps(fields)
    return len(head).to_bytes(HEAD_LENGTH_BYTES, "little") + head + body


def _names(listed: list) -> tuple[str, ...]:
    return tuple(str(name) for name in listed)


def _ask(number: int, fields: list, body: bytes) -> Ask:
    request_id, head_bytes, route, services, *rest = fields
    top_k, priority, max_attempts, target_latency_ms, answer_in_ms, left_ms, *later = rest
    return Ask(
        number,
        str(request_id),
        body[:head_bytes],
        body[head_bytes:],
        str(route),
        _names(services),
        int(top_k),
        int(priority),
        int(max_attempts),
        float(target_latency_ms),
        float(answer_in_ms),
        float(left_ms),
        str(later[0]) if later else "",
    )


def _answer(number: int, fields: list, body: bytes) -> Answer:
    services, signatures, untried, may_have_run, *later = fields
    # Entries of a release before 2026-12 don't say which shards they still search.
    pending = later[0] if later else ()
    if len(services) != len(signatures):
        raise ValueError("a signature for each shard is needed")
    return Answer(
        number,
        _names(services),
        _names(signatures),
        _names(untried),
        _names(pending),
        bool(may_have_run),
        body,
    )


_DECODERS: dict[int, Callable[[int, list, bytes], Message]] = {
    ASK: _ask,
    ANSWER: _answer,
    TAKEN: lambda number, fields, body: Taken(number),
    CANCEL: lambda number, fields, body: Cancel(number),
    LEAVE_WANTED: lambda number, fields, body: LeaveWanted(number, _names(fields[0])),
    LEAVE: lambda number, fields, body: Leave(number, _names(fields[0])),
}
