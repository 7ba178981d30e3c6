"""Interface of clients of the platform that publishes the state."""

from collections.abc import Callable
from typing import Protocol

from rhubarbhinge.published._changes import Changes
from rhubarbhinge.published._read_failure import ReadFailure
from rhubarbhinge.published._snapshot import Snapshot
from rhubarbhinge.utils.revision import Revision


class PlatformClient(Protocol):
    """Reads the published state from the platform; only one read may be pending at a time."""

    def read_all(
        self, on_done: Callable[[Snapshot | ReadFailure], None], allow_stale: bool = False
    ) -> None:
        """Read the full state.

        :param on_done: called once with the outcome.
        :param allow_stale: whether it may be some seconds old, and then has no known age.
        """

    def wait_for_changes(
        self,
        after_revision: Revision,
        wait_ms: float,
        timeout_ms: float,
        on_done: Callable[[Changes | ReadFailure], None],
    ) -> Callable[[], None]:
        """Wait for changes.

        :param after_revision: the revision after which changes are wanted.
        :param wait_ms: time after which the platform answers even without changes; 0 for an answer
            at once.
        :param timeout_ms: time after which the read fails.
        :param on_done: called with the outcome, unless the wait is cancelled.
        :returns: cancels the wait, and closes its connection.
        """
