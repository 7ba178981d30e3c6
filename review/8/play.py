"""The operator adds a route whose paths hold octets that are not UTF-8, percent-encoded."""

import asyncio
import sys
from pathlib import Path

sys.dont_write_bytecode = True
CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "kit2"))

from rig2 import Client, main  # noqa: E402

OLD, ADDED = "/ledger/", "/entr%E9e/"
CLIENTS = 6
REQUESTS = 20


def routes(*prefixes):
    """Make the configuration's routes."""
    return [
        {"name": f"route-{place}", "path_prefix": prefix, "service": "store"}
        for place, prefix in enumerate(prefixes)
    ]


async def play(rig):
    """Play the case.

    :param rig: the rig.
    :returns: whether the rule held.
    """
    for zone in ("hall-a", "hall-b"):
        await rig.add_searcher(f"i-store-{zone}", "store", zone, slots=8)
    rig.configure(5, routes(OLD))
    await rig.start_entries("hall-a", "hall-a", "hall-b")
    if rig.trouble:
        rig.configure(9, routes(OLD, ADDED))
    await asyncio.sleep(5.0)
    clients = [Client(rig, rig.entries[one % 3].address) for one in range(CLIENTS)]
    sent, denied = 0, []
    for count in range(REQUESTS):
        for number, client in enumerate(clients):
            prefix = ADDED if rig.trouble and count % 4 == 3 else OLD
            request_id = f"r-{number}-{count}"
            answer = await client.ask(f"{prefix}x", request_id)
            sent += 1
            if 300 <= answer.status < 500 and answer.status not in (408, 421, 429):
                denied.append((request_id, answer.status))
    allowed = 5 + sent / 500
    rig.note("sent", sent, "denied", len(denied), "allowed", allowed, *denied)
    print(f"sent {sent}, denied {len(denied)}, allowed {allowed}")
    return len(denied) <= allowed


main(CASE, play)
