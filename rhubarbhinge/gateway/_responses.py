"""Answers of the entry's own."""

from http import HTTPStatus

from rhubarbhinge.web import Response, error_response


def refused(code: str, message: str, retry_after_ms: float) -> Response:
    """Refuse a request that was not executed and will not be.

    :param code: why, for programs.
    :param message: why, in a sentence.
    :param retry_after_ms: when to come back.
    :returns: the answer.
    """
    seconds = f"{retry_after_ms / 1e3:.3f}"
    return error_response(
        HTTPStatus.SERVICE_UNAVAILABLE,
        code,
        message + " The request was not run.",
        f"Send it again after {seconds} s.",
        (("Retry-After", seconds),),
    )


def unknown_route() -> Response:
    """Answer a request that no route takes.

    :returns: the answer.
    """
    return error_response(
        HTTPStatus.NOT_FOUND,
        "no-such-route",
        "No route takes this host and path.",
        "Check both; a route that was just added takes a few seconds to be in force.",
    )


def failed(code: str, message: str) -> Response:
    """Answer a request that may have been executed, and whose reply did not come.

    :param code: why, for programs.
    :param message: why, in a sentence.
    :returns: the answer.
    """
    return error_response(
        HTTPStatus.BAD_GATEWAY,
        code,
        message + " It may have been run.",
        "Send it again only if running it twice does no harm.",
    )


def timed_out() -> Response:
    """Answer a request whose time is over.

    :returns: the answer.
    """
    return error_response(
        HTTPStatus.GATEWAY_TIMEOUT,
        "timeout",
        "The request's time is over before a reply came. It may have been run.",
        "Send it again only if running it twice does no harm.",
    )
