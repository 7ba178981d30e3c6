"""One search under way."""

from collections.abc import Callable
from dataclasses import dataclass

from rhubarbhinge.fleet import Delays
from rhubarbhinge.forward import (
    CallerRequest,
    CallTerms,
    Passed,
    Result,
    SearcherReply,
    ServiceCall,
    Surroundings,
)
from rhubarbhinge.gather._merge import merge_greatest
from rhubarbhinge.plans import ShardSet


@dataclass(frozen=True, slots=True)
class GatherTerms:
    """What is granted to one search.

    :param shards: the shards of the plan that it was read under.
    :param answer_by_ms: when it is answered with what there is, if that is enough.
    :param call: what is granted to the call to each shard.
    """

    shards: ShardSet
    answer_by_ms: float
    call: CallTerms


@dataclass(frozen=True, slots=True)
class Gathered:
    """A success.

    :param signatures: those of the replies that are in it.
    :param missing: names of the shards that are not.
    :param body: the merged records.
    """

    signatures: tuple[str, ...]
    missing: tuple[str, ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class NotEnough:
    """Too few shards answered, or can.

    :param missing: names of the shards that did not answer.
    :param may_have_run: whether any searcher has executed the search.
    :param timed_out: whether the time was over.
    """

    missing: tuple[str, ...]
    may_have_run: bool
    timed_out: bool = False


class Gathering:
    """One search under way.

    :param surroundings: what requests share.
    :param request: the caller's request.
    :param terms: what is granted.
    :param delays: the usual delays of such requests at one shard.
    :param on_end: told the result, once and later than the start.
    """

    def __init__(
        self,
        surroundings: Surroundings,
        request: CallerRequest,
        terms: GatherTerms,
        delays: Delays,
        on_end: Callable[[Gathered | NotEnough], None],
    ):
        self._around = surroundings
        self._request = request
        self._terms = terms
        self._delays = delays
        self._on_end = on_end
        self._parts: dict[str, SearcherReply] = {}
        self._calls: dict[str, ServiceCall] = {}
        self._may_have_run = False
        self._late = False
        self._over = False
        self._timer = None

    @property
    def sends(self) -> int:
        """How many requests were sent to searchers."""
        return sum(call.sends for call in self._calls.values())

    def start(self) -> None:
        """Send to every shard, unless too few have a searcher."""
        around, shards = self._around, self._terms.shards
        served = [name for name in shards.services if around.fleet.is_reachable(name)]
        if not shards.is_enough(len(served)):
            around.timers.after(0, self._fail)
            return
        around.budget.on_request(shards.services)
        for name in served:
            call = ServiceCall(
                around, self._request, name, self._terms.call, self._delays, self._ended
            )
            self._calls[name] = call
        for call in self._calls.values():
            call.start()
        wait_ms = self._terms.answer_by_ms - around.timers.now_ms()
        self._timer = around.timers.after(max(0.0, wait_ms), self._time_to_answer)

    def cancel(self) -> None:
        """Give the search up; its result is not told."""
        self._over = True
        if self._timer is not None:
            self._timer.cancel()
        for call in self._calls.values():
            if not call.over:
                self._may_have_run = self._may_have_run or call.may_have_run
                call.cancel()

    def time_out(self) -> None:
        """Finish now, with what there is."""
        if self._over:
            return
        if self._terms.shards.is_enough(len(self._parts)):
            self._answer()
        else:
            self._fail(timed_out=True)

    def _ended(self, call: ServiceCall, result: Result) -> None:
        if self._over:
            return
        self._may_have_run = self._may_have_run or call.may_have_run
        if isinstance(result, Passed) and _is_part(result.reply):
            self._parts[call.service] = result.reply
        shards = self._terms.shards
        still_open = sum(not other.over for other in self._calls.values())
        if not shards.is_enough(len(self._parts) + still_open):
            self._fail()
        elif not still_open or (self._late and shards.is_enough(len(self._parts))):
            self._answer()

    def _time_to_answer(self) -> None:
        self._late = True
        if not self._over and self._terms.shards.is_enough(len(self._parts)):
            self._answer()

    def _answer(self) -> None:
        shards = self._terms.shards
        signatures = tuple(reply.signature for reply in self._parts.values())
        body = merge_greatest((reply.body for reply in self._parts.values()), shards.top_k)
        self._finish(Gathered(signatures, self._missing(), body))

    def _fail(self, timed_out: bool = False) -> None:
        if self._over:
            return
        self.cancel()
        self._on_end(NotEnough(self._missing(), self._may_have_run, timed_out))

    def _missing(self) -> tuple[str, ...]:
        return tuple(name for name in self._terms.shards.services if name not in self._parts)

    def _finish(self, result: Gathered) -> None:
        self.cancel()
        self._on_end(result)


def _is_part(reply: SearcherReply) -> bool:
    return reply.succeeded and bool(reply.signature)
