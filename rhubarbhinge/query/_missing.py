"""A range that an answer does not cover."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Missing:
    """A range that an answer does not cover.

    :param lo: first key.
    :param hi: key after the last.
    :param records: records within, None where nobody announces them.
    :param why: ``no-replica``, ``deadline``, ``shed``, ``broken``, ``lost``, ``draining``,
        ``version-gone``, ``range-moved`` or ``queue-full``.
    """

    lo: int
    hi: int
    records: int | None
    why: str
