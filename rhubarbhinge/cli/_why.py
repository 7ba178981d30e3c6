"""The ``why`` command."""

from collections import Counter

from rhubarbhinge.cli._exit_code import ExitCode
from rhubarbhinge.cli._log_events import read_events
from rhubarbhinge.cli._result import CommandResult, failed, printable
from rhubarbhinge.cli._tables import table

MOST_ROWS = 30
"""Rows of the summary; what is below is seldom."""
CAUSES = {
    "attempt-failed": ("why", "code"),
    "delegate-failed": ("code",),
    "hedge-not-sent": ("why",),
    "platform-lost": ("code",),
    "request-ended": ("why", "status", "route"),
    "retry-not-sent": ("why",),
    "searcher-unreachable": ("code",),
}
"""Events that tell of failures, and the fields that tell the cause."""


def why(*logs: str) -> CommandResult:
    """Sum up what failed, and why, out of the logs of the entries.

    :param logs: log files of the entries; standard input if none is named
    """
    counts: Counter[tuple[str, str]] = Counter()
    examples: dict[tuple[str, str], str] = {}
    try:
        for event in read_events(logs):
            names = CAUSES.get(event.name)
            if names is None:
                continue
            cause = " ".join(f"{name}={event.fields.get(name, '')}" for name in names)
            counts[event.name, cause] += 1
            examples.setdefault((event.name, cause), event.fields.get("request", ""))
    except OSError as error:
        return failed("cannot-read", str(error), "name files that can be read")
    rows = [
        (printable(name), printable(cause), str(count), printable(examples[name, cause]))
        for (name, cause), count in counts.most_common(MOST_ROWS)
    ]
    header = ("event", "cause", "count", "a request")
    return CommandResult(ExitCode.DONE, tuple(table(header, rows)) if rows else ("no failures",))
