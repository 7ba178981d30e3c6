"""Interface of sources of the published state."""

from collections.abc import Callable
from typing import Protocol

from rhubarbhinge.published._changes import Changes
from rhubarbhinge.published._read_failure import ReadFailure
from rhubarbhinge.published._snapshot import Snapshot
from rhubarbhinge.utils.revision import Revision


class StateSource(Protocol):
    """Reads the published state; only one read may be pending at a time."""

    def read_all(self, on_done: Callable[[Snapshot | ReadFailure], None]) -> None:
        """Read the full state. The first list may be some seconds stale, and then has no known age.

        :param on_done: called once with the outcome, after this method has returned.
        """

    def confirm(self) -> None:
        """Ask the platform at once, on a new connection, in place of a wait that is pending."""

    def request_full_state(self) -> None:
        """Make the next wait return the full state, or the failure that it has to be listed."""

    def wait_for_changes(
        self, after_revision: Revision, on_done: Callable[[Changes | Snapshot | ReadFailure], None]
    ) -> None:
        """Wait for changes, for a limited time.

        :param after_revision: the revision after which changes are wanted.
        :param on_done: called once with the outcome, after this method has returned: no changes
            when the time is over, the full state when the changes alone are not known.
        """
