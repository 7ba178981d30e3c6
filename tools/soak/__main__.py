"""The command of the soak."""

import itertools
import signal
import sys
import time
from pathlib import Path

import fire

from tools.soak._report import text, write_json
from tools.soak._run import play


def soak(
    seed: int = 1,
    seeds: int = 1,
    minutes: float = 0.0,
    seconds: float = 30.0,
    entries: int = 6,
    folder: str = "out/soak",
    state_only: bool = False,
) -> None:
    """Play runs and print what the checks found; exits with 1 when one is broken.

    :param seed: seed of the first run; the others follow it.
    :param seeds: how many runs at least.
    :param minutes: runs are begun for so long.
    :param seconds: how long requests come in a run.
    :param entries: how many entries, three at least.
    :param state_only: whether only faults are drawn that concern the published state.
    :param folder: where reports go, and the logs of runs that broke a check.
    """
    # In the background interrupts are ignored, and a plain end would leave the entries running.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _end)
    broken = []
    until_s = time.monotonic() + 60.0 * minutes
    for number in itertools.count(seed):
        if number >= seed + seeds and time.monotonic() >= until_s:
            break
        played = play(number, seconds, entries, Path(folder), state_only)
        print(text(number, played.faults, played.seen, played.checked), flush=True)
        path = Path(folder, f"seed-{number}.json")
        write_json(path, number, played.faults, played.seen, played.checked)
        if played.checked.violations:
            broken.append(number)
    print(f"{number - seed} runs, {len(broken)} broken: {broken}")
    sys.exit(1 if broken else 0)


def _end(number: int, frame: object) -> None:
    raise SystemExit(128 + number)


if __name__ == "__main__":
    fire.Fire(soak)
