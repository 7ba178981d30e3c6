"""What requests under way share."""

from msgspec import Struct

from rhubarbhinge.fleet import Fleet, MaySend, Preference, always
from rhubarbhinge.forward._exchange import SendAttempt
from rhubarbhinge.retries import RetryBudget
from rhubarbhinge.telemetry import Metrics
from rhubarbhinge.timing import TimerService


class Surroundings(Struct, frozen=True):
    """What requests under way share.

    :param timers: the timer service.
    :param fleet: the searchers.
    :param preference: chooses among them.
    :param budget: what may be sent beyond the first time.
    :param send: starts an exchange.
    :param metrics: counts what is sent.
    :param may_send: tells which searchers may get a request now.
    """

    timers: TimerService
    fleet: Fleet
    preference: Preference
    budget: RetryBudget
    send: SendAttempt
    metrics: Metrics
    may_send: MaySend = always
