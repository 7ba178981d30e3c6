"""Answers to other entries: published state, its changes, and the list of entries."""

from collections.abc import Callable

from msgspec import Struct

from rhubarbhinge.members import Membership, encode_members
from rhubarbhinge.peers._known_state import PLAN_PARAMETER, SEARCHERS_PARAMETER
from rhubarbhinge.peers._paths import CHANGES_PATH, CHANGES_WAIT_MS, MEMBERS_PATH, STATE_PATH
from rhubarbhinge.peers._state_codec import encode_state
from rhubarbhinge.published import Changes, Follower, Snapshot
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.whole_number import parse_whole_number
from rhubarbhinge.web import Request, Responder, Response, error_response

MOST_DIGITS = 18
"""Longest number in a query; places in the log and versions have fewer."""


class _Place(Struct, frozen=True):
    """What an entry that asks has already.

    :param log_id: the log whose changes it follows; empty for none.
    :param position: up to where in the log it knows them.
    :param plan_version: version of its configuration; -1 for none.
    :param searchers: digest of its searchers; empty when it did not tell.
    """

    log_id: str
    position: int
    plan_version: int
    searchers: str


class _Waiting(Struct, frozen=True, eq=False):
    """An entry that waits for changes."""

    responder: Responder
    place: _Place


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
            responder.answer(self._state(self._follower.snapshot(), _place(request)))
        elif request.path == CHANGES_PATH:
            self._asked_for_changes(request, responder)
        elif request.path == MEMBERS_PATH:
            known = (*self._membership.table.all(), self._membership.me)
            responder.answer(Response(200, encode_members(known)))
        else:
            responder.answer(
                error_response(404, "no-such-path", "Only entries call here.", "Use another port.")
            )

    def _state(self, state: Snapshot | Changes, place: _Place) -> Response:
        """Tell state to an entry, without what it has already."""
        log = self._follower.log
        whole = isinstance(state, Snapshot)
        same_searchers = whole and place.searchers == self._follower.searchers_digest() != ""
        base_plan = None if state.plan is None else log.plan(place.plan_version)
        return Response(200, encode_state(state, log.id, log.position, base_plan, same_searchers))

    def _asked_for_changes(self, request: Request, responder: Responder) -> None:
        if not self._reads_platform() or self.leaving:
            message = "This entry does not read the platform itself."
            responder.answer(error_response(503, "no-reader", message, "Ask the platform."))
            return
        log = self._follower.log
        place = _place(request)
        if (place.log_id, place.position) == (log.id, log.position):
            waiting = _Waiting(responder, place)
            self._waiting.append(waiting)
            self._timers.after(CHANGES_WAIT_MS, lambda: self._tell_changes(waiting))
        else:
            responder.answer(self._changes(place))

    def _grown(self) -> None:
        """Tell those that wait, once for all changes of this turn."""
        if self._waiting and not self._telling:
            self._telling = True
            self._timers.after(0, self._tell_all)

    def _tell_all(self) -> None:
        """Tell all that wait; most are at the same place, for which the answer is made once."""
        self._telling = False
        all_waiting, self._waiting = self._waiting, []
        answers: dict[_Place, Response] = {}
        for waiting in all_waiting:
            if waiting.place not in answers:
                answers[waiting.place] = self._changes(waiting.place)
            waiting.responder.answer(answers[waiting.place])

    def _tell_changes(self, waiting: _Waiting) -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            waiting.responder.answer(self._changes(waiting.place))

    def _changes(self, place: _Place) -> Response:
        return self._state(self._follower.changes_since(place.log_id, place.position), place)


def _place(request: Request) -> _Place:
    query = request.query
    return _Place(
        query.get("log", ""),
        _number(query.get("after", "")),
        _number(query.get(PLAN_PARAMETER, "")),
        query.get(SEARCHERS_PARAMETER, ""),
    )


def _number(text: str) -> int:
    """Read a number of a query, -1 for none."""
    number = parse_whole_number(text, MOST_DIGITS)
    return -1 if number is None else number
