"""Settings of the relay's decisions."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelayPolicy:
    """Settings of the relay's decisions; the defaults suit searches of 10 to 100 ms.

    :param reply_margin_ms: kept from each deadline for the answer's way back to the entry.
    :param upstream_margin_ms: kept from each deadline for the searcher's answer to the relay.
    :param queue_limit: most queued requests in front of one searcher.
    :param spare_connections: idle connections kept ready for each searcher.
    :param control_connections: connections kept out of the pool, for health polls and cancels.
    :param assumed_service_ms: service time assumed until one was observed.
    :param service_gain: weight of a new service time in the moving average.
    :param ramp_ms: time in which a cold searcher's concurrency rises to all its slots.
    :param shed_raise_ms: time between two steps of the concurrency up again after a shed answer.
    :param least_retry_after_ms: least retry-after given with a refusal.
    :param least_pause_ms: first pause of a searcher that sheds even single requests; doubles.
    :param most_pause_ms: longest such pause, unless the searcher asks for a longer one.
    :param least_connect_timeout_ms: shortest time after which an unfinished connection is given
        up; longer for searchers that take long to connect to.
    :param least_connection_life_ms: a connection that the searcher closes sooner, without an
        answer, counts as a failed one.
    :param least_connect_wait_ms: wait after the first failed connection; doubles from there.
    :param most_connect_wait_ms: longest wait between two connection attempts.
    :param late_answer_ms: time for which a timed-out request may keep its connection and slot.
    :param most_deadline_ms: longest deadline; a longer one is cut to it.
    :param most_warming_ms: time for which a searcher is believed that it is warming.
    :param down_failures: failures in a row after which a searcher counts as down.
    :param health_period_ms: mean time between two health polls of a searcher.
    :param idle_sweep_period_ms: the same, while nothing is queued, in flight, or ramping up.
    :param sweep_period_ms: time between two looks at all searchers, for ramps, pauses, connections
        and requests that have become hopeless.
    :param report_period_ms: time between two load reports, while the load changes.
    :param report_repeat_ms: time after which a report is repeated though nothing changed.
    :param early_refusal: whether what cannot make its deadline is refused at once; a switch for
        measuring.
    :param ticket_memory_ms: a sent run's ticket is refused for so long; above a ticket's lifetime.
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
