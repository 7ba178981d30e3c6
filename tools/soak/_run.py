"""One run of the soak."""

import shutil
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from tools.soak._callers import Caller, ask_once
from tools.soak._checks import Checked, check_all
from tools.soak._plan import (
    Fault,
    draw_burst_requests,
    draw_bursts,
    draw_faults,
    draw_requests,
    draw_state_faults,
)
from tools.soak._seen import Seen
from tools.soak._world import World

CALLERS = 6
RATE = 6.0
"""Requests a second of each caller."""
BURST_CALLERS = 8
BURST_RATE = 25.0
"""Requests a second of each caller that sends in bursts only."""


@dataclass(frozen=True, slots=True)
class Played:
    """A run that was played.

    :param faults: its faults.
    :param seen: what was seen.
    :param checked: what the checks found.
    """

    faults: tuple[Fault, ...]
    seen: Seen
    checked: Checked


def play(
    seed: int,
    seconds: float,
    entries: int,
    keep_logs: Path | None = None,
    state_only: bool = False,
) -> Played:
    """Play one run.

    :param seed: draws its faults and requests.
    :param seconds: how long requests come.
    :param entries: how many entries.
    :param keep_logs: where logs of the entries go when a check fails; None to drop them.
    :param state_only: whether faults are drawn that concern the published state, fewer of them.
    :returns: the run.
    """
    faults = (draw_state_faults if state_only else draw_faults)(seed, seconds)
    with tempfile.TemporaryDirectory() as folder:
        world = World(Path(folder), seed, entries)
        try:
            world.start()
            callers = [
                Caller(
                    world.deployment,
                    world.seen,
                    f"caller {seed} {n}",
                    draw_requests(seed, n, seconds, RATE),
                )
                for n in range(CALLERS)
            ]
            bursts = () if state_only else draw_bursts(seed, seconds)
            callers += [
                Caller(
                    world.deployment,
                    world.seen,
                    f"burst caller {seed} {n}",
                    draw_burst_requests(seed, n, bursts, BURST_RATE),
                )
                for n in range(BURST_CALLERS)
            ]
            started_s = time.monotonic()
            for caller in callers:
                caller.start(started_s)
            world.play(faults, started_s, seconds)
            for caller in callers:
                caller.join()
                world.seen.exchanged.extend(caller.exchanged)
            _ask_new_paths(world)
        finally:
            world.close()
        checked = check_all(world.seen)
        if checked.violations and keep_logs is not None:
            shutil.copytree(folder, keep_logs / f"seed-{seed}", dirs_exist_ok=True)
    return Played(faults, world.seen, checked)


def _ask_new_paths(world: World) -> None:
    """Ask each entry for what the last configuration added, once all is calm."""
    time.sleep(max(0.0, world.seen.calm_from_s - time.monotonic()))
    for place, path in enumerate(world.seen.paths):
        for entry in world.deployment.entries:
            request_id = f"last-{entry.name}-{place}"
            world.seen.exchanged.append(ask_once(entry, path, request_id))
