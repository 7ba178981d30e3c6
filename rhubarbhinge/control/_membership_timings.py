"""Timing constants of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipTimings:
    """Periods, timeouts and bounds; the defaults fit round trips of a few milliseconds.

    :param probe_interval_ms: period of the direct probes.
    :param probe_timeout_ms: wait for a direct answer, and again for an indirect one.
    :param suspicion_ms: how long a suspected member may refute, per tenfold of the fleet.
    :param indirect_probes: how many members are asked to probe on one's behalf.
    :param links_per_domain: how many members of each other failure domain are followed.
    :param reserve_per_domain: candidates kept for each other failure domain.
    :param retry_dead_every: each so many intervals, a dead or unconfirmed member is probed.
    :param page_interval_ms: period at which one page of another's member list is pulled.
    :param forget_dead_ms: dead members are kept this long, so that a split of hours heals.
    :param pause_ms: a gap between ticks above this is a pause of this process.
    """

    probe_interval_ms: int = 1_000
    probe_timeout_ms: int = 300
    suspicion_ms: int = 2_500
    indirect_probes: int = 3
    links_per_domain: int = 8
    reserve_per_domain: int = 32
    retry_dead_every: int = 3
    page_interval_ms: int = 5_000
    forget_dead_ms: int = 7_200_000
    pause_ms: int = 400
