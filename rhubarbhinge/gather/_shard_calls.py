"""One request to each of some shards."""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from msgspec import Struct

from rhubarbhinge.fleet import Delays
from rhubarbhinge.forward import (
    CallContext,
    CallerRequest,
    CallTerms,
    ReplyReceived,
    RequestTrace,
    Result,
    SearcherReply,
    ServiceCall,
)

NONE_RAN: Mapping[str, int] = MappingProxyType({})
"""No searcher has had the request before."""


class ShardEnd(Struct, frozen=True):
    """How the call to one shard came out.

    :param service: the shard.
    :param reply: its records; None when it gave none.
    :param arrived: whether the request may have arrived at a searcher.
    :param may_have_run: whether a searcher may have executed it.
    """

    service: str
    reply: SearcherReply | None
    arrived: bool
    may_have_run: bool


class ShardCalls:
    """One request to each of some shards.

    :param context: what requests share.
    :param request: the caller's request.
    :param terms: what is granted to the call to each shard.
    :param delays: the usual delays of such requests at one shard.
    :param on_end: told how each call came out, later than its start.
    :param trace: records the decisions made for the request.
    """

    def __init__(
        self,
        context: CallContext,
        request: CallerRequest,
        terms: CallTerms,
        delays: Delays,
        on_end: Callable[[ShardEnd], None],
        trace: RequestTrace,
    ):
        self._context = context
        self._request = request
        self._terms = terms
        self._delays = delays
        self._on_end = on_end
        self._trace = trace
        self._calls: dict[str, ServiceCall] = {}

    @property
    def open(self) -> int:
        """How many calls are under way."""
        return len(self._calls)

    @property
    def services(self) -> tuple[str, ...]:
        """The shards whose calls are under way."""
        return tuple(self._calls)

    @property
    def may_have_run(self) -> bool:
        """Whether a searcher may be executing one of the calls under way."""
        return any(call.may_have_run for call in self._calls.values())

    def start(self, services: Iterable[str], ran: Mapping[str, int] = NONE_RAN) -> None:
        """Send to shards.

        :param services: the shards.
        :param ran: how many searchers of a shard may have executed the request before; the retry
            budget has to grant what comes after them, and they count among the attempts.
        """
        calls = [
            ServiceCall(
                self._context,
                self._request,
                name,
                self._terms,
                self._delays,
                self._ended,
                self._trace,
                ran.get(name, 0),
            )
            for name in services
        ]
        self._calls.update((call.service, call) for call in calls)
        for call in calls:
            call.start()

    def cancel(self) -> None:
        """Give up all calls under way."""
        calls, self._calls = self._calls, {}
        for call in calls.values():
            call.cancel()

    def _ended(self, call: ServiceCall, result: Result) -> None:
        if self._calls.pop(call.service, None) is None:
            return
        reply = result.reply if isinstance(result, ReplyReceived) else None
        part = reply if reply is not None and reply.succeeded and reply.signature else None
        self._on_end(ShardEnd(call.service, part, call.arrived, call.may_have_run))
