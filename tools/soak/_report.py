"""What a soak found, as text and JSON."""

import json
from collections import Counter
from dataclasses import asdict
from pathlib import Path

from tools.soak._checks import Checked
from tools.soak._plan import Fault
from tools.soak._seen import Seen

MOST_SHOWN = 5
"""Violations of one run that are shown; the JSON has all."""


def text(seed: int, faults: tuple[Fault, ...], seen: Seen, checked: Checked) -> str:
    """Tell a run in lines of text.

    :param seed: its seed.
    :param faults: its faults.
    :param seen: what was seen.
    :param checked: what the checks found.
    :returns: the text.
    """
    statuses = Counter(one.status for one in seen.exchanged if not one.left)
    kinds = Counter(fault.kind for fault in faults)
    lines = [
        f"seed {seed}: {len(seen.exchanged)} requests, {len(seen.arrivals)} arrivals at searchers",
        "  answers: " + ", ".join(f"{status}: {n}" for status, n in sorted(statuses.items())),
        "  faults: " + ", ".join(f"{kind} {n}" for kind, n in sorted(kinds.items())),
        "  checks: " + ", ".join(f"{name} {n}" for name, n in checked.counts.items()),
    ]
    if seen.starved:
        lines.append(f"  entries had to wait for a processor: {seen.starved} times")
    never = [name for name, n in checked.counts.items() if not n]
    if never:
        lines.append("  never exercised: " + ", ".join(never))
    for violation in checked.violations[:MOST_SHOWN]:
        lines.append(f"  BROKEN {violation.check}: {violation.request_id} {violation.detail}")
    if len(checked.violations) > MOST_SHOWN:
        lines.append(f"  and {len(checked.violations) - MOST_SHOWN} more")
    return "\n".join(lines)


def write_json(
    path: Path, seed: int, faults: tuple[Fault, ...], seen: Seen, checked: Checked
) -> None:
    """Write a run as JSON.

    :param path: the file.
    :param seed: the run's seed.
    :param faults: its faults.
    :param seen: what was seen.
    :param checked: what the checks found.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    content = {
        "seed": seed,
        "faults": [asdict(fault) for fault in faults],
        "requests": len(seen.exchanged),
        "checks": checked.counts,
        "violations": [asdict(violation) for violation in checked.violations],
    }
    path.write_text(json.dumps(content, indent=1))
