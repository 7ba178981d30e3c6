"""The ``trace`` command."""

from rhubarbhinge.cli._exit_code import ExitCode
from rhubarbhinge.cli._log_events import LogEvent, read_events
from rhubarbhinge.cli._result import CommandResult, failed, printable

BAR_WIDTH = 40
"""Characters of the timeline."""
LAST = "request-ended"
STEP_FIELDS = ("at_ms", "request")


def trace(request: str, *logs: str) -> CommandResult:
    """Tell the story of one request out of the logs of the entries.

    Prints its steps by the time since it was read, with a small timeline, and what came of it.
    Steps of requests that went well are not in the logs.

    :param request: id of the request
    :param logs: log files of the entries; standard input if none is named
    """
    try:
        events = [one for one in read_events(logs) if one.fields.get("request") == request]
    except OSError as error:
        return failed("cannot-read", str(error), "name files that can be read")
    if not events:
        todo = "take the id from X-Request-Id, and the logs of all entries"
        return failed("no-such-request", f"no log line names request {request}", todo)
    longest_ms = max(_at_ms(one) for one in events) or 1.0
    lines = [_line(one, longest_ms) for one in sorted(events, key=_at_ms)]
    return CommandResult(ExitCode.DONE, tuple(lines))


def _at_ms(event: LogEvent) -> float:
    text = event.fields.get("at_ms") or event.fields.get("took_ms") or "0"
    try:
        return float(text)
    except ValueError:
        return 0.0


def _line(event: LogEvent, longest_ms: float) -> str:
    at_ms = _at_ms(event)
    place = min(BAR_WIDTH - 1, int(at_ms / longest_ms * (BAR_WIDTH - 1)))
    mark = "#" if event.name == LAST else "*"
    bar = "." * place + mark + "." * (BAR_WIDTH - 1 - place)
    rest = " ".join(
        f"{name}={value}" for name, value in event.fields.items() if name not in STEP_FIELDS
    )
    return printable(f"{at_ms:9.1f} ms {bar} {event.node} {event.name} {rest}")
