"""Messages between entries about delegated searches, and their encoding."""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from rhubarbhinge.gather import EndedSearcher
from rhubarbhinge.net import FrameError
from rhubarbhinge.utils.bounded_types import Count, FieldValue, Milliseconds, Priority
from rhubarbhinge.utils.strict_json import json_decoder

REQUEST, ACCEPTED, REPLY, CANCEL, ATTEMPT_REQUEST, ATTEMPT_GRANT = range(6)
"""Message types on the wire; numbers, as traffic between failure domains is expensive."""
HEAD_LENGTH_BYTES = 4
"""Size of the length prefix of a message's head, which the body follows."""
MAX_SUB_QUERIES = 1_000_000
"""Maximum number of sub-queries in progress that is reported; far above what one VM can handle."""

SubQueryCount = Annotated[int, Meta(ge=0, le=MAX_SUB_QUERIES)]
"""A number of sub-queries on the wire."""


class DelegateRequest(Struct, frozen=True):
    """Request to search some shards.

    :param number: identifies this request on its link.
    :param request_id: id of the caller's request.
    :param head: request line and headers of the caller's request.
    :param body: its body.
    :param route: name of the route, for which delays are tracked separately.
    :param services: the shards.
    :param top_k: maximum number of records in the reply.
    :param priority: priority of the request.
    :param max_attempts: maximum number of searchers of each shard that may execute the request.
    :param target_latency_ms: the route's latency objective.
    :param reply_after_ms: time after which to reply with the results so far.
    :param left_ms: time until the caller's deadline.
    :param searcher: incarnation of the only searcher that may get the request, in a single attempt
        that the requesting entry has counted in its retry budget; empty for any searcher.
    :param searcher_started_unix_ms: start time of that searcher, as no later process of the same
        incarnation may get the request; None for any start time.
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
    reply_after_ms: float
    left_ms: float
    searcher: str = ""
    searcher_started_unix_ms: int | None = None


class DelegateAccepted(Struct, frozen=True):
    """A request was received and is being processed.

    :param number: number of the request.
    :param sub_queries: sub-queries in progress at the delegate, without those of this request;
        0 also from earlier releases, which don't report them.
    """

    number: int
    sub_queries: int = 0


class DelegateReply(Struct, frozen=True):
    """Results of a request, or of the shards that an earlier reply listed as pending.

    :param number: number of the request.
    :param services: shards whose records are in the body.
    :param signatures: signatures of their replies, in the same order.
    :param untried: shards of which no searcher received the request.
    :param pending: shards still being searched, which further replies cover.
    :param may_have_run: whether any searcher has executed the request.
    :param body: the greatest records of these shards, in descending order.
    """

    number: int
    services: tuple[str, ...]
    signatures: tuple[str, ...]
    untried: tuple[str, ...]
    pending: tuple[str, ...]
    may_have_run: bool
    body: bytes


class DelegateCancel(Struct, frozen=True):
    """Cancels a request.

    :param number: number of the request.
    :param wants_reply: whether to reply with the shards of which no searcher received the request;
        False also from earlier releases, which don't ask for a reply.
    """

    number: int
    wants_reply: bool = False


class AttemptRequest(Struct, frozen=True):
    """Requests one more attempt at each of some shards, and reports on earlier attempts.

    :param number: number of the request.
    :param services: the shards; empty for a report only.
    :param ended: searchers whose process ended while they had the request.
    :param replied: whether any searcher has executed the request and replied.
    """

    number: int
    services: tuple[str, ...]
    ended: tuple[EndedSearcher, ...] = ()
    replied: bool = False


class AttemptGrant(Struct, frozen=True):
    """Grants one more attempt at each of some shards.

    :param number: number of the request.
    :param services: the shards.
    """

    number: int
    services: tuple[str, ...]


Message = (
    DelegateRequest
    | DelegateAccepted
    | DelegateReply
    | DelegateCancel
    | AttemptRequest
    | AttemptGrant
)


class _WireRequest(msgspec.Struct, frozen=True, array_like=True, tag=REQUEST):
    """Head of a request; the body is the head and body of the caller's request."""

    number: Count
    request_id: str
    head_bytes: Count
    route: str
    services: tuple[str, ...]
    top_k: Count
    priority: Priority
    max_attempts: Count
    target_latency_ms: Milliseconds
    reply_after_ms: Milliseconds
    left_ms: Milliseconds
    searcher: str = ""
    searcher_started_unix_ms: Count | None = None


class _WireReply(msgspec.Struct, frozen=True, array_like=True, tag=REPLY):
    """Head of a reply; earlier releases omit ``pending``, as they send a single reply."""

    number: Count
    services: tuple[str, ...]
    signatures: tuple[FieldValue, ...]
    untried: tuple[str, ...]
    may_have_run: bool
    pending: tuple[str, ...] = ()


class _WireAccepted(msgspec.Struct, frozen=True, array_like=True, tag=ACCEPTED):
    """Earlier releases omit the fields after ``number``, and ignore them."""

    number: Count
    sub_queries: SubQueryCount = 0


class _WireCancel(msgspec.Struct, frozen=True, array_like=True, tag=CANCEL):
    """Earlier releases omit the fields after ``number``, and ignore them."""

    number: Count
    wants_reply: bool = False


class _WireAttemptRequest(msgspec.Struct, frozen=True, array_like=True, tag=ATTEMPT_REQUEST):
    """Earlier releases omit the fields after ``services``, and ignore them."""

    number: Count
    services: tuple[str, ...]
    ended: tuple[tuple[str, Count], ...] = ()
    replied: bool = False


class _WireAttemptGrant(msgspec.Struct, frozen=True, array_like=True, tag=ATTEMPT_GRANT):
    number: Count
    services: tuple[str, ...]


_Wire = (
    _WireRequest
    | _WireReply
    | _WireAccepted
    | _WireCancel
    | _WireAttemptRequest
    | _WireAttemptGrant
)
_decode_head = json_decoder(_Wire)


def encode_message(message: Message) -> bytes:
    """Encode a message.

    :param message: the message.
    :returns: the payload of a frame.
    """
    body = b""
    if isinstance(message, DelegateRequest):
        body = message.head + message.body
    elif isinstance(message, DelegateReply):
        body = message.body
    head = msgspec.json.encode(_to_wire(message))
    return len(head).to_bytes(HEAD_LENGTH_BYTES, "little") + head + body


def decode_message(data: bytes) -> Message:
    """Decode a message.

    :param data: the payload of a frame.
    :returns: the message.
    :raises FrameError: with code ``malformed``, when the payload is not a valid message.
    """
    end = HEAD_LENGTH_BYTES + int.from_bytes(data[:HEAD_LENGTH_BYTES], "little")
    try:
        return _from_wire(_decode_head(data[HEAD_LENGTH_BYTES:end]), data[end:])
    except ValueError as error:
        raise FrameError("malformed", f"invalid message between entries: {error}") from error


def _to_wire(message: Message) -> _Wire:
    """Convert the head of a message to its wire form."""
    if isinstance(message, DelegateRequest):
        return _WireRequest(
            message.number,
            message.request_id,
            len(message.head),
            message.route,
            message.services,
            message.top_k,
            message.priority,
            message.max_attempts,
            message.target_latency_ms,
            round(message.reply_after_ms, 1),
            round(message.left_ms, 1),
            message.searcher,
            message.searcher_started_unix_ms,
        )
    if isinstance(message, DelegateReply):
        return _WireReply(
            message.number,
            message.services,
            message.signatures,
            message.untried,
            message.may_have_run,
            message.pending,
        )
    if isinstance(message, AttemptRequest):
        ended = tuple((one.service, one.mark) for one in message.ended)
        return _WireAttemptRequest(message.number, message.services, ended, message.replied)
    if isinstance(message, AttemptGrant):
        return _WireAttemptGrant(message.number, message.services)
    if isinstance(message, DelegateAccepted):
        return _WireAccepted(message.number, min(message.sub_queries, MAX_SUB_QUERIES))
    return _WireCancel(message.number, message.wants_reply)


def _from_wire(sent: _Wire, body: bytes) -> Message:
    if isinstance(sent, _WireRequest):
        return DelegateRequest(
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
            sent.reply_after_ms,
            sent.left_ms,
            sent.searcher,
            sent.searcher_started_unix_ms,
        )
    if isinstance(sent, _WireReply):
        if len(sent.services) != len(sent.signatures):
            raise ValueError("number of signatures differs from that of shards")
        return DelegateReply(
            sent.number,
            sent.services,
            sent.signatures,
            sent.untried,
            sent.pending,
            sent.may_have_run,
            body,
        )
    if isinstance(sent, _WireAttemptRequest):
        ended = tuple(EndedSearcher(service, mark) for service, mark in sent.ended)
        return AttemptRequest(sent.number, sent.services, ended, sent.replied)
    if isinstance(sent, _WireAttemptGrant):
        return AttemptGrant(sent.number, sent.services)
    return (
        DelegateAccepted(sent.number, sent.sub_queries)
        if isinstance(sent, _WireAccepted)
        else DelegateCancel(sent.number, sent.wants_reply)
    )
