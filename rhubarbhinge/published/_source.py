"""Where published state is read from."""

from collections.abc import Callable
from typing import Protocol

from rhubarbhinge.published._changes import Changes
from rhubarbhinge.published._read_fault import ReadFault
from rhubarbhinge.published._snapshot import Snapshot
from rhubarbhinge.utils.revision import Revision


class Source(Protocol):
    """Reads what the platform publishes; one read at a time."""

    def read_all(self, on_done: Callable[[Snapshot | ReadFault], None]) -> None:
        """Read everything; a first list may be some seconds old, and its age is not known then.

        :param on_done: told the outcome, once and later.
        """

    def ask_for_all(self) -> None:
        """Have the next wait bring everything, or the fault that all has to be listed."""

    def wait_for_changes(
        self, after_revision: Revision, on_done: Callable[[Changes | Snapshot | ReadFault], None]
    ) -> None:
        """Wait until something changes, within a bound.

        :param after_revision: changes after it are told.
        :param on_done: told the outcome, once and later; no changes when the bound is over, and
            everything when the changes alone are not known.
        """
