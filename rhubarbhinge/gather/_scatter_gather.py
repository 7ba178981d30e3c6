"""A search over all shards of a route."""

from collections import Counter
from collections.abc import Callable

from rhubarbhinge.fleet import Delays
from rhubarbhinge.forward import CallContext, CallerRequest, RequestTrace
from rhubarbhinge.gather._gather_terms import GatherTerms
from rhubarbhinge.gather._merge import merge_greatest
from rhubarbhinge.gather._results import Gathered, TooFewShards
from rhubarbhinge.gather._shard_calls import ShardCalls, ShardOutcome
from rhubarbhinge.gather._shard_delegation import (
    AttemptReport,
    DelegatedSearch,
    PartialResult,
    ShardDelegation,
)


class ScatterGather:
    """One search, sent to every shard and answered with the merged replies.

    :param context: state shared by all requests.
    :param request: the caller's request.
    :param terms: limits and deadlines of the search.
    :param delays: recent reply times of a single shard on the route.
    :param delegation: delegates shards to other entries.
    :param on_end: called once with the result, never from within :meth:`start`.
    :param trace: records the decisions made for the request.
    """

    def __init__(
        self,
        context: CallContext,
        request: CallerRequest,
        terms: GatherTerms,
        delays: Delays,
        delegation: ShardDelegation,
        on_end: Callable[[Gathered | TooFewShards], None],
        trace: RequestTrace,
    ):
        self._context = context
        self._request = request
        self._terms = terms
        self._control = terms.call.control
        self._delegation = delegation
        self._on_end = on_end
        self._trace = trace
        self._calls = ShardCalls(context, request, terms.call, delays, self._on_shard_end, trace)
        self._unsent: list[str] = []
        self._signatures: dict[str, str] = {}
        self._bodies: list[bytes] = []
        self._delegated: dict[str, tuple[DelegatedSearch, list[str]]] = {}
        self._given_up: dict[str, tuple[DelegatedSearch, list[str]]] = {}
        self._delegated_attempts: Counter[str] = Counter()
        self._may_have_run = False
        self._unmerged_shards = 0
        self._past_due = False
        self._finished = False
        self._timer = None

    def start(self) -> None:
        """Send the request to every shard, or fail if too few shards have a reachable searcher."""
        context, shards = self._context, self._terms.shards
        reachable = [name for name in shards.services if context.fleet.is_reachable(name)]
        if not shards.is_enough(len(reachable)):
            context.timers.after(0, self._fail)
            return
        wait_ms = self._terms.answer_by_ms - context.timers.now_ms()
        self._timer = context.timers.after(max(0.0, wait_ms), self._on_answer_due)
        if self._control.one_first:
            self._unsent = reachable
            self._send_to_one()
        else:
            self._send(reachable)

    def _send_to_one(self) -> None:
        """Send to a single shard first, as the request may crash the searchers that execute it."""
        service = self._unsent.pop(0)
        self._context.budget.on_request((service,))
        self._calls.start((service,))

    def _send(self, reachable: list[str]) -> None:
        context = self._context
        by_address = self._delegation.shards_for(self._request, self._terms, reachable)
        for address, services in by_address.items():
            self._delegate(address, services)
        delegated = {name for services in by_address.values() for name in services}
        local = [name for name in reachable if name not in delegated]
        context.budget.on_request(local)
        self._calls.start(local)

    def cancel(self) -> None:
        """Cancel the search without reporting a result."""
        self._finished = True
        if self._timer is not None:
            self._timer.cancel()
        searches = [*self._delegated.values(), *self._given_up.values()]
        self._may_have_run = self._may_have_run or self._calls.may_have_run or bool(searches)
        self._calls.cancel()
        self._delegated, self._given_up = {}, {}
        for search, _ in searches:
            search.cancel()

    def time_out(self) -> None:
        """Finish at the deadline with the replies received so far."""
        if self._finished:
            return
        if self._terms.shards.is_enough(len(self._signatures)):
            self._answer()
        else:
            self._fail(timed_out=True)

    def _delegate(self, address: str, services: list[str]) -> None:
        label = self._delegation.capacity_label(address)
        capacity = {"capacity": label} if label else {}
        self._trace.note("ask-sent", ",".join(services), entry=address, **capacity)
        search = self._delegation.send(
            address,
            self._request,
            self._terms,
            services,
            lambda part: self._on_partial_result(address, part),
            lambda wanted, report: self._grant_attempts(address, wanted, report),
        )
        search.on_given_up = lambda: self._on_given_up(address)
        self._delegated[address] = (search, services)
        self._delegated_attempts.update(services)

    def _grant_attempts(
        self, address: str, wanted: tuple[str, ...], report: AttemptReport
    ) -> tuple[str, ...]:
        """Grant another entry one more attempt at shards, up to the attempt limit of the route.

        A granted attempt counts as executed from then on, even if the entry is never heard from
        again.
        """
        for ended in report.ended:
            self._control.on_searcher_exited(ended.service, ended.mark)
        if report.replied:
            self._control.on_replied("")
        _, services = self._delegated.get(address, (None, ()))
        return tuple(
            name for name in wanted if name in services and self._claim_attempt(address, name)
        )

    def _claim_attempt(self, address: str, service: str) -> bool:
        number = self._delegated_attempts[service] + 1
        if number > self._terms.call.max_attempts:
            return False
        if not self._control.claim(
            service, number, lambda: self._on_attempt_available(address, service)
        ):
            return False
        self._delegated_attempts[service] = number
        return True

    def _on_attempt_available(self, address: str, service: str) -> None:
        search, services = self._delegated.get(address, (None, ()))
        if service in services and self._claim_attempt(address, service):
            search.grant((service,))

    def _on_partial_result(self, address: str, part: PartialResult | None) -> None:
        if self._finished:
            return
        if address in self._given_up:
            self._settle(address, part)
            return
        search, services = self._delegated.pop(address)
        in_time = "none" if part is None else len(part.services)
        self._trace.note("ask-ended", ",".join(services), entry=address, parts=in_time)
        is_usable = part is not None and _is_valid(part, services)
        if is_usable and part.pending:
            # Before calls are reported as finished, which may grant attempts at these shards.
            self._delegated[address] = (search, list(part.pending))
        finished = [name for name in services if not (is_usable and name in part.pending)]
        self._may_have_run = self._may_have_run or not is_usable or part.may_have_run
        # These shards stay pending meanwhile: a call that is granted an attempt may end at once.
        self._unmerged_shards = len(finished)
        for name in finished:
            self._control.on_call_finished(name)
        self._unmerged_shards = 0
        if self._finished:
            search.cancel()
            return
        if is_usable:
            self._merge_part(part)
        else:
            # The records of unexpected shards cannot be separated from the rest of the part.
            search.cancel()
            self._calls.start(services, prior_attempts=self._delegated_attempts)
        self._finish_if_possible()

    def _on_given_up(self, address: str) -> None:
        """Search shards in another way while the entry that got them may not have begun.

        Its attempts count until it replies that it has not.
        """
        if self._finished:
            return
        _, services = self._delegated[address]
        self._trace.note("ask-ended", ",".join(services), entry=address, parts="given-up")
        for name in services:
            self._control.on_call_finished(name)
        if self._finished:
            # A call that was granted an attempt by this ended the search.
            return
        self._given_up[address] = self._delegated.pop(address)
        self._calls.start(services, prior_attempts=self._delegated_attempts, unsettled=1)
        self._finish_if_possible()

    def _settle(self, address: str, part: PartialResult | None) -> None:
        """Take back the attempts of an entry that was given up if it has not begun."""
        _, services = self._given_up.pop(address)
        never_ran = part is not None and not (part.may_have_run or part.services or part.pending)
        untried = set(part.untried if never_ran else ()).intersection(services)
        self._delegated_attempts.subtract(untried)
        self._may_have_run = self._may_have_run or not never_ran
        if untried:
            self._trace.note("attempts-returned", ",".join(sorted(untried)), entry=address)
        for name in services:
            self._calls.settle(name, name in untried)
        self._finish_if_possible()

    def _merge_part(self, part: PartialResult) -> None:
        self._may_have_run = self._may_have_run or part.may_have_run
        self._signatures.update(zip(part.services, part.signatures, strict=True))
        self._bodies.append(part.body)
        self._calls.start(part.untried)

    def _on_shard_end(self, end: ShardOutcome) -> None:
        if self._finished:
            return
        self._may_have_run = self._may_have_run or end.may_have_run
        if end.reply is not None:
            self._signatures[end.service] = end.reply.signature
            self._bodies.append(end.reply.body)
        if self._unsent:
            self._send_remaining()
        self._finish_if_possible()

    def _send_remaining(self) -> None:
        """Send to the remaining shards after a first reply; until then, try the next shard."""
        if self._control.one_first:
            self._send_to_one()
        else:
            unsent, self._unsent = self._unsent, []
            is_reachable = self._context.fleet.is_reachable
            self._send([name for name in unsent if is_reachable(name)])

    def _finish_if_possible(self) -> None:
        """Finish the search if it is complete, overdue or unable to succeed.

        It fails as soon as too few shards can still reply. It is answered once no shard is pending,
        or once enough shards have replied and the answer is due.
        """
        if self._finished:
            return
        shards = self._terms.shards
        pending = self._pending_shards()
        if not shards.is_enough(len(self._signatures) + pending):
            self._fail()
        elif not pending or (self._past_due and shards.is_enough(len(self._signatures))):
            self._answer()

    def _pending_shards(self) -> int:
        delegated = sum(len(services) for _, services in self._delegated.values())
        pending = self._calls.pending_count + delegated + len(self._unsent)
        return pending + self._unmerged_shards

    def _on_answer_due(self) -> None:
        self._past_due = True
        if not self._finished and self._terms.shards.is_enough(len(self._signatures)):
            self._answer(at_due_time=True)

    def _answer(self, at_due_time: bool = False) -> None:
        body = merge_greatest(self._bodies, self._terms.shards.top_k)
        signatures = tuple(self._signatures.values())
        self._finished = True
        # Answers the caller first: cancelling many pending shards takes milliseconds.
        self._on_end(Gathered(signatures, self._missing(), body, at_due_time))
        self.cancel()

    def _fail(self, timed_out: bool = False) -> None:
        if self._finished:
            return
        self.cancel()
        self._on_end(TooFewShards(self._missing(), self._may_have_run, timed_out))

    def _missing(self) -> tuple[str, ...]:
        return tuple(name for name in self._terms.shards.services if name not in self._signatures)


def _is_valid(part: PartialResult, services: list[str]) -> bool:
    """Check that a part covers only shards that were delegated, each at most once."""
    reported = (*part.services, *part.pending)
    return len(set(reported)) == len(reported) and set(services).issuperset(reported)
