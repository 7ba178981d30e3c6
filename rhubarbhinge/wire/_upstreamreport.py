"""A relay's report of its searchers' load."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Load of the searchers that a relay owns; the tuples stand side by side.

    :param upstream_ids: the searchers.
    :param states: :class:`UpstreamState` values.
    :param queued: sub-queries that wait at the relay.
    :param in_flight: sub-queries sent and not answered.
    :param slots: how many the relay sends at once.
    :param relay_now_ms: the relay's clock when it sent the report; entries state the deadlines of
        runs by it.
    """

    upstream_ids: tuple[int, ...]
    states: tuple[int, ...]
    queued: tuple[int, ...]
    in_flight: tuple[int, ...]
    slots: tuple[int, ...]
    relay_now_ms: int = 0
