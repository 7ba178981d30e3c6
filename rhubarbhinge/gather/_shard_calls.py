"""Concurrent calls of one request to several shards."""

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

NO_PRIOR_ATTEMPTS: Mapping[str, int] = MappingProxyType({})
"""Used for shards whose searchers have not received the request before."""


class ShardOutcome(Struct, frozen=True):
    """Outcome of the call to one shard.

    :param service: the shard.
    :param reply: the signed reply with the shard's records; None if there was none.
    :param arrived: whether the request may have reached a searcher.
    :param may_have_run: whether a searcher may have executed the request.
    """

    service: str
    reply: SearcherReply | None
    arrived: bool
    may_have_run: bool


class ShardCalls:
    """Concurrent calls of one request to several shards.

    :param context: state shared by all requests.
    :param request: the caller's request.
    :param terms: limits and deadlines of the call to each shard.
    :param delays: recent reply times of a single shard on the route.
    :param on_end: called with the outcome of each call, never from within :meth:`start`.
    :param trace: records the decisions made for the request.
    """

    def __init__(
        self,
        context: CallContext,
        request: CallerRequest,
        terms: CallTerms,
        delays: Delays,
        on_end: Callable[[ShardOutcome], None],
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
    def pending_count(self) -> int:
        """Number of pending calls."""
        return len(self._calls)

    @property
    def services(self) -> tuple[str, ...]:
        """Shards with a pending call."""
        return tuple(self._calls)

    @property
    def may_have_run(self) -> bool:
        """Whether a searcher may be executing one of the pending calls."""
        return any(call.may_have_run for call in self._calls.values())

    def start(
        self,
        services: Iterable[str],
        prior_attempts: Mapping[str, int] = NO_PRIOR_ATTEMPTS,
        unsettled: int = 0,
    ) -> None:
        """Send the request to shards.

        :param services: the shards.
        :param prior_attempts: for each shard, how many searchers may have executed the request
            before. These count towards the attempt limit, and further attempts are charged to the
            retry budget.
        :param unsettled: number of the prior attempts at each shard that :meth:`settle` will
            report about.
        """
        calls = [
            ServiceCall(
                self._context,
                self._request,
                name,
                self._terms,
                self._delays,
                self._on_call_end,
                self._trace,
                prior_attempts.get(name, 0),
                unsettled,
            )
            for name in services
        ]
        self._calls.update((call.service, call) for call in calls)
        for call in calls:
            call.start()

    def settle(self, service: str, not_run: bool) -> None:
        """Process whether a prior attempt at a shard reached a searcher.

        :param service: the shard.
        :param not_run: whether it did not, in which case it no longer counts.
        """
        call = self._calls.get(service)
        if call is not None:
            call.settle_prior(not_run)

    def cancel(self) -> None:
        """Cancel all pending calls."""
        calls, self._calls = self._calls, {}
        for call in calls.values():
            call.cancel()

    def end(self) -> list[ShardOutcome]:
        """Cancel all pending calls, and return what is known of them.

        :returns: their outcomes, which are not reported otherwise.
        """
        calls = self._calls.values()
        outcomes = [
            ShardOutcome(call.service, None, call.arrived, call.may_have_run) for call in calls
        ]
        self.cancel()
        return outcomes

    def _on_call_end(self, call: ServiceCall, result: Result) -> None:
        if self._calls.pop(call.service, None) is None:
            return
        reply = result.reply if isinstance(result, ReplyReceived) else None
        usable_reply = reply if reply is not None and reply.succeeded and reply.signature else None
        self._on_end(ShardOutcome(call.service, usable_reply, call.arrived, call.may_have_run))
