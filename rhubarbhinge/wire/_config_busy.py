"""Refusal of a pull for want of bandwidth (peer link)."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConfigBusy:
    """The sender's transfer allowance is used up: ask another peer.

    :param key: the key that was asked for.
    :param retry_after_ms: time after which this peer may be asked again.
    """

    key: str
    retry_after_ms: int
