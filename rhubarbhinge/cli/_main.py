"""The program: picks a command by fire, runs it and prints its result.

fire only parses. It would run a command before it has looked at all arguments, print its usage
text on errors and open a pager for help; so commands are picked first and run after it is done.
"""

import contextlib
import functools
import io
import sys
from collections.abc import Callable, Mapping, Sequence

import fire
from fire import decorators

from rhubarbhinge.cli._arguments import usage
from rhubarbhinge.cli._check import check
from rhubarbhinge.cli._daemon import entry, relay
from rhubarbhinge.cli._explain import explain
from rhubarbhinge.cli._help import command_help, overview
from rhubarbhinge.cli._result import CommandResult, error_line
from rhubarbhinge.cli._run import outcome, run
from rhubarbhinge.cli._search import search
from rhubarbhinge.cli._status import status
from rhubarbhinge.cli._trace import trace
from rhubarbhinge.cli._why import why

COMMANDS: Mapping[str, Callable[..., CommandResult]] = {
    "entry": entry,
    "relay": relay,
    "check": check,
    "explain": explain,
    "status": status,
    "search": search,
    "run": run,
    "outcome": outcome,
    "trace": trace,
    "why": why,
}
"""The commands in the order of the help."""

_HELP = frozenset({"--help", "-h", "help"})


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program.

    :param arguments: Command line without the program's name; by default the process's own.
    :returns: The exit code.
    """
    words = list(sys.argv[1:] if arguments is None else arguments)
    text = _help_for(words)
    if text:
        print(text)
        return 0
    picked = _pick(words)
    result = picked if isinstance(picked, CommandResult) else picked()
    for line in result.lines:
        print(line)
    for fault in result.faults:
        print(error_line(fault), file=sys.stderr)
    return int(result.exit_code)


def _help_for(words: list[str]) -> str | None:
    if not words or words[0] in _HELP:
        return overview(COMMANDS)
    if words[0] in COMMANDS and any(word in {"--help", "-h"} for word in words[1:]):
        return command_help(words[0], COMMANDS[words[0]])
    return None


def _pick(words: list[str]) -> Callable[[], CommandResult] | CommandResult:
    name, *rest = words
    if name not in COMMANDS:
        return usage(f"there is no command {name[:40]!r}", "see rhubarbhinge --help")
    if "--" in rest:
        return usage("a lone -- is for fire's own flags, which are off", "leave it out")
    picked: list[Callable[[], CommandResult]] = []
    todo = f"see rhubarbhinge {name} --help"
    try:
        with contextlib.redirect_stderr(io.StringIO()):
            fire.Fire(_picker(COMMANDS[name], picked), command=rest, name=f"rhubarbhinge {name}")
    except fire.core.FireExit as stop:
        return usage(_reason(stop), todo)
    return picked[0] if len(picked) == 1 else usage("the command line isn't clear", todo)


def _picker(command: Callable[..., CommandResult], picked: list) -> Callable[..., None]:
    """Wrap a command so that calling it only notes the arguments, all of them as text."""

    @functools.wraps(command)
    def pick(*args: str, **kwargs: str) -> None:
        picked.append(functools.partial(command, *args, **kwargs))

    return decorators.SetParseFn(str)(pick)


def _reason(stop: fire.core.FireExit) -> str:
    elements = stop.trace.elements if stop.trace.HasError() else ()
    return elements[-1].ErrorAsStr() if elements else "the command line isn't understood"
