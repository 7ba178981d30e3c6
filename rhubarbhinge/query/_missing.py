"""A range that an answer does not cover."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Missing:
    """A range that an answer does not cover.

    :param lo: first key.
    :param hi: key after the last.
    :param records: records within, None where nobody announces them.
    :param why: ``no-replica``, ``deadline``, ``shed``, ``broken``, ``lost``, ``draining``,
        ``version-gone``, ``range-moved``, ``queue-full`` or ``not-asked`` (the rest cannot meet
        the class).
    """

    lo: int
    hi: int
    records: int | None
    why: str
