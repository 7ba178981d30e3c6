"""CPU use of groups of processes."""

import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from standins.history import monotonic_ms

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_MACHINE = "machine"
_STOLEN = "stolen"


@dataclass(frozen=True, slots=True)
class Reading:
    """CPU time used so far.

    :param at_ms: when it was read, on the monotonic clock.
    :param cpu_s: seconds by process id, in each group.
    :param machine_s: busy seconds of the whole machine, all processes of all its users.
    :param stolen_s: seconds in which a virtual machine's cores were given to others.
    """

    at_ms: float
    cpu_s: Mapping[str, Mapping[int, float]]
    machine_s: float
    stolen_s: float


@dataclass(frozen=True, slots=True)
class Use:
    """CPU use of a group over some time.

    :param cores: cores that all its processes used.
    :param busiest: cores that its busiest process used; 1 is the most that one can use.
    """

    cores: float
    busiest: float


def read_usage(groups: Mapping[str, Sequence[int]]) -> Reading:
    """Read the CPU time used so far.

    :param groups: process ids by group.
    :returns: the reading.
    """
    cpu_s = {name: {pid: _process_s(pid) for pid in pids} for name, pids in groups.items()}
    return Reading(monotonic_ms(), cpu_s, *_machine_s())


def usage(before: Reading, after: Reading) -> dict[str, Use]:
    """Work out the use between two readings.

    :param before: the first.
    :param after: the second.
    :returns: the use by group, of the ``machine``, and ``stolen`` from it; the ``busiest`` of the
        last two is their share of all cores.
    """
    elapsed_s = (after.at_ms - before.at_ms) / 1000
    found = {}
    for name, by_pid in after.cpu_s.items():
        cores = [
            (cpu_s - before.cpu_s[name].get(pid, 0.0)) / elapsed_s for pid, cpu_s in by_pid.items()
        ]
        found[name] = Use(round(sum(cores), 3), round(max(cores, default=0.0), 3))
    found[_MACHINE] = _of_all((after.machine_s - before.machine_s) / elapsed_s)
    found[_STOLEN] = _of_all((after.stolen_s - before.stolen_s) / elapsed_s)
    return found


def _of_all(cores: float) -> Use:
    return Use(round(cores, 3), round(cores / (os.cpu_count() or 1), 3))


def _process_s(pid: int) -> float:
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except FileNotFoundError:
        return 0.0
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _machine_s() -> tuple[float, float]:
    with open("/proc/stat") as file:
        ticks = map(int, file.readline().split()[1:])
    user, nice, system, _, _, irq, softirq, stolen, *_ = ticks
    return (user + nice + system + irq + softirq) / _TICKS_PER_S, stolen / _TICKS_PER_S
