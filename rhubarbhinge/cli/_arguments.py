"""Check arguments, which come as text."""

from rhubarbhinge.cli._exit_code import ExitCode
from rhubarbhinge.cli._result import CommandResult, failed
from rhubarbhinge.settings import is_address

MOST_WHOLE = 10**9
"""Largest number that an argument can have."""

_TRUE_TEXTS = frozenset({"True", "true", "yes", "1"})


def whole(name: str, text: str) -> int | CommandResult:
    """Read a whole number above 0.

    :param name: Name of the argument.
    :param text: Its text.
    :returns: The number, or the failure.
    """
    if text.isascii() and text.isdigit() and 0 < int(text[:12]) <= MOST_WHOLE:
        return int(text)
    return usage(f"{name} has to be a whole number, not {text[:40]!r}", f"give --{name} a number")


def flag(text: str) -> bool:
    """Read a flag.

    :param text: Its text; fire gives ``True`` for a flag without a value.
    :returns: Whether it is set.
    """
    return text in _TRUE_TEXTS


def entry_url(address: str) -> str | CommandResult:
    """Make the base URL of a node.

    :param address: ``ip:port``.
    :returns: The URL, or the failure.
    """
    if is_address(address):
        return f"http://{address}"
    todo = "write the IP number and the HTTP port, such as 10.0.0.7:8001"
    return usage(f"{address[:60]!r} isn't ip:port", todo)


def usage(message: str, todo: str) -> CommandResult:
    """Make the result of a wrong command line.

    :param message: What is wrong.
    :param todo: What to do.
    :returns: The result.
    """
    return failed("usage", message, todo, exit_code=ExitCode.USAGE)
