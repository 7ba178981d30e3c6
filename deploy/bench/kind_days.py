"""Writes days with one kind of trouble alone, twice, or two kinds together.

Usage: ``python deploy/bench/kind_days.py SITE.toml FOLDER [alone|twice|pairs]``
"""

import random
import sys
import tomllib
from pathlib import Path

PLANNED = ("config_change", "config_storm", "big_config", "reshard", "release", "scale_in")
PLANNED_NODES = ("roll_term", "add_nodes", "hup")
FIRST_S = 6.0
"""When the first trouble begins: after the entries have warmed up."""
SECOND_S = 19.0
"""When the second one begins, in days with two that follow each other."""
OVERLAP_S = 1.5
"""By how much the second one begins later, in days with two together."""
EXTRA = (
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
"""Kinds that may come on any deployment and that not every site file lists."""


def main(site_path: str, folder: str, mode: str = "alone") -> int:
    """Write the days.

    :param site_path: the site file.
    :param folder: where the days go, one file each.
    :param mode: ``alone``, ``twice`` or ``pairs``.
    :returns: the exit code.
    """
    site = tomllib.loads(Path(site_path).read_text())
    quiet = next(day for day in site["day"] if day["slot"] == "quiet")
    troubles = [*site["troubles"], *EXTRA]
    rng = random.Random(f"{site['name']} {mode}")
    for number, trouble in enumerate(troubles):
        name = f"{mode}-{number:02d}-{trouble['kind']}"
        if mode == "alone":
            entries = [{**trouble, "at": FIRST_S}]
        elif mode == "twice":
            entries = [{**trouble, "at": FIRST_S}, {**trouble, "at": SECOND_S}]
        else:
            other = rng.choice(troubles)
            name += f"-{other['kind']}"
            entries = [{**trouble, "at": FIRST_S}, {**other, "at": FIRST_S + OVERLAP_S}]
        text = _day(name, rng.randrange(1, 10**9), quiet, entries)
        Path(folder, f"{name}.toml").write_text(text)
    return 0


def _day(name: str, seed: int, quiet: dict, entries: list[dict]) -> str:
    planned = (*PLANNED, *PLANNED_NODES)
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
