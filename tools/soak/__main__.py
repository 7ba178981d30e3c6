"""The command of the soak."""

import sys
from pathlib import Path

import fire

from tools.soak._report import text, write_json
from tools.soak._run import play


def soak(
    seed: int = 1, seeds: int = 1, seconds: float = 30.0, entries: int = 6, folder: str = "out/soak"
) -> None:
    """Play runs and print what the checks found; exits with 1 when one is broken.

    :param seed: seed of the first run; the others follow it.
    :param seeds: how many runs.
    :param seconds: how long requests come in a run.
    :param entries: how many entries, three at least.
    :param folder: where reports go, and the logs of runs that broke a check.
    """
    broken = []
    for number in range(seed, seed + seeds):
        played = play(number, seconds, entries, Path(folder))
        print(text(number, played.faults, played.seen, played.checked), flush=True)
        path = Path(folder, f"seed-{number}.json")
        write_json(path, number, played.faults, played.seen, played.checked)
        if played.checked.violations:
            broken.append(number)
    print(f"{seeds} runs, {len(broken)} broken: {broken}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    fire.Fire(soak)
