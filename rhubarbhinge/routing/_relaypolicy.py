"""Relay settings."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelayPolicy:
    """Settings of the relay core; the defaults suit searches of 10 to 100 ms.

    :param reply_margin_ms: part of each deadline reserved for the reply to reach the entry.
    :param upstream_margin_ms: part of each deadline reserved for the searcher's reply to the relay.
    :param queue_limit: maximum queue length of one searcher.
    :param spare_connections: idle connections kept ready for each searcher.
    :param control_connections: connections reserved outside the pool for health polls and cancels.
    :param assumed_service_ms: service time assumed until one was observed.
    :param service_gain: weight of a new service time in the exponential moving average.
    :param ramp_ms: time in which a cold searcher's concurrency rises to all its slots.
    :param shed_raise_ms: time between increases of the concurrency limit after a shed response.
    :param least_retry_after_ms: minimum retry-after sent with a refusal.
    :param least_pause_ms: first pause of a searcher that sheds at a limit of one; then doubles.
    :param most_pause_ms: longest such pause, unless the searcher requests a longer one.
    :param least_connect_timeout_ms: minimum connect timeout; searchers with a long connect time
        get a longer one.
    :param least_connection_life_ms: a connection that the searcher closes sooner, without a
        response, counts as a failed connection attempt.
    :param least_connect_wait_ms: delay after the first failed connection; then doubles.
    :param most_connect_wait_ms: longest delay between two connection attempts.
    :param late_answer_ms: time for which a timed-out request may keep its connection and slot.
    :param most_deadline_ms: maximum deadline; longer ones are shortened to it.
    :param most_warming_ms: longest time for which a searcher's warming state is honoured.
    :param down_failures: consecutive failures after which a searcher counts as down.
    :param health_period_ms: mean time between two health polls of a searcher.
    :param idle_sweep_period_ms: sweep period while nothing is queued, in flight or ramping up.
    :param sweep_period_ms: time between sweeps over all searchers, which update ramps, pauses and
        connections and refuse requests that can no longer meet their deadline.
    :param report_period_ms: time between two load reports, while the load changes.
    :param report_repeat_ms: time after which an unchanged report is sent again.
    :param early_refusal: whether requests that cannot meet their deadline are refused on arrival;
        turned off only for measurements.
    :param ticket_memory_ms: time for which a used ticket is refused; exceeds a ticket's lifetime.
    """

    reply_margin_ms: int = 4
    upstream_margin_ms: int = 4
    queue_limit: int = 256
    spare_connections: int = 2
    control_connections: int = 1
    assumed_service_ms: float = 20.0
    service_gain: float = 0.2
    ramp_ms: int = 2000
    shed_raise_ms: int = 200
    least_retry_after_ms: int = 5
    least_pause_ms: int = 50
    most_pause_ms: int = 200
    least_connect_timeout_ms: int = 100
    least_connection_life_ms: int = 1000
    least_connect_wait_ms: int = 20
    most_connect_wait_ms: int = 2000
    late_answer_ms: int = 200
    most_deadline_ms: int = 60_000
    most_warming_ms: int = 60_000
    down_failures: int = 3
    health_period_ms: int = 1000
    sweep_period_ms: int = 20
    idle_sweep_period_ms: int = 200
    report_period_ms: int = 100
    report_repeat_ms: int = 1000
    ticket_memory_ms: int = 600_000
    early_refusal: bool = True
