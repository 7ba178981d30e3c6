"""The state that an entry already has, so that peers need to send only what it lacks."""

from msgspec import Struct

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.plans import ServingPlan
from rhubarbhinge.published import Follower
from rhubarbhinge.utils.revision import NO_REVISION, Revision

PLAN_PARAMETER = "plan"
"""Query parameter with the version of the serving plan."""
SEARCHERS_PARAMETER = "searchers"
"""Query parameter with the digest of the searchers."""


class KnownState(Struct, frozen=True):
    """The part of the published state that an entry has.

    :param plan: its serving plan; None when it has none.
    :param searchers: its searchers.
    :param searchers_digest: their digest; empty when it has none.
    :param revision: its revision.
    """

    plan: ServingPlan | None = None
    searchers: tuple[Searcher, ...] = ()
    searchers_digest: str = ""
    revision: Revision = NO_REVISION

    @classmethod
    def from_follower(cls, follower: Follower) -> "KnownState":
        """Return the state that a follower has.

        :param follower: follows the published state.
        :returns: its state.
        """
        state = follower.snapshot()
        return cls(state.plan, state.searchers, follower.searchers_digest(), state.revision)

    def query_parameters(self) -> list[str]:
        """Return query parameters that describe this state to a peer.

        :returns: the parameters.
        """
        plan = [] if self.plan is None else [f"{PLAN_PARAMETER}={self.plan.version}"]
        digest = self.searchers_digest
        return plan + ([f"{SEARCHERS_PARAMETER}={digest}"] if digest else [])


NOTHING_KNOWN = KnownState()
