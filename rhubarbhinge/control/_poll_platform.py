"""Effect: call the platform once."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PollPlatform:
    """``GET /v1/config/<key>?after=<after_revision>&wait_ms=<wait_ms>``.

    :param key: ``register``, ``rules`` or ``vms``.
    :param after_revision: highest revision that need not be sent again.
    :param wait_ms: how long the platform may hold the call.
    """

    key: str
    after_revision: int
    wait_ms: int
