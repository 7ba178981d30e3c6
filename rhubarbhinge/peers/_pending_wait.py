"""A wait for changes of the published state that has not ended yet."""

from collections.abc import Callable

from rhubarbhinge.published import Changes, ReadFailure, Snapshot
from rhubarbhinge.utils.revision import Revision

OnOutcome = Callable[[Changes | Snapshot | ReadFailure], None]
"""Called with the outcome of a wait."""


class PendingWait:
    """A wait for changes of the published state that has not ended yet.

    :param after_revision: the revision after which changes are wanted.
    :param on_done: called with the outcome.
    :ivar cancel: cancels the pending call or timer.
    :ivar is_question: whether the platform is asked for an answer at once.
    """

    __slots__ = ("after_revision", "on_done", "cancel", "is_question")

    def __init__(self, after_revision: Revision, on_done: OnOutcome):
        self.after_revision = after_revision
        self.on_done = on_done
        self.cancel: Callable[[], None] = _do_nothing
        self.is_question = False


def _do_nothing() -> None:
    pass
