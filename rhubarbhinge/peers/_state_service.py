"""Answers to other entries: published state, its changes, and the list of entries."""

from collections.abc import Callable
from dataclasses import dataclass

from rhubarbhinge.members import Membership, encode_members
from rhubarbhinge.peers._paths import CHANGES_PATH, CHANGES_WAIT_MS, MEMBERS_PATH, STATE_PATH
from rhubarbhinge.peers._state_codec import encode_state
from rhubarbhinge.published import Changes, Follower, Snapshot
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import Request, Responder, Response, error_response


@dataclass(frozen=True, slots=True, eq=False)
class _Waiting:
    """An entry that waits for changes."""

    responder: Responder
    log_id: str
    position: int


class StateService:
    """Answers other entries.

    :param timers: the timer service.
    :param follower: knows the published state.
    :param membership: knows the entries.
    :param reads_platform: tells whether this entry reads the platform itself, with success.
    :ivar leaving: whether this entry is stopping, so that others are to follow another one.
    """

    def __init__(
        self,
        timers: TimerService,
        follower: Follower,
        membership: Membership,
        reads_platform: Callable[[], bool],
    ):
        self._timers = timers
        self._follower = follower
        self._membership = membership
        self._reads_platform = reads_platform
        self._waiting: list[_Waiting] = []
        self._telling = False
        self.leaving = False
        follower.on_changed = self._grown

    def answer(self, request: Request, responder: Responder) -> None:
        """Answer another entry.

        :param request: the request.
        :param responder: answers it.
        """
        if request.path == STATE_PATH:
            responder.answer(self._state(self._follower.snapshot()))
        elif request.path == CHANGES_PATH:
            self._asked_for_changes(request, responder)
        elif request.path == MEMBERS_PATH:
            known = (*self._membership.table.all(), self._membership.me)
            responder.answer(Response(200, encode_members(known)))
        else:
            responder.answer(
                error_response(404, "no-such-path", "Only entries call here.", "Use another port.")
            )

    def _state(self, state: Snapshot | Changes) -> Response:
        log = self._follower.log
        return Response(200, encode_state(state, log.id, log.position))

    def _asked_for_changes(self, request: Request, responder: Responder) -> None:
        if not self._reads_platform() or self.leaving:
            message = "This entry does not read the platform itself."
            responder.answer(error_response(503, "no-reader", message, "Ask the platform."))
            return
        log = self._follower.log
        after = request.query.get("after", "")
        position = int(after) if after.isdigit() else -1
        waiting = _Waiting(responder, request.query.get("log", ""), position)
        if waiting.log_id == log.id and waiting.position == log.position:
            self._waiting.append(waiting)
            self._timers.after(CHANGES_WAIT_MS, lambda: self._tell_changes(waiting))
        else:
            responder.answer(self._changes(waiting.log_id, waiting.position))

    def _grown(self) -> None:
        """Tell those that wait, once for all changes of this turn."""
        if self._waiting and not self._telling:
            self._telling = True
            self._timers.after(0, self._tell_all)

    def _tell_all(self) -> None:
        """Tell all that wait; most are at the same place, for which the answer is made once."""
        self._telling = False
        all_waiting, self._waiting = self._waiting, []
        answers: dict[tuple[str, int], Response] = {}
        for waiting in all_waiting:
            place = (waiting.log_id, waiting.position)
            if place not in answers:
                answers[place] = self._changes(*place)
            waiting.responder.answer(answers[place])

    def _tell_changes(self, waiting: _Waiting) -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            waiting.responder.answer(self._changes(waiting.log_id, waiting.position))

    def _changes(self, log_id: str, position: int) -> Response:
        return self._state(self._follower.changes_since(log_id, position))
