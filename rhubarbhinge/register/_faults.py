"""What is wrong with a document, as values."""

from dataclasses import dataclass
from typing import Generic, TypeVar

MOST_FAULTS = 100
"""Faults that one verdict lists; further ones are only counted, so that reports stay readable."""

MOST_COUNTED_FAULTS = 1_000
"""Faults after which checking ends, so that a spoilt document can't hold a process up."""

T = TypeVar("T")


class TooManyFaults(Exception):
    """Checking came to `MOST_COUNTED_FAULTS`; caught where the verdict is made."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a document.

    :param place: Path of the field, such as ``collections[3].shards[0].lo``.
    :param code: Stable code, such as ``unknown-field``.
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
    """A verdict: a value, or the faults that kept it from being accepted.

    :param value: The accepted value; ``None`` when there are faults.
    :param faults: The first `MOST_FAULTS` faults, in the order of the document's description.
    :param more_faults: How many further faults were found and not listed; counting ends where
        there are `MOST_COUNTED_FAULTS` in all.
    """

    value: T | None
    faults: tuple[Fault, ...] = ()
    more_faults: int = 0

    @property
    def ok(self) -> bool:
        """Whether the value was accepted."""
        return self.value is not None and not self.faults


class FaultLog:
    """Collects faults up to `MOST_FAULTS` and counts the rest.

    :param most_counted: Number of faults at which `add` raises; by default it never does.
    """

    def __init__(self, most_counted: int | None = None) -> None:
        self._most_counted = most_counted
        self._faults: list[Fault] = []
        self._count = 0

    @property
    def count(self) -> int:
        """How many faults were found, listed or not."""
        return self._count

    def add(self, place: str, code: str, message: str, todo: str) -> None:
        """Record one fault.

        :param place: Path of the field.
        :param code: Stable code.
        :param message: What is wrong.
        :param todo: What to change.
        :raises TooManyFaults: When a limit was given and is reached.
        """
        self._count += 1
        if self._count == self._most_counted:
            raise TooManyFaults
        if len(self._faults) < MOST_FAULTS:
            self._faults.append(Fault(place or "document", code, message, todo))

    def faults(self) -> tuple[Fault, ...]:
        """Give the listed faults.

        :returns: At most `MOST_FAULTS` faults.
        """
        return tuple(self._faults)

    def verdict(self, value: T | None) -> Checked[T]:
        """Close the log.

        :param value: The value to accept if no fault was found.
        :returns: The verdict.
        """
        if self._count or value is None:
            return Checked(None, self.faults(), self._count - len(self._faults))
        return Checked(value)
