"""What an entry has, so that others tell it no more than what it lacks."""

from msgspec import Struct

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.plans import ServingPlan
from rhubarbhinge.published import Follower
from rhubarbhinge.utils.revision import NO_REVISION, Revision

PLAN_PARAMETER = "plan"
"""Parameter that tells the version of the configuration."""
SEARCHERS_PARAMETER = "searchers"
"""Parameter that tells the digest of the searchers."""


class KnownState(Struct, frozen=True):
    """What an entry has of the published state.

    :param plan: its configuration; None when it has none.
    :param searchers: its searchers.
    :param searchers_digest: their digest; empty when it has none.
    :param revision: its revision.
    """

    plan: ServingPlan | None = None
    searchers: tuple[Searcher, ...] = ()
    searchers_digest: str = ""
    revision: Revision = NO_REVISION

    @classmethod
    def of(cls, follower: Follower) -> "KnownState":
        """Tell what an entry has.

        :param follower: knows the published state.
        :returns: what it has.
        """
        state = follower.snapshot()
        return cls(state.plan, state.searchers, follower.searchers_digest(), state.revision)

    def parameters(self) -> list[str]:
        """Tell it as parameters of a query.

        :returns: the parameters.
        """
        plan = [] if self.plan is None else [f"{PLAN_PARAMETER}={self.plan.version}"]
        digest = self.searchers_digest
        return plan + ([f"{SEARCHERS_PARAMETER}={digest}"] if digest else [])


NOTHING_KNOWN = KnownState()
