"""Sub-queries that are no longer wanted."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CancelBatch:
    """Sub-queries that an entry gives up; the tuples stand side by side.

    :param call_ids: the calls.
    :param parts: part numbers within the calls.
    :param attempts: attempt numbers within the parts.
    """

    call_ids: tuple[int, ...]
    parts: tuple[int, ...]
    attempts: tuple[int, ...]
