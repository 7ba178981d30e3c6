"""Error response to a request that cannot be served."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ApiError:
    """Error response to a request that cannot be served; returned, not raised.

    :param status: HTTP status code.
    :param code: machine-readable error code.
    :param message: one-sentence description of the error.
    :param todo: what the caller should do next.
    :param not_run: True if the request is known not to have been executed.
    :param retry_after_ms: delay before a retry; None if a retry does not help.
    """

    status: int
    code: str
    message: str
    todo: str
    not_run: bool = True
    retry_after_ms: int | None = None
