"""Dependencies shared by all requests of a gateway."""

import random
from collections.abc import Callable

from msgspec import Struct

from rhubarbhinge.forward import CallContext, Dialect
from rhubarbhinge.gateway._answer_lead_time import AnswerLeadTime
from rhubarbhinge.gateway._forward_admission import ForwardAdmission
from rhubarbhinge.gather import ShardDelegation
from rhubarbhinge.published import Follower
from rhubarbhinge.quarantine import Quarantine
from rhubarbhinge.telemetry import Metrics


class GatewayDependencies(Struct, frozen=True):
    """Dependencies shared by all requests of a gateway.

    :param context: timers, searchers, retry budget and connections.
    :param dialect: translates the messages of callers and searchers.
    :param follower: provides the current plan.
    :param metrics: receives latencies and refusals.
    :param rng: adds jitter to retry delays and samples requests for the log.
    :param delegation: delegates shards to other entries.
    :param lead_time: estimates how long before its due time an answer has to be started.
    :param balancer_delay_ms: returns the time until the load balancer sends callers to other
        entries, or 0 if it does not.
    :param quarantine: tracks requests that crash the searchers executing them.
    :param admission: admission control of forwarded requests; None admits all.
    :param is_buffer_full: returns whether so much is buffered for slow readers that new requests
        are refused.
    """

    context: CallContext
    dialect: Dialect
    follower: Follower
    metrics: Metrics
    rng: random.Random
    delegation: ShardDelegation
    lead_time: AnswerLeadTime
    balancer_delay_ms: Callable[[], float]
    quarantine: Quarantine
    admission: ForwardAdmission | None = None
    is_buffer_full: Callable[[], bool] = lambda: False
