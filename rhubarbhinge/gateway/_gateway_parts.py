"""What the requests of a gateway share."""

import random
from collections.abc import Callable

from msgspec import Struct

from rhubarbhinge.forward import CallContext, Dialect
from rhubarbhinge.gateway._answer_lead import AnswerLead
from rhubarbhinge.gather import FarSearch
from rhubarbhinge.published import Follower
from rhubarbhinge.quarantine import Quarantine
from rhubarbhinge.telemetry import Metrics


class GatewayParts(Struct, frozen=True):
    """What the requests of a gateway share.

    :param context: timers, searchers, budget and connections.
    :param dialect: translates messages.
    :param follower: knows the plan.
    :param metrics: counts.
    :param rng: spreads what is said to callers.
    :param far: how other entries are asked for the shards near them.
    :param lead: how long before they are due answers have to be begun.
    :param moving_ms: gives the time until callers are sent to other entries, 0 when they aren't.
    :param quarantine: which requests end the searchers that execute them.
    """

    context: CallContext
    dialect: Dialect
    follower: Follower
    metrics: Metrics
    rng: random.Random
    far: FarSearch
    lead: AnswerLead
    moving_ms: Callable[[], float]
    quarantine: Quarantine
