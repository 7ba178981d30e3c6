"""The ``entry`` and ``relay`` commands."""

import os
from collections.abc import Callable, Mapping

from rhubarbhinge.cli._exit_code import ExitCode
from rhubarbhinge.cli._result import CommandResult, failed
from rhubarbhinge.settings import NodeSettings, load_settings


def entry(**flags: str) -> CommandResult:
    """Run an entry: it takes callers' requests and answers them.

    Each setting is a flag or an environment variable; flags win. See docs/settings.md.
    """

    def start(settings: NodeSettings) -> None:
        from rhubarbhinge.daemons import run_entry  # here, since other commands need no event loop

        run_entry(settings)

    return _serve(flags, start)


def relay(**flags: str) -> CommandResult:
    """Run a relay: it holds the connections to upstreams, and queues for their slots.

    Each setting is a flag or an environment variable; flags win. See docs/settings.md.
    """

    def start(settings: NodeSettings) -> None:
        from rhubarbhinge.daemons import run_relay  # here, since other commands need no event loop

        run_relay(settings)

    return _serve(flags, start)


def _serve(flags: Mapping[str, str], start: Callable[[NodeSettings], None]) -> CommandResult:
    checked = load_settings(flags, os.environ)
    if not checked.ok:
        return CommandResult(ExitCode.FAULT, faults=checked.faults)
    try:
        start(checked.value)
    except OSError as error:
        todo = "check ip, peer_port and http_port, and that no other process has them"
        return failed("cannot-listen", f"the node can't start: {error}", todo)
    return CommandResult(ExitCode.DONE)
