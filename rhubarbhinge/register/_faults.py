"""What is wrong with a document, as values."""

from dataclasses import dataclass
from typing import Generic, TypeVar

MOST_FAULTS = 100
"""Faults that one verdict lists; further ones are only counted, so that reports stay readable."""

T = TypeVar("T")


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


@dataclass(frozen=True, slots=True)
class Checked(Generic[T]):
    """A verdict: a value, or the faults that kept it from being accepted.

    :param value: The accepted value; ``None`` when there are faults.
    :param faults: The first `MOST_FAULTS` faults, in the order of the document's description.
    :param more_faults: How many further faults were found and not listed.
    """

    value: T | None
    faults: tuple[Fault, ...] = ()
    more_faults: int = 0

    @property
    def ok(self) -> bool:
        """Whether the value was accepted."""
        return self.value is not None and not self.faults


class FaultLog:
    """Collects faults up to `MOST_FAULTS` and counts the rest."""

    def __init__(self) -> None:
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
        """
        self._count += 1
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
