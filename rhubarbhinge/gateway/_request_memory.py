"""Memory for requests of callers."""

from rhubarbhinge.plans import CallerLimits
from rhubarbhinge.telemetry import log_event

MEMORY_FRACTION = 1 / 4
"""Fraction of the VM's memory for the bodies of requests. A body takes twice its size while its
pieces are joined; replies and responses may take a further eighth."""
DEFAULT_LIMIT_BYTES = 128_000_000
"""Limit if the VM's memory is unknown."""


def request_memory_bytes(memory_bytes: int) -> int:
    """Return the memory for all requests that are received or in progress.

    :param memory_bytes: memory of the VM; 0 if it is unknown.
    :returns: the number of bytes.
    """
    return int(memory_bytes * MEMORY_FRACTION) or DEFAULT_LIMIT_BYTES


def warn_if_too_small(limits: CallerLimits, memory_bytes: int) -> None:
    """Log if the configuration allows a request that does not fit into the memory for requests.

    :param limits: the configuration's limits.
    :param memory_bytes: memory of the VM; 0 if it is unknown.
    """
    available_bytes = request_memory_bytes(memory_bytes)
    if limits.body_bytes > available_bytes:
        log_event(
            "limits-exceed-memory",
            level="warning",
            max_body_bytes=limits.body_bytes,
            available_bytes=available_bytes,
            memory_bytes=memory_bytes,
        )
