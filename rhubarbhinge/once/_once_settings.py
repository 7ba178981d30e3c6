"""Bounds of the books of tickets and keys."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OnceSettings:
    """Bounds of the books of tickets and keys.

    :param lifetime_ms: how long a ticket can be used, from its minting.
    :param keep_ms: how long a ticket's outcome is kept after its expiry.
    :param run_ms: longest time of a run, from its start to its outcome.
    :param forward_ms: how long another entry is waited for; longer than ``run_ms``.
    :param most_tickets: tickets held at once; one more is refused.
    :param most_forwards: calls to other entries at once; one more is answered as unknown.
    :param most_waiters: requests that wait for one run at once.
    :param most_result_bytes: longest result that is kept.
    :param most_kept_bytes: all results that are kept at once.
    :param key_window_ms: time over which a key stays bound; not below ``lifetime_ms``.
    :param key_claim_ms: how long an owner of a key is waited for.
    :param most_keys: keys held at once as an owner.
    :raises ValueError: if a bound contradicts another.
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
