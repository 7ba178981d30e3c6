"""Faults of a document and the result of checking it."""

from dataclasses import dataclass
from typing import Generic, TypeVar

MAX_LISTED_FAULTS = 100
"""Maximum number of faults listed in one result; to keep reports short, others are only counted."""

MAX_COUNTED_FAULTS = 1_000
"""Number of faults at which checking stops, so that an invalid document cannot block a process."""

T = TypeVar("T")


class TooManyFaults(Exception):
    """Raised at `MAX_COUNTED_FAULTS` faults to stop checking; `check_document` catches it."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a document.

    :param place: Path of the field, such as ``collections[3].shards[0].lo``.
    :param code: Stable identifier, such as ``unknown-field``.
    :param message: What is wrong, in one sentence.
    :param todo: What to change, in one sentence.
    """

    place: str
    code: str
    message: str
    todo: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}" if self.place else self.message


@dataclass(frozen=True, slots=True)
class Checked(Generic[T]):
    """The result of a check: the accepted value, or the faults found.

    :param value: The accepted value; ``None`` when there are faults.
    :param faults: The first `MAX_LISTED_FAULTS` faults, in the order of the documented fields.
    :param more_faults: Number of further faults that are not listed; counting stops at
        `MAX_COUNTED_FAULTS` faults in total.
    """

    value: T | None
    faults: tuple[Fault, ...] = ()
    more_faults: int = 0

    @property
    def ok(self) -> bool:
        """Whether the value was accepted."""
        return self.value is not None and not self.faults


class FaultLog:
    """Collects faults up to `MAX_LISTED_FAULTS` and counts the rest.

    :param max_counted: Number of faults at which `add` raises; ``None`` for no limit.
    """

    def __init__(self, max_counted: int | None = None) -> None:
        self._max_counted = max_counted
        self._faults: list[Fault] = []
        self._count = 0

    @property
    def count(self) -> int:
        """Number of faults found, listed or not."""
        return self._count

    def add(self, place: str, code: str, message: str, todo: str) -> None:
        """Record one fault.

        :param place: Path of the field.
        :param code: Stable code.
        :param message: What is wrong.
        :param todo: What to change.
        :raises TooManyFaults: If a limit was given and is reached.
        """
        self._count += 1
        if self._count == self._max_counted:
            raise TooManyFaults
        if len(self._faults) < MAX_LISTED_FAULTS:
            self._faults.append(Fault(place or "document", code, message, todo))

    def faults(self) -> tuple[Fault, ...]:
        """Return the listed faults.

        :returns: At most `MAX_LISTED_FAULTS` faults.
        """
        return tuple(self._faults)

    def result(self, value: T | None) -> Checked[T]:
        """Return the result of the check.

        :param value: The value to accept if no fault was found; ``None`` if there is none.
        :returns: The result.
        """
        if self._count or value is None:
            return Checked(None, self.faults(), self._count - len(self._faults))
        return Checked(value)
