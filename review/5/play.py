"""A configuration moves one route and adds another one, whose host has a long name."""

import asyncio
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "kit2"))

from rig2 import Client, main  # noqa: E402

APPLY_S = 3.0
LABELS = ("a" * 60, "b" * 60, "c" * 60)
LONG_HOST = ".".join((*LABELS, "outage-desk", "jamaica", "example"))
SHORT_HOST = "outage-desk.jamaica.example"
CLIENTS = 6
REQUESTS = 20


async def play(rig):
    """Play the case.

    :param rig: the rig.
    :returns: whether the rule held.
    """
    for service in ("old", "new"):
        for zone in ("hall-a", "hall-b"):
            await rig.add_searcher(f"i-{service}-{zone}", service, zone, slots=8)
    rig.configure(5, [{"name": "ledger", "path_prefix": "/ledger/", "service": "old"}])
    await rig.start_entries("hall-a", "hall-a", "hall-b")
    clients = [Client(rig, rig.entries[one % 3].address) for one in range(CLIENTS)]
    for number, client in enumerate(clients):
        await client.ask("/ledger/x", f"before-{number}")

    host = LONG_HOST if rig.trouble else SHORT_HOST
    rig.note("the added route's host has", len(host), "characters:", host)
    acked = rig.configure(
        9,
        [
            {"name": "ledger", "path_prefix": "/ledger/", "service": "new"},
            {"name": "added", "host": host, "path_prefix": "/added/", "service": "new"},
        ],
    )
    await asyncio.sleep(APPLY_S + 1.0)
    sent = {}
    for count in range(REQUESTS):
        for number, client in enumerate(clients):
            request_id = f"after-{number}-{count}"
            sent[request_id] = time.monotonic()
            await client.ask("/ledger/x", request_id)
        await asyncio.sleep(0.5)
    late = [
        request_id
        for _, service, request_id, _ in rig.runs
        if service == "old" and sent.get(request_id, 0.0) > acked + APPLY_S
    ]
    rig.note(len(sent), "sent later than 3 s after the acknowledgement;", len(late), "run by the")
    rig.note("service that only the older version allows, the last one sent", end(sent, acked))
    print(f"sent {len(sent)}, run by the old service {len(late)}")
    return not late


def end(sent, acked):
    """Say when the last request was sent."""
    return f"{max(sent.values()) - acked:.1f} s after it"


main(CASE, play)
