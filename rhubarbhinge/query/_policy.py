"""How queries are carried out, apart from what the rules say of each class."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueryPolicy:
    """Constants and switches of the query core; the switches exist for measuring.

    :param answer_margin_ms: kept back from the deadline for merging and answering.
    :param early_answer_share: share of the deadline after which a class that prefers latency is
        answered with what is covered, if that is enough for the class.
    :param hop_margin_ms: kept back from the deadline on the way to the relay and back.
    :param initial_hedge_delay_ms: hedge delay before there are latencies to go by.
    :param min_hedge_delay_ms: no hedge is sent sooner.
    :param max_budget_tokens: most extra sub-queries saved up.
    :param floor_interval_ms: least time between two extra sub-queries of a class without a token.
    :param min_retry_wait_ms: least time before replicas that all refused are asked again.
    :param max_owner_wait_ms: most time between two tries of a replica whose relay refused as
        it did not own it, or that had none.
    :param max_attempts: attempts a part may take; those that a relay refused as it did not own
        the replica are not counted.
    :param hedging: whether slow parts are sent to a second replica.
    :param own_observation: whether replicas are chosen by what was seen; else at random.
    :param budgeted: whether hedges and retries have a budget.
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
