"""What the balancer and operators ask an entry."""

from collections.abc import Callable

from rhubarbhinge.gateway._entry_metrics import EntryMetrics
from rhubarbhinge.telemetry import CONTENT_TYPE, Metrics
from rhubarbhinge.web import Request, Responder, Response, error_response

METRICS_PATH = "/metrics"

RequestCallback = Callable[[Request, Responder], None]


def readiness_handler(path: Callable[[], str], is_ready: Callable[[], bool]) -> RequestCallback:
    """Answer whether callers may be sent here.

    :param path: gives the path that the balancer asks for.
    :param is_ready: tells whether they may.
    :returns: handles requests.
    """

    def handle(request: Request, responder: Responder) -> None:
        if request.path != path():
            responder.answer(_not_found(request))
        else:
            responder.answer(Response(200 if is_ready() else 503))

    return handle


def metrics_handler(metrics: Metrics, entry_metrics: EntryMetrics) -> RequestCallback:
    """Answer with all metrics.

    :param metrics: the metrics.
    :param figures: what is read when they are asked for.
    :returns: handles requests.
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
