"""A request that cannot be served, as a value."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ApiError:
    """A request that cannot be served.

    :param status: HTTP status code.
    :param code: the error's code, for programs.
    :param message: one sentence on what is wrong.
    :param todo: what to do next.
    :param not_run: whether it is known that nothing was run.
    :param retry_after_ms: when to come back; None where coming back does not help.
    """

    status: int
    code: str
    message: str
    todo: str
    not_run: bool = True
    retry_after_ms: int | None = None
