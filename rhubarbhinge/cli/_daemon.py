"""The ``entry`` and ``relay`` commands."""

import os
from collections.abc import Mapping

from rhubarbhinge.cli._exit_code import ExitCode
from rhubarbhinge.cli._result import CommandResult
from rhubarbhinge.register import Checked
from rhubarbhinge.settings import NodeSettings, load_settings


def entry(**flags: str) -> CommandResult:
    """Run an entry: it takes callers' requests and answers them.

    Each setting is a flag or an environment variable; flags win. See docs/settings.md.
    """
    checked = _load(flags)
    if not checked.ok:
        return CommandResult(ExitCode.FAULT, faults=checked.faults)
    from rhubarbhinge.daemons import run_entry  # here, since other commands need no event loop

    return CommandResult(run_entry(checked.value) or ExitCode.DONE)


def relay(**flags: str) -> CommandResult:
    """Run a relay: it holds the connections to upstreams, and queues for their slots.

    Each setting is a flag or an environment variable; flags win. See docs/settings.md.
    """
    checked = _load(flags)
    if not checked.ok:
        return CommandResult(ExitCode.FAULT, faults=checked.faults)
    from rhubarbhinge.daemons import run_relay  # here, since other commands need no event loop

    return CommandResult(run_relay(checked.value) or ExitCode.DONE)


def _load(flags: Mapping[str, str]) -> Checked[NodeSettings]:
    return load_settings(flags, os.environ)
