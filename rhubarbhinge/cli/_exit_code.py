"""Exit codes of the command."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What a shell script can branch on."""

    DONE = 0
    """It worked; a run ran."""

    FAULT = 1
    """A document, a setting or an answer is at fault."""

    USAGE = 2
    """The command line is wrong; 2 is customary for that."""

    NOT_RUN = 3
    """The request was refused and not run."""

    UNKNOWN = 4
    """It isn't known whether the request ran."""
