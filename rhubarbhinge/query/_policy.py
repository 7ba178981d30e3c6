"""Settings of the query core that do not depend on the traffic class."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueryPolicy:
    """Constants and switches of the query core; the switches exist for measurements.

    :param answer_margin_ms: time before the deadline reserved for merging and answering.
    :param early_answer_share: fraction of the deadline after which a class that prefers latency
        is answered with the current coverage, if that meets the class's minimum.
    :param hop_margin_ms: time before the deadline reserved for the round trip to the relay.
    :param initial_hedge_delay_ms: hedge delay while there are too few latency samples.
    :param min_hedge_delay_ms: lower bound of the hedge delay.
    :param max_budget_tokens: maximum number of accumulated tokens for extra sub-queries.
    :param floor_interval_ms: minimum time between two extra sub-queries of a class that are sent
        without a token.
    :param min_retry_wait_ms: minimum wait before replicas that all refused are asked again.
    :param max_owner_wait_ms: maximum wait between two attempts at a replica whose relay refused
        because it did not own the replica, or that had no relay.
    :param max_attempts: maximum number of attempts for a part; those that a relay refused because
        it did not own the replica are not counted.
    :param hedging: whether slow parts are sent to a second replica.
    :param own_observation: whether replicas are chosen by the latency and load that this entry
        has observed; at random otherwise.
    :param budgeted: whether hedges and retries are limited by a budget.
    """

    answer_margin_ms: float = 4.0
    early_answer_share: float = 0.5
    hop_margin_ms: float = 2.0
    initial_hedge_delay_ms: float = 40.0
    min_hedge_delay_ms: float = 1.0
    max_budget_tokens: float = 20.0
    floor_interval_ms: float = 2_000.0
    min_retry_wait_ms: float = 5.0
    max_owner_wait_ms: float = 80.0
    max_attempts: int = 6
    hedging: bool = True
    own_observation: bool = True
    budgeted: bool = True
