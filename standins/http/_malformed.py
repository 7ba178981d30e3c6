"""Telling a malformed request from a fault of the stand-in."""

from collections.abc import Callable
from functools import wraps
from typing import ParamSpec, TypeVar

Given = ParamSpec("Given")
Read = TypeVar("Read")

_RAISED_BY_READING = (KeyError, TypeError, ValueError, AttributeError)


class MalformedError(Exception):
    """A request that could not be read; it is answered 400."""


def reads(function: Callable[Given, Read]) -> Callable[Given, Read]:
    """Make a function that reads a request say so when the request is malformed.

    :param function: The function; it does nothing but read.
    :returns: The same, raising :class:`MalformedError` for what it cannot read.
    """

    @wraps(function)
    def read(*args: Given.args, **kwargs: Given.kwargs) -> Read:
        try:
            return function(*args, **kwargs)
        except _RAISED_BY_READING as error:
            raise MalformedError(str(error)) from error

    return read
