"""HTTP endpoints for the load balancer and for operators."""

from collections.abc import Callable

from rhubarbhinge.gateway._entry_metrics import EntryMetrics
from rhubarbhinge.telemetry import CONTENT_TYPE, Metrics
from rhubarbhinge.web import Request, Responder, Response, error_response

METRICS_PATH = "/metrics"

RequestCallback = Callable[[Request, Responder], None]


def readiness_handler(path: Callable[[], str], is_ready: Callable[[], bool]) -> RequestCallback:
    """Create the handler of the load balancer's readiness checks.

    :param path: returns the path of the readiness check.
    :param is_ready: returns whether the entry is ready to serve callers.
    :returns: the request handler.
    """

    def handle(request: Request, responder: Responder) -> None:
        if request.path != path():
            responder.answer(_not_found(request))
        else:
            responder.answer(Response(200 if is_ready() else 503))

    return handle


def metrics_handler(metrics: Metrics, entry_metrics: EntryMetrics) -> RequestCallback:
    """Create the handler of requests for metrics.

    :param metrics: the metrics.
    :param entry_metrics: updates the metrics that are collected on request.
    :returns: the request handler.
    """

    def handle(request: Request, responder: Responder) -> None:
        if request.path != METRICS_PATH:
            responder.answer(_not_found(request))
            return
        entry_metrics.update(metrics)
        responder.answer(Response(200, metrics.render(), content_type=CONTENT_TYPE))

    return handle


def _not_found(request: Request) -> Response:
    return error_response(
        404, "no-such-path", f"There is no {request.path[:80]} here.", "See docs/OPERATIONS.md."
    )
