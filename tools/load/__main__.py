"""Load on entries with stand-ins of the operators' platform.

Usage: ``python -m tools.load [--sites=kingston,suva] [--faults=calm,...] [--against=REVISION]``
"""

import sys
from pathlib import Path

import fire

from tools.load._faults import FAULTS
from tools.load._report import HEAD, Row, plot, rows
from tools.load._revisions import ROOT, source_trees
from tools.load._site import SITES
from tools.load._trial import Trial, play


def load(
    sites: str | tuple[str, ...] = tuple(SITES),
    faults: str | tuple[str, ...] = tuple(FAULTS),
    against: str | tuple[str, ...] = (),
    seconds: float = 8.0,
    rate_factor: float = 0.5,
    seed: int = 1,
    folder: str = "out/load",
) -> None:
    """Play each fault on each deployment and print what callers got.

    :param sites: deployments.
    :param faults: faults, each in a trial of its own, after two fifths of it.
    :param against: commits to compare with; they are played in turn with this tree.
    :param seconds: how long requests come in a trial.
    :param rate_factor: multiplies the sheet's rates; one machine plays all.
    :param seed: seed of arrivals and work.
    :param folder: where plots go.
    """
    chosen_sites = [SITES[name] for name in _names(sites)]
    chosen_faults = _names(faults)
    unknown = set(chosen_faults) - FAULTS.keys()
    if unknown:
        raise SystemExit(f"no such fault: {', '.join(sorted(unknown))}; there are {list(FAULTS)}")
    print(HEAD, flush=True)
    with source_trees(_names(against)) as trees:
        for site in chosen_sites:
            found: list[Row] = []
            for fault in chosen_faults:
                for tree, root in trees.items():
                    trial = Trial(site, fault, seconds, rate_factor, seed, root)
                    name = f"{site.name} {fault}" + (f" {tree}" if len(trees) > 1 else "")
                    found += rows(name, site, play(trial))
                    print(*found[-len(site.classes) :], sep="\n", flush=True)
            path = Path(ROOT, folder)
            path.mkdir(parents=True, exist_ok=True)
            print(f"plot: {plot(site, found, path) or 'matplotlib is not installed'}")


def _names(value: str | tuple[str, ...]) -> tuple[str, ...]:
    return tuple(value.split(",")) if isinstance(value, str) else tuple(value)


if __name__ == "__main__":
    sys.exit(fire.Fire(load))
