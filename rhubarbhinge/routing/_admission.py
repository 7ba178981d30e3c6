"""Admission control for requests that arrive at a relay."""

from math import ceil

from rhubarbhinge.routing._refusal import Refusal
from rhubarbhinge.routing._upstream import Upstream
from rhubarbhinge.wire import SubCode


def check_admission(
    upstream: Upstream | None, weight: int, due_ms: int, now_ms: int
) -> Refusal | None:
    """Decide whether to refuse a request on arrival, so that its entry can try a replica in time.

    :param upstream: the searcher's state, None if it is not known.
    :param weight: the weight of the request's class.
    :param due_ms: time by which the relay needs the response.
    :param now_ms: current time in ms.
    :returns: the refusal, or None if the request is admitted.
    """
    if upstream is None or not upstream.owned:
        return Refusal(int(SubCode.WRONG_RECEIVER))
    left_ms = due_ms - now_ms - upstream.policy.upstream_margin_ms
    if left_ms > 0 and upstream.in_flight < upstream.allowed and upstream.pool.idle:
        return None
    if upstream.drain.draining:
        return Refusal(int(SubCode.DRAINING))
    if left_ms <= 0:
        return Refusal(int(SubCode.DEADLINE))
    return _queue_refusal(upstream, weight, left_ms, now_ms)


def _queue_refusal(upstream: Upstream, weight: int, left_ms: int, now_ms: int) -> Refusal | None:
    min_retry_after_ms = upstream.policy.least_retry_after_ms
    refused_ms = upstream.pool.refused_wait_ms(now_ms)
    if refused_ms is not None:
        return Refusal(int(SubCode.LOST), max(min_retry_after_ms, refused_ms))
    if not upstream.policy.early_refusal:
        return None
    late_ms = ceil(upstream.wait_ms(weight, now_ms) - left_ms)
    if upstream.queue.count >= upstream.policy.queue_limit:
        late_ms = max(late_ms, ceil(upstream.service_ms))
    if late_ms <= 0:
        return None
    return Refusal(int(SubCode.QUEUE_FULL), max(min_retry_after_ms, late_ms))
