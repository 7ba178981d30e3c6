"""Errors as coded JSON."""

import msgspec

from rhubarbhinge.web._response import Response


def error_response(
    status: int,
    code: str,
    message: str,
    todo: str,
    headers: tuple[tuple[str, str], ...] = (),
) -> Response:
    """Make an answer that tells an error.

    :param status: the status code.
    :param code: the error's code, for programs.
    :param message: a sentence that says what is wrong.
    :param todo: a sentence that says what the caller can do.
    :param headers: more headers.
    :returns: the answer.
    """
    error = {"code": code, "message": message, "todo": todo}
    return Response(status, msgspec.json.encode({"error": error}), headers)


def malformed() -> Response:
    """Answer bytes that are no HTTP/1.1 request.

    :returns: the answer.
    """
    return error_response(
        400,
        "malformed-request",
        "The request is not well-formed HTTP/1.1.",
        "Check the request line, the headers and the body's length, then send it again.",
    )


def unsupported_coding() -> Response:
    """Answer a transfer coding other than ``chunked``.

    :returns: the answer.
    """
    return error_response(
        501,
        "unsupported-coding",
        "The request's body has a transfer coding that the server does not know.",
        "Send the body plain, with its length or in chunks.",
    )


def header_too_large(limit_bytes: int) -> Response:
    """Answer headers above the limit.

    :param limit_bytes: the limit in bytes.
    :returns: the answer.
    """
    return error_response(
        431,
        "header-too-large",
        f"The request's headers are larger than {limit_bytes} bytes.",
        "Send fewer or shorter headers.",
    )


def body_too_large(limit_bytes: int) -> Response:
    """Answer a body above the limit.

    :param limit_bytes: the limit in bytes.
    :returns: the answer.
    """
    return error_response(
        413,
        "body-too-large",
        f"The request's body is larger than {limit_bytes} bytes.",
        "Send a smaller body.",
    )


def too_many_connections() -> Response:
    """Answer a connection above the cap.

    :returns: the answer.
    """
    return error_response(
        503,
        "too-many-connections",
        "The server has no room for another connection; nothing was run.",
        "Try again in a second, or keep connections open and reuse them.",
        (("Retry-After", "1"),),
    )
