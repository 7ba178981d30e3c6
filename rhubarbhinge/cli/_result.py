"""What a command has to say, as a value."""

import json
from dataclasses import dataclass

from rhubarbhinge.cli._exit_code import ExitCode
from rhubarbhinge.register import Fault


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The outcome of one command.

    :param exit_code: Exit code of the process.
    :param lines: Lines for standard output.
    :param faults: Errors for standard error, one line each.
    """

    exit_code: int
    lines: tuple[str, ...] = ()
    faults: tuple[Fault, ...] = ()


def failed(
    code: str, message: str, todo: str, *, place: str = "", exit_code: ExitCode = ExitCode.FAULT
) -> CommandResult:
    """Make the result of a command that failed for one reason.

    :param code: Stable code.
    :param message: What is wrong.
    :param todo: What to do.
    :param place: What it is about, if that helps.
    :param exit_code: Exit code of the process.
    :returns: The result.
    """
    return CommandResult(exit_code, faults=(Fault(place, code, message, todo),))


def error_line(fault: Fault) -> str:
    """Write a fault as one line.

    :param fault: The fault.
    :returns: Key and value pairs, in plain ASCII.
    """
    place = f" place={json.dumps(fault.place)}" if fault.place else ""
    message, todo = json.dumps(fault.message), json.dumps(fault.todo)
    return f"error code={fault.code}{place} message={message} todo={todo}"


def printable(text: object) -> str:
    """Make a text from elsewhere safe to print.

    :param text: The text, or a scalar.
    :returns: The text without control characters, which could steer a terminal.
    """
    return "".join(
        char if char.isprintable() else "\N{REPLACEMENT CHARACTER}" for char in str(text)
    )
