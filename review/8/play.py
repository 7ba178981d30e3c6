"""The operator raises the limit of bodies while clients keep their connections."""

import asyncio
import sys
from pathlib import Path

sys.dont_write_bytecode = True
CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "kit2"))

from rig2 import Client, main  # noqa: E402

BEFORE, AFTER = 131_072, 262_144
CLIENTS = 24
REQUESTS = 20


async def play(rig):
    """Play the case.

    :param rig: the rig.
    :returns: whether the rule held.
    """
    for zone in ("hall-a", "hall-b"):
        await rig.add_searcher(f"i-store-{zone}", "store", zone, slots=8)
    routes = [{"name": "post", "path_prefix": "/post/", "service": "store"}]
    rig.configure(5, routes, {"max_body_bytes": BEFORE if rig.trouble else AFTER})
    await rig.start_entries("hall-a", "hall-b", "hall-b")
    clients = [Client(rig, rig.entries[one % 3].address) for one in range(CLIENTS)]
    for number, client in enumerate(clients):
        await client.ask("/post/x", f"first-{number}", "POST", b"a" * 1_000)
    rig.configure(9, routes, {"max_body_bytes": AFTER})
    # The bound of a configuration is 3 s after its acknowledgement; its machines are in touch.
    await asyncio.sleep(5.0)

    sent, denied = CLIENTS, []
    for count in range(REQUESTS):
        for number, client in enumerate(clients):
            # Three of four requests are small; the others are allowed by the configuration that
            # has been in force for more than its bound.
            size = 200_000 if count % 4 == 3 else 1_000
            request_id = f"kept-{number}-{count}"
            answer = await client.ask("/post/x", request_id, "POST", b"a" * size)
            sent += 1
            if 300 <= answer.status < 500 and answer.status not in (408, 421, 429):
                denied.append((request_id, answer.status))
        await asyncio.sleep(0.05)
    allowed = 5 + sent / 500
    rig.note("sent", sent, "denied", len(denied), "allowed", allowed, *denied)
    print(f"sent {sent}, denied {len(denied)}, allowed {allowed}")
    return len(denied) <= allowed


main(CASE, play)
