"""The knobs of one searcher."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SearcherKnobs:
    """How one searcher behaves; all can be set while it runs.

    :param slots: Requests executed at the same time.
    :param queue_limit: Requests that may wait for a slot; one more is shed.
    :param retry_after_ms: What a shed request is told.
    :param connections: Open connections; one more is closed at once.
    :param connect_ms: How long a new connection is held before its first request is read.
    :param median_ms: Median of the log-normal service time.
    :param sigma: Standard deviation of the service time's logarithm.
    :param straggle_factor: Multiplies the service time.
    :param straggle_probability: Share of the requests that ``straggle_factor`` strikes.
    :param warm_ms: How long after its start the searcher is cold.
    :param cold_factor: Multiplies the service time at the start; falls to 1 over ``warm_ms``.
    :param shed_probability: Share of the requests that are shed whatever the load.
    :param draining: Whether the searcher leaves: it finishes what it has.
    :param drain_grace_ms: How long after the drain began new requests are still taken.
    :param health_lag_ms: How old the picture is that ``GET /health`` gives.
    :param health_state: A state that ``GET /health`` claims, or None for the true one.
    :param health_busy: A load that ``GET /health`` claims, or None for the true one.
    :param health_down: Whether ``GET /health`` answers 503.
    :param silent: Whether nothing is answered or executed, as behind a partition.
    :param exact_ranges: Whether only a range held as such is searched, not a part of one.
    :param answer_delay_ms: Wait between the end of an execution and its answer.
    :param drop_answer_probability: Share of the searches executed but never answered: the
        connection is closed.
    :param cut_answer_probability: Share of the search answers cut off in the middle.
    :param wrong_call_probability: Share of the search answers with another call's identity.
    :param wrong_version_probability: Share of the search answers drawn from the next version.
    :param duplicate_answer_probability: Share of the search answers written twice.
    :param run_ms: How long an action takes.
    :param run_lose_probability: Share of the actions run but never answered.
    :param run_refuse_probability: Share of the actions refused as not run.
    """

    slots: int = 2
    queue_limit: int = 16
    retry_after_ms: int = 50
    connections: int = 25
    connect_ms: float = 0.0
    median_ms: float = 2.0
    sigma: float = 0.0
    straggle_factor: float = 1.0
    straggle_probability: float = 1.0
    warm_ms: float = 0.0
    cold_factor: float = 1.0
    shed_probability: float = 0.0
    draining: bool = False
    drain_grace_ms: float = 0.0
    health_lag_ms: float = 0.0
    health_state: str | None = None
    health_busy: int | None = None
    health_down: bool = False
    silent: bool = False
    exact_ranges: bool = False
    answer_delay_ms: float = 0.0
    drop_answer_probability: float = 0.0
    cut_answer_probability: float = 0.0
    wrong_call_probability: float = 0.0
    wrong_version_probability: float = 0.0
    duplicate_answer_probability: float = 0.0
    run_ms: float = 1.0
    run_lose_probability: float = 0.0
    run_refuse_probability: float = 0.0
