"""One search under way."""

from collections import Counter
from collections.abc import Callable

from rhubarbhinge.fleet import Delays
from rhubarbhinge.forward import CallContext, CallerRequest, RequestTrace
from rhubarbhinge.gather._far_search import FarAsk, FarNews, FarPart, FarSearch
from rhubarbhinge.gather._gather_terms import GatherTerms
from rhubarbhinge.gather._merge import merge_greatest
from rhubarbhinge.gather._results import Gathered, NotEnough
from rhubarbhinge.gather._shard_calls import ShardCalls, ShardEnd


class Gathering:
    """One search under way.

    :param context: what requests share.
    :param request: the caller's request.
    :param terms: what is granted.
    :param delays: the usual delays of such requests at one shard.
    :param far: how other entries are asked for the shards near them.
    :param on_end: told the result, once and later than the start.
    :param trace: records the decisions made for the request.
    """

    def __init__(
        self,
        context: CallContext,
        request: CallerRequest,
        terms: GatherTerms,
        delays: Delays,
        far: FarSearch,
        on_end: Callable[[Gathered | NotEnough], None],
        trace: RequestTrace,
    ):
        self._context = context
        self._request = request
        self._terms = terms
        self._control = terms.call.control
        self._far = far
        self._on_end = on_end
        self._trace = trace
        self._calls = ShardCalls(context, request, terms.call, delays, self._shard_ended, trace)
        self._not_begun: list[str] = []
        self._signatures: dict[str, str] = {}
        self._bodies: list[bytes] = []
        self._asks: dict[str, tuple[FarAsk, list[str]]] = {}
        self._far_attempts: Counter[str] = Counter()
        self._may_have_run = False
        self._late = False
        self._over = False
        self._timer = None

    def start(self) -> None:
        """Send to every shard, unless too few have a searcher."""
        context, shards = self._context, self._terms.shards
        served = [name for name in shards.services if context.fleet.is_reachable(name)]
        if not shards.is_enough(len(served)):
            context.timers.after(0, self._fail)
            return
        wait_ms = self._terms.answer_by_ms - context.timers.now_ms()
        self._timer = context.timers.after(max(0.0, wait_ms), self._time_to_answer)
        if self._control.one_first:
            self._not_begun = served
            self._begin_one()
        else:
            self._begin(served)

    def _begin_one(self) -> None:
        """Send to one shard, before any other gets a request that may end its searchers."""
        service = self._not_begun.pop(0)
        self._context.budget.on_request((service,))
        self._calls.start((service,))

    def _begin(self, served: list[str]) -> None:
        context = self._context
        by_address = self._far.shards_for(self._request, self._terms, served)
        for address, services in by_address.items():
            self._ask(address, services)
        left = {name for services in by_address.values() for name in services}
        near = [name for name in served if name not in left]
        context.budget.on_request(near)
        self._calls.start(near)

    def cancel(self) -> None:
        """Give the search up; its result is not told."""
        self._over = True
        if self._timer is not None:
            self._timer.cancel()
        self._may_have_run = self._may_have_run or self._calls.may_have_run or bool(self._asks)
        self._calls.cancel()
        asks, self._asks = self._asks, {}
        for ask, _ in asks.values():
            ask.cancel()

    def time_out(self) -> None:
        """Finish now, with what there is."""
        if self._over:
            return
        if self._terms.shards.is_enough(len(self._signatures)):
            self._answer()
        else:
            self._fail(timed_out=True)

    def _ask(self, address: str, services: list[str]) -> None:
        self._trace.note("ask-sent", ",".join(services), entry=address)
        ask = self._far.ask(
            address,
            self._request,
            self._terms,
            services,
            lambda part: self._far_ended(address, part),
            lambda wanted, news: self._grant(address, wanted, news),
        )
        self._asks[address] = (ask, services)
        self._far_attempts.update(services)

    def _grant(self, address: str, wanted: tuple[str, ...], news: FarNews) -> tuple[str, ...]:
        """Let another entry send shards to one more searcher, as far as the route has attempts.

        What is granted counts as executed from then on, also if the entry is never heard again.
        """
        for ended in news.ended:
            self._control.on_searcher_exited(ended.service, ended.mark)
        if news.replied:
            self._control.on_replied("")
        _, services = self._asks.get(address, (None, ()))
        return tuple(name for name in wanted if name in services and self._claim(address, name))

    def _claim(self, address: str, service: str) -> bool:
        number = self._far_attempts[service] + 1
        if number > self._terms.call.max_attempts:
            return False
        if not self._control.claim(service, number, lambda: self._grant_later(address, service)):
            return False
        self._far_attempts[service] = number
        return True

    def _grant_later(self, address: str, service: str) -> None:
        ask, services = self._asks.get(address, (None, ()))
        if service in services and self._claim(address, service):
            ask.grant((service,))

    def _far_ended(self, address: str, part: FarPart | None) -> None:
        if self._over:
            return
        ask, services = self._asks.pop(address)
        in_time = "none" if part is None else len(part.services)
        self._trace.note("ask-ended", ",".join(services), entry=address, parts=in_time)
        for name in services:
            if part is None or name not in part.pending:
                self._control.on_call_finished(name)
        if part is None or not _is_sound(part, services):
            # Records of other shards can't be taken out of a part again.
            ask.cancel()
            self._may_have_run = True
            self._calls.start(services, ran=self._far_attempts)
        else:
            if part.pending:
                self._asks[address] = (ask, list(part.pending))
            self._take_part(part)
        self._look()

    def _take_part(self, part: FarPart) -> None:
        self._may_have_run = self._may_have_run or part.may_have_run
        self._signatures.update(zip(part.services, part.signatures, strict=True))
        self._bodies.append(part.body)
        self._calls.start(part.untried)

    def _shard_ended(self, end: ShardEnd) -> None:
        if self._over:
            return
        self._may_have_run = self._may_have_run or end.may_have_run
        if end.reply is not None:
            self._signatures[end.service] = end.reply.signature
            self._bodies.append(end.reply.body)
        if self._not_begun:
            self._go_on()
        self._look()

    def _go_on(self) -> None:
        """Send to the other shards once a searcher has replied; try another one if none could."""
        if self._control.one_first:
            self._begin_one()
        else:
            not_begun, self._not_begun = self._not_begun, []
            is_reachable = self._context.fleet.is_reachable
            self._begin([name for name in not_begun if is_reachable(name)])

    def _look(self) -> None:
        """Finish if all has ended, if it is late and there is enough, or if there can't be."""
        shards = self._terms.shards
        still_open = self._open_shards()
        if not shards.is_enough(len(self._signatures) + still_open):
            self._fail()
        elif not still_open or (self._late and shards.is_enough(len(self._signatures))):
            self._answer()

    def _open_shards(self) -> int:
        asked = sum(len(services) for _, services in self._asks.values())
        return self._calls.open + asked + len(self._not_begun)

    def _time_to_answer(self) -> None:
        self._late = True
        if not self._over and self._terms.shards.is_enough(len(self._signatures)):
            self._answer(by_time=True)

    def _answer(self, by_time: bool = False) -> None:
        body = merge_greatest(self._bodies, self._terms.shards.top_k)
        signatures = tuple(self._signatures.values())
        self._over = True
        # The caller comes first: to cancel what is open takes milliseconds when many are missing.
        self._on_end(Gathered(signatures, self._missing(), body, by_time))
        self.cancel()

    def _fail(self, timed_out: bool = False) -> None:
        if self._over:
            return
        self.cancel()
        self._on_end(NotEnough(self._missing(), self._may_have_run, timed_out))

    def _missing(self) -> tuple[str, ...]:
        return tuple(name for name in self._terms.shards.services if name not in self._signatures)


def _is_sound(part: FarPart, services: list[str]) -> bool:
    """Tell whether a part is about shards that were asked for, each of them once."""
    told = (*part.services, *part.pending)
    return len(set(told)) == len(told) and set(services).issuperset(told)
