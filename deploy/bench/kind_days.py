"""Generates scenario files ("days") with one kind of fault alone, twice, or in pairs.

Usage: ``python deploy/bench/kind_days.py SITE.toml FOLDER [alone|twice|pairs]``
"""

import random
import sys
import tomllib
from pathlib import Path

PLANNED_KINDS = ("config_change", "config_storm", "big_config", "reshard", "release", "scale_in")
PLANNED_NODE_KINDS = ("roll_term", "add_nodes", "hup")
FIRST_FAULT_S = 6.0
"""Start of the first fault, after the entries have warmed up."""
SECOND_FAULT_S = 19.0
"""Start of the second fault in scenarios with two consecutive ones."""
OVERLAP_DELAY_S = 1.5
"""Delay of the second fault in scenarios with overlapping ones."""
EXTRA_FAULTS = (
    {"kind": "node_freeze", "share": 0.3, "for_s": 4.0},
    {"kind": "node_slow", "share": 0.3, "x": 5.0, "for_s": 5.0},
    {"kind": "retry_abuse", "share": 0.3, "x": 3.0, "for_s": 5.0},
    {"kind": "hup", "share": 0.6, "gap_s": 0.5},
    {"kind": "reset_conns", "share": 0.4, "x": 0.5},
    {"kind": "burst", "x": 2.0, "for_s": 4.0},
    {"kind": "srv_grey", "share": 0.2, "for_s": 5.0, "how": "hang"},
    {"kind": "srv_grey", "share": 0.2, "for_s": 5.0, "how": "mute"},
    {"kind": "clock_step", "share": 0.5, "x": 5000.0, "for_s": 6.0, "how": "back"},
)
"""Kinds that are possible in any deployment but are missing in some site files."""


def main(site_path: str, folder: str, mode: str = "alone") -> int:
    """Generate the scenario files.

    :param site_path: the site file.
    :param folder: output folder, one file per scenario.
    :param mode: ``alone``, ``twice`` or ``pairs``.
    :returns: the exit code.
    """
    site = tomllib.loads(Path(site_path).read_text())
    quiet = next(day for day in site["day"] if day["slot"] == "quiet")
    faults = [*site["troubles"], *EXTRA_FAULTS]
    rng = random.Random(f"{site['name']} {mode}")
    for number, fault in enumerate(faults):
        name = f"{mode}-{number:02d}-{fault['kind']}"
        if mode == "alone":
            entries = [{**fault, "at": FIRST_FAULT_S}]
        elif mode == "twice":
            entries = [{**fault, "at": FIRST_FAULT_S}, {**fault, "at": SECOND_FAULT_S}]
        else:
            other = rng.choice(faults)
            name += f"-{other['kind']}"
            entries = [
                {**fault, "at": FIRST_FAULT_S},
                {**other, "at": FIRST_FAULT_S + OVERLAP_DELAY_S},
            ]
        text = _scenario(name, rng.randrange(1, 10**9), quiet, entries)
        Path(folder, f"{name}.toml").write_text(text)
    return 0


def _scenario(name: str, seed: int, quiet: dict, entries: list[dict]) -> str:
    planned = (*PLANNED_KINDS, *PLANNED_NODE_KINDS)
    plan = [entry for entry in entries if entry["kind"] in planned]
    faults = [entry for entry in entries if entry["kind"] not in planned]
    goal = {"floor": quiet["goal"]["floor"]}
    fields = {
        "name": name,
        "slot": "trouble",
        "seed": seed,
        "one": quiet["one"],
        "zero": quiet["zero"],
        "goal": goal,
        "labels": [],
        "wall": 4.0,
        "plan": plan,
        "faults": faults,
        "traffic": quiet["traffic"],
    }
    return "".join(f"{key} = {_toml(value)}\n" for key, value in fields.items())


def _toml(value: object) -> str:
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {_toml(one)}" for key, one in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(_toml(one) for one in value) + "]"
    if isinstance(value, str):
        return f'"{value}"'
    return str(value)


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
