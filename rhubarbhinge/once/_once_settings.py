"""Limits of tickets, runs and idempotency keys."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OnceSettings:
    """Limits of tickets, runs and idempotency keys.

    :param lifetime_ms: time from minting for which a ticket can be used.
    :param keep_ms: time for which a ticket's outcome is kept after its expiry.
    :param run_ms: maximum duration of a run, from its start to its outcome.
    :param forward_ms: timeout of calls to other entries; must be longer than ``run_ms``.
    :param most_tickets: maximum number of tickets held; one more is refused.
    :param most_forwards: maximum number of concurrent calls to other entries; the outcome of one
        more is ``unknown``.
    :param most_waiters: maximum number of requests that wait for one run.
    :param most_result_bytes: maximum size of one kept result.
    :param most_kept_bytes: maximum total size of the kept results.
    :param key_window_ms: time for which a key stays bound; must cover ``lifetime_ms`` and
        ``run_ms``.
    :param key_claim_ms: timeout of a claim at an owner of a key.
    :param most_keys: maximum number of keys bound as an owner.
    :raises ValueError: if the limits are inconsistent.
    """

    lifetime_ms: int = 60_000
    keep_ms: int = 600_000
    run_ms: int = 10_000
    forward_ms: int = 12_000
    most_tickets: int = 10_000
    most_forwards: int = 1_000
    most_waiters: int = 16
    most_result_bytes: int = 65_536
    most_kept_bytes: int = 33_554_432
    key_window_ms: int = 600_000
    key_claim_ms: int = 1_000
    most_keys: int = 10_000

    def __post_init__(self):
        if self.key_window_ms < self.lifetime_ms + self.run_ms:
            raise ValueError("key_window_ms must cover lifetime_ms and run_ms")
        if self.forward_ms <= self.run_ms:
            raise ValueError("forward_ms must be longer than run_ms")
