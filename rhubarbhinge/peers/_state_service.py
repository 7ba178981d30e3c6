"""HTTP service for other entries: published state, its changes, members, and retry budget."""

from collections.abc import Callable

from msgspec import Struct

from rhubarbhinge.members import Membership, encode_members
from rhubarbhinge.peers._known_state import PLAN_PARAMETER, SEARCHERS_PARAMETER
from rhubarbhinge.peers._loan_service import LoanService
from rhubarbhinge.peers._paths import CHANGES_PATH, MEMBERS_PATH, RETRY_LOANS_PATH, STATE_PATH
from rhubarbhinge.peers._state_codec import encode_state
from rhubarbhinge.published import Changes, Follower, Snapshot
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.whole_number import parse_whole_number
from rhubarbhinge.web import Request, Responder, Response, error_response

MAX_DIGITS = 19
"""Longest number in a query; enough for any plan version."""


class _RequesterState(Struct, frozen=True):
    """The state that the requesting entry already has.

    :param log_id: id of the log that it follows; empty for none.
    :param position: position in that log up to which it has the changes.
    :param plan_version: version of its serving plan; -1 for none.
    :param searchers: digest of its searchers; empty if not given.
    """

    log_id: str
    position: int
    plan_version: int
    searchers: str


class _LongPoll(Struct, frozen=True, eq=False):
    """A pending request for changes."""

    responder: Responder
    requester: _RequesterState


class StateService:
    """Answers requests of other entries.

    :param timers: the timer service.
    :param follower: follows the published state.
    :param membership: the members of the fleet.
    :param reads_platform: returns whether this entry successfully reads the platform itself.
    :param loans: lends retry budget; None if this entry lends none.
    :ivar leaving: whether this entry is stopping, so that others have to follow another one.
    """

    def __init__(
        self,
        timers: TimerService,
        follower: Follower,
        membership: Membership,
        reads_platform: Callable[[], bool],
        loans: LoanService | None = None,
    ):
        self._timers = timers
        self._follower = follower
        self._membership = membership
        self._reads_platform = reads_platform
        self._loans = loans
        self._long_polls: list[_LongPoll] = []
        self._is_scheduled = False
        self.leaving = False
        follower.on_update = self._schedule_answers

    def answer(self, request: Request, responder: Responder) -> None:
        """Answer a request.

        :param request: the request.
        :param responder: sends the response.
        """
        if request.path == STATE_PATH:
            responder.answer(
                self._state_response(self._follower.snapshot(), _requester_state(request))
            )
        elif request.path == CHANGES_PATH:
            self._answer_changes(request, responder)
        elif request.path == MEMBERS_PATH:
            known = (*self._membership.table.all(), self._membership.me)
            responder.answer(Response(200, encode_members(known)))
        elif request.path == RETRY_LOANS_PATH and self._loans is not None:
            self._loans.answer(request, responder)
        else:
            responder.answer(
                error_response(404, "no-such-path", "Only entries call here.", "Use another port.")
            )

    def _state_response(self, state: Snapshot | Changes, requester: _RequesterState) -> Response:
        """Encode a state without the parts that the requesting entry already has."""
        log = self._follower.log
        is_full = isinstance(state, Snapshot)
        same_searchers = is_full and requester.searchers == self._follower.searchers_digest() != ""
        base_plan = None if state.plan is None else log.find_plan(requester.plan_version)
        return Response(200, encode_state(state, log.id, log.position, base_plan, same_searchers))

    def _answer_changes(self, request: Request, responder: Responder) -> None:
        if not self._reads_platform() or self.leaving:
            message = "This entry does not read the platform itself."
            responder.answer(error_response(503, "no-reader", message, "Ask the platform."))
            return
        log = self._follower.log
        requester = _requester_state(request)
        if (requester.log_id, requester.position) == (log.id, log.position):
            long_poll = _LongPoll(responder, requester)
            self._long_polls.append(long_poll)
            wait_ms = self._follower.freshness.confirm_within_ms
            self._timers.after(wait_ms, lambda: self._on_timeout(long_poll))
        else:
            responder.answer(self._changes_response(requester))

    def _schedule_answers(self) -> None:
        """Answer long polls, once for all changes and confirmations of this loop iteration."""
        if self._long_polls and not self._is_scheduled:
            self._is_scheduled = True
            self._timers.after(0, self._answer_long_polls)

    def _answer_long_polls(self) -> None:
        """Answer all long polls; most have the same state and share one encoded response."""
        self._is_scheduled = False
        long_polls, self._long_polls = self._long_polls, []
        responses: dict[_RequesterState, Response] = {}
        for long_poll in long_polls:
            if long_poll.requester not in responses:
                responses[long_poll.requester] = self._changes_response(long_poll.requester)
            long_poll.responder.answer(responses[long_poll.requester])

    def _on_timeout(self, long_poll: _LongPoll) -> None:
        if long_poll in self._long_polls:
            self._long_polls.remove(long_poll)
            long_poll.responder.answer(self._changes_response(long_poll.requester))

    def _changes_response(self, requester: _RequesterState) -> Response:
        return self._state_response(
            self._follower.changes_since(requester.log_id, requester.position), requester
        )


def _requester_state(request: Request) -> _RequesterState:
    query = request.query
    return _RequesterState(
        query.get("log", ""),
        _parse_number(query.get("after", "")),
        _parse_number(query.get(PLAN_PARAMETER, "")),
        query.get(SEARCHERS_PARAMETER, ""),
    )


def _parse_number(text: str) -> int:
    """Parse a number of a query; -1 if it is missing or invalid."""
    number = parse_whole_number(text, MAX_DIGITS)
    return -1 if number is None else number
