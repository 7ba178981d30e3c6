"""A search with a large body, while one shard has no searcher left in the entry's zone."""

import asyncio
import sys
from pathlib import Path

sys.dont_write_bytecode = True
CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "kit2"))

from rig2 import Client, main  # noqa: E402

LIMIT = 1_048_576
SHARDS = ("shard-0", "shard-1")
CLIENTS = 8


async def fetch(rig, client, number, lost):
    """Send fetches on one kept connection."""
    for count in range(12):
        request_id = f"fetch-{number}-{count}"
        is_kept = client.writer is not None
        answer = await client.ask("/fetch/x", request_id)
        ran = any(one[2] == request_id for one in rig.runs)
        if is_kept and ran and not answer.status:
            lost.append(request_id)


async def play(rig):
    """Play the case.

    :param rig: the rig.
    :returns: whether the rule held.
    """
    for service in SHARDS:
        for zone in ("hall-a", "hall-b"):
            await rig.add_searcher(f"i-{service}-{zone}", service, zone)
    for zone in ("hall-a", "hall-b"):
        store = await rig.add_searcher(f"i-store-{zone}", "store", zone, slots=16)
        store.work_s = lambda request_id: 0.4
    routes = [
        {
            "name": "search",
            "path_prefix": "/search/",
            "gather": list(SHARDS),
            "top_k": 5,
            "min_success_ratio": 0.5,
            "target_latency_ms": 2_000,
        },
        {"name": "fetch", "path_prefix": "/fetch/", "service": "store", "target_latency_ms": 2_000},
    ]
    rig.configure(5, routes, {"max_body_bytes": LIMIT})
    await rig.start_entries("hall-a", "hall-a", "hall-b")
    callers = [Client(rig, one.address) for one in rig.entries[:2]]
    for number, caller in enumerate(callers):
        await caller.ask("/search/x", f"search-small-{number}", "POST", b"turbine 7")
    await asyncio.sleep(1.0)

    if rig.trouble:
        gone = rig.searchers["i-shard-0-hall-a"]
        gone.crash()
        rig.note("searcher", gone.name, "crashes")
        await asyncio.sleep(4.5)
        rig.store.delete(f"servers/{gone.name}")
        rig.note("its entry has lapsed")
    await asyncio.sleep(4.0)
    for count in range(4):
        for number, caller in enumerate(callers):
            request_id = f"search-{number}-{count}"
            await caller.ask("/search/x", request_id, "POST", b"turbine 8")
        await asyncio.sleep(0.25)

    lost = []
    entry = rig.entries[0]
    clients = [Client(rig, entry.address) for _ in range(CLIENTS)]
    fetches = [
        asyncio.create_task(fetch(rig, client, number, lost))
        for number, client in enumerate(clients)
    ]
    await asyncio.sleep(1.5)
    body = rig.rng.randbytes(LIMIT)
    statuses = []
    for number, caller in enumerate(callers):
        # The client repeats its search once, at the other entry of its zone.
        if not any(status == 200 for status in statuses):
            answer = await caller.ask("/search/x", f"search-large-{number}", "POST", body)
            statuses.append(answer.status)
    await asyncio.gather(*fetches)
    rig.note("search with a body at the limit, and its repetition:", *statuses)
    rig.note("fetches passed on from kept connections and closed without an answer:", *lost)
    await asyncio.sleep(1.0)
    ended = [one.popen.poll() for one in rig.entries]
    rig.note("exit codes of the entries, None for one that runs:", *ended)
    print(f"lost {len(lost)}, searches {statuses}, exit codes {ended}")
    return len(lost) <= 3


main(CASE, play)
