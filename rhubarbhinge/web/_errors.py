"""Error responses with a JSON body."""

import msgspec

from rhubarbhinge.web._response import Response


def error_response(
    status: int,
    code: str,
    message: str,
    todo: str,
    headers: tuple[tuple[str, str], ...] = (),
) -> Response:
    """Build an error response.

    :param status: the status code.
    :param code: machine-readable error code.
    :param message: a sentence that describes the error.
    :param todo: a sentence that tells the client how to resolve it.
    :param headers: additional headers.
    :returns: the response.
    """
    error = {"code": code, "message": message, "todo": todo}
    return Response(status, msgspec.json.encode({"error": error}), headers)


def malformed() -> Response:
    """Build the response to data that is not a valid HTTP/1.1 request.

    :returns: the response.
    """
    return error_response(
        400,
        "malformed-request",
        "The request is not well-formed HTTP/1.1.",
        "Check the request line, the headers and the body's length, then send it again.",
    )


def unsupported_coding() -> Response:
    """Build the response to a transfer coding other than ``chunked``.

    :returns: the response.
    """
    return error_response(
        501,
        "unsupported-coding",
        "The request's body has a transfer coding that the server does not know.",
        "Send the body plain, with its length or in chunks.",
    )


def header_too_large(limit_bytes: int) -> Response:
    """Build the response to headers above the limit.

    :param limit_bytes: the limit in bytes.
    :returns: the response.
    """
    return error_response(
        431,
        "header-too-large",
        f"The request's headers are larger than {limit_bytes} bytes.",
        "Send fewer or shorter headers.",
    )


def body_too_large(limit_bytes: int) -> Response:
    """Build the response to a body above the limit.

    :param limit_bytes: the limit in bytes.
    :returns: the response.
    """
    return error_response(
        413,
        "body-too-large",
        f"The request's body is larger than {limit_bytes} bytes.",
        "Send a smaller body.",
    )


def too_many_connections() -> Response:
    """Build the response to a connection above the limit.

    :returns: the response.
    """
    return error_response(
        503,
        "too-many-connections",
        "The server has no room for another connection; nothing was run.",
        "Try again in a second, or keep connections open and reuse them.",
        (("Retry-After", "1"),),
    )


def limits_unknown() -> Response:
    """Build the response to a request above size limits that are provisional.

    :returns: the response.
    """
    return error_response(
        503,
        "limits-unknown",
        "The server does not know its size limits yet; nothing was run.",
        "Try again in a second.",
        (("Retry-After", "1"),),
    )


def no_memory() -> Response:
    """Build the response to a request for whose body there is no memory at present.

    :returns: the response.
    """
    return error_response(
        503,
        "no-memory",
        "The server holds as many bytes of requests as it can; nothing was run.",
        "Try again in a second.",
        (("Retry-After", "1"),),
    )
