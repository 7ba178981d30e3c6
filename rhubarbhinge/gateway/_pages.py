"""What the balancer and operators ask an entry."""

from collections.abc import Callable

from rhubarbhinge.gateway._figures import EntryFigures
from rhubarbhinge.telemetry import CONTENT_TYPE, Metrics
from rhubarbhinge.web import Request, Responder, Response, error_response

METRICS_PATH = "/metrics"

Page = Callable[[Request, Responder], None]


def readiness_page(path: Callable[[], str], is_ready: Callable[[], bool]) -> Page:
    """Answer whether callers may be sent here.

    :param path: gives the path that the balancer asks for.
    :param is_ready: tells whether they may.
    :returns: handles requests.
    """

    def handle(request: Request, responder: Responder) -> None:
        if request.path != path():
            responder.answer(_no_such_page(request))
        else:
            responder.answer(Response(200 if is_ready() else 503))

    return handle


def metrics_page(metrics: Metrics, figures: EntryFigures) -> Page:
    """Answer with all metrics.

    :param metrics: the metrics.
    :param figures: what is read when they are asked for.
    :returns: handles requests.
    """

    def handle(request: Request, responder: Responder) -> None:
        if request.path != METRICS_PATH:
            responder.answer(_no_such_page(request))
            return
        figures.show(metrics)
        responder.answer(Response(200, metrics.render(), content_type=CONTENT_TYPE))

    return handle


def _no_such_page(request: Request) -> Response:
    return error_response(
        404, "no-such-path", f"There is no {request.path[:80]} here.", "See docs/OPERATIONS.md."
    )
