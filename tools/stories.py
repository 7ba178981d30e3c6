"""Replays the failed requests of docs/OPERATIONS.md and prints what their logs say.

Usage: ``python -m tools.stories [late|refused|unknown]``
"""

import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

from rhubarbhinge.cli import main as command
from standins.fleet import wait_until
from standins.operators import Deployment, EntryProcess, configuration

SHARDS = tuple(f"shard-{place}" for place in range(8))


def late(deployment: Deployment, entry: EntryProcess) -> str:
    """A sweep that one slow shard holds up.

    :param deployment: the deployment.
    :param entry: its entry.
    :returns: the request's id.
    """
    for place in (1, 2):
        deployment.searchers[f"i-shard-3-{place}"].delay_ms = 30_000.0
    print(f"answered {entry.ask('/search/x', 'late-1').status}")
    return "late-1"


def refused(deployment: Deployment, entry: EntryProcess) -> str:
    """A payment that no searcher has room for.

    :param deployment: the deployment.
    :param entry: its entry.
    :returns: the request's id.
    """
    for place in (1, 2):
        deployment.searchers[f"i-ledger-{place}"].refuses = True
    answer = entry.ask("/pay/x", "refused-1")
    print(f"answered {answer.status}, Retry-After: {answer.headers['retry-after']}")
    return "refused-1"


def unknown(deployment: Deployment, entry: EntryProcess) -> str:
    """A payment whose searcher breaks off, so that nobody knows whether it was run.

    :param deployment: the deployment.
    :param entry: its entry.
    :returns: the request's id.
    """
    for place in (1, 2):
        deployment.run(deployment.searchers[f"i-ledger-{place}"].break_off_next)
    print(f"answered {entry.ask('/pay/x', 'unknown-1').status}")
    return "unknown-1"


STORIES: dict[str, Callable[[Deployment, EntryProcess], str]] = {
    "late": late,
    "refused": refused,
    "unknown": unknown,
}


def tell(name: str) -> list[str]:
    """Replay one story and print its trace.

    :param name: the story.
    :returns: names of the events that the log has of the request, in order.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder))
        try:
            deployment.put("op/config", configuration(3, SHARDS, {"pay": "ledger"}, {}, 300))
            for service in (*SHARDS, "ledger"):
                for place in (1, 2):
                    deployment.add_searcher(f"i-{service}-{place}", service)
            entry = deployment.start_entry()
            wait_until(entry.is_ready)
            entry.wait_log("event=searcher-published", 2 * (len(SHARDS) + 1))
            request = STORIES[name](deployment, entry)
            entry.wait_log(f"event=request-ended request={request}")
            entry.signal(signal.SIGTERM)
            entry.stop()
            log = Path(folder) / "vm-1.log"
            command(["trace", request, str(log)])
            lines = log.read_text().splitlines()
        finally:
            deployment.close()
    named = [line for line in lines if f" request={request} " in line]
    return [line.split(" event=")[1].split()[0] for line in named]


def main(names: list[str]) -> int:
    """Tell the stories named, or all.

    :param names: names of stories.
    :returns: the exit code.
    """
    for name in names or STORIES:
        print(f"== {name}")
        tell(name)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
