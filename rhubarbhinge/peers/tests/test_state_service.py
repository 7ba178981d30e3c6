"""Responses of the state service to arbitrary requests."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from rhubarbhinge.fleet import Fleet, Searcher
from rhubarbhinge.members import Member, Membership, PublishedStatus
from rhubarbhinge.peers import LoanLog, LoanService, decode_state
from rhubarbhinge.peers._known_state import PLAN_PARAMETER, SEARCHERS_PARAMETER
from rhubarbhinge.peers._paths import CHANGES_PATH, MEMBERS_PATH, RETRY_LOANS_PATH, STATE_PATH
from rhubarbhinge.peers._state_service import StateService
from rhubarbhinge.peers.tests.state_sharing import ScriptedSource
from rhubarbhinge.plans import CallerLimits, ServingPlan
from rhubarbhinge.published import Changes, Follower, Snapshot
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.testing_revisions import make_revision
from rhubarbhinge.utils.testing_values import FUZZ_SETTINGS
from rhubarbhinge.web import Request, Responder, Response

ODD_NUMBERS = st.sampled_from(
    ["", "-1", "0", "1", "\u00b2", "\u0661", "9" * 18, "9" * 5_000, "1e3"]
)
PARAMETERS = ("log", "after", PLAN_PARAMETER, SEARCHERS_PARAMETER)


class StateServiceTest(unittest.TestCase):
    def setUp(self):
        self.timers = FakeTimers()
        source = ScriptedSource()
        fleet = Fleet(self.timers.now_ms, lambda observed: None)
        self.source = source
        self.follower = Follower(self.timers, source, fleet, random.Random(1), lambda plan: None)
        membership = Membership(
            self.timers,
            Member("vm-1", "10.0.0.1", "hall-a", 1),
            (),
            random.Random(1),
            lambda ip, heartbeat: None,
            lambda: PublishedStatus(make_revision(0), -1.0),
        )
        self.service = StateService(self.timers, self.follower, membership, lambda: True)
        self.follower.start()
        plan = ServingPlan(7, (), {}, CallerLimits())
        source.callback(
            Snapshot(make_revision(5), plan, (Searcher("i-1", "s", "10.0.0.9", 80, "hall-a", 2),))
        )

    def get(self, path: str, query: dict[str, str]) -> Response:
        responses: list[Response] = []
        request = Request("GET", path, query, {}, b"", "10.0.0.2", path, ())
        self.service.answer(request, Responder(responses.append))
        self.timers.advance(5_000.0)
        (response,) = responses
        return response

    @FUZZ_SETTINGS
    @given(
        st.sampled_from([STATE_PATH, CHANGES_PATH, MEMBERS_PATH, "/other"]),
        st.dictionaries(st.sampled_from(PARAMETERS), ODD_NUMBERS | st.text(max_size=6)),
    )
    def test_any_query_gets_a_response(self, path, query):
        response = self.get(path, query)
        self.assertEqual(response.status, 404 if path == "/other" else 200)
        if path in (STATE_PATH, CHANGES_PATH):
            self.assertEqual(decode_state(response.body).state.revision, make_revision(5))

    def test_long_poll_at_latest_position_returns_no_changes(self):
        log = self.follower.log
        query = {"log": log.id, "after": str(log.position)}
        received = decode_state(self.get(CHANGES_PATH, query).body)
        self.assertEqual((received.state.searchers, received.position), ((), log.position))

    def test_long_poll_ends_when_the_platform_confirms_the_state(self):
        log = self.follower.log
        query = {"log": log.id, "after": str(log.position)}
        responses: list[Response] = []
        request = Request("GET", CHANGES_PATH, query, {}, b"", "10.0.0.2", CHANGES_PATH, ())
        self.service.answer(request, Responder(responses.append))
        self.timers.advance(700.0)
        self.assertEqual(responses, [])
        self.source.callback(Changes(make_revision(5)))
        self.timers.advance(0.0)
        state = decode_state(responses[0].body).state
        self.assertEqual((state.age_ms, state.revision), (0.0, make_revision(5)))

    def test_loans_are_answered_only_where_an_entry_lends(self):
        """Guards against an answer other than 404 by which others tell that nothing is lent."""
        self.assertEqual(self.get(RETRY_LOANS_PATH, {"service": "s"}).status, 404)
        self.service._loans = LoanService(
            lambda service: 3, lambda service: True, lambda ip: ip, LoanLog(self.timers.now_ms)
        )
        self.assertEqual(self.get(RETRY_LOANS_PATH, {"service": "s"}).status, 405)
