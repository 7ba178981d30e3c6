"""Creates the components of an entry that lend retry budget and borrow it."""

import random
from collections.abc import Callable

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.members import Membership
from rhubarbhinge.peers import LoanClient, LoanLog, LoanService
from rhubarbhinge.retries import LoanRequests, LoanTurns, RetryBudget
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import HttpClient


def loan_requests(
    timers: TimerService,
    budget: RetryBudget,
    client: HttpClient,
    port: int,
    membership: Callable[[], Membership],
    rng: random.Random,
) -> LoanRequests:
    """Create the requests for loans of an entry.

    :param timers: the timer service.
    :param budget: the retry budget.
    :param client: calls other entries.
    :param port: port of all entries.
    :param membership: returns the members of the fleet; those of this failure domain are asked.
    :param rng: chooses the order in which they are asked.
    :returns: the requests, which start whenever the budget is short.
    """
    log = LoanLog(timers.now_ms)

    def members() -> list:
        return membership().live(membership().me.failure_domain)

    loan_client = LoanClient(timers, client, port, members, log)
    return LoanRequests(
        budget,
        LoanTurns(timers.now_ms, rng),
        loan_client.names,
        loan_client.ask,
        timers.now_ms,
        lambda service, entry, granted: log.write(service, granted, "borrower", entry),
    )


def loan_service(
    timers: TimerService, budget: RetryBudget, fleet: Fleet, membership: Callable[[], Membership]
) -> LoanService:
    """Create the service that lends to other entries.

    :param timers: the timer service.
    :param budget: the retry budget.
    :param fleet: the searchers.
    :param membership: returns the members of the fleet.
    :returns: the service.
    """

    def name_of(ip: str) -> str:
        return next((one.name for one in membership().table.all() if one.ip == ip), ip)

    return LoanService(
        budget.lend,
        lambda service: bool(fleet.of_service(service)),
        name_of,
        LoanLog(timers.now_ms),
    )
