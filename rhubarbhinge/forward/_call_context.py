"""Dependencies shared by all calls."""

from msgspec import Struct

from rhubarbhinge.fleet import CostFunction, Fleet, MaySend, allow_all
from rhubarbhinge.forward._exchange import SendAttempt
from rhubarbhinge.retries import NO_LOANS, LoanWaits, RetryBudget
from rhubarbhinge.telemetry import Metrics
from rhubarbhinge.timing import TimerService


class CallContext(Struct, frozen=True):
    """Dependencies shared by all calls.

    :param timers: the timer service.
    :param fleet: known searchers.
    :param cost_function: cost function for choosing a searcher.
    :param budget: retry budget, which limits sends beyond the first.
    :param send: starts an exchange.
    :param metrics: counts the requests sent.
    :param may_send: tells which searchers may receive a request now.
    :param loans: loans of retry budget that are being asked for, for which retries wait.
    """

    timers: TimerService
    fleet: Fleet
    cost_function: CostFunction
    budget: RetryBudget
    send: SendAttempt
    metrics: Metrics
    may_send: MaySend = allow_all
    loans: LoanWaits = NO_LOANS
