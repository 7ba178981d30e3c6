"""A process that stops closes the connections of requests that wait in it, without an answer.

A searcher of a service is taken away, as planned, so that requests wait for the other one. Then one
of the two machines gets SIGTERM, as planned too.
"""

import asyncio
import collections
import os
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig as rigs  # noqa: E402

ZONES = ("sk-west-a", "sk-west-a")
GRACE_S = 6.0
DRAIN_S = 3.0
LOSS_SLACK_S = 0.2
EXCUSED_S = 3.0
"""A request sent later than this after the SIGTERM counts even if its searcher is still at work."""
SETTLE_S = 4.0
STEADY_S = 5.0
WAITING_S = 15.0
PER_S = 15.0
"""Requests a second of `plan-fetch`; both searchers together serve 18, one alone 9."""
DEADLINE_S = 15.0
RESTART_S = 1.0
ROUNDS = 2


async def case(rig: rigs.Rig) -> int:
    rng = random.Random(483)
    routes = [
        rigs.route(
            "plan-fetch",
            "/timi402/",
            service="planview",
            timeout_ms=15_000,
            target_latency_ms=800,
        )
    ]

    async def add_searcher(name: str) -> rigs.Searcher:
        searcher = await rig.add_searcher(name, "planview", "sk-west-a", 2, 8)
        searcher.work_s = lambda message: min(1.3, rng.lognormvariate(-1.64, 0.5))
        return searcher

    for number in range(2):
        await add_searcher(f"i-{number}")
    rig.store.put("op/config", rigs.configuration(7, routes, {"planview": 96}))
    await rig.start_entries(ZONES)
    await asyncio.sleep(SETTLE_S)
    misses = collections.Counter()
    rotation = list(rig.entries)
    statuses = collections.Counter()
    term_at: dict[rigs.Entry, float] = {}
    lost: list[str] = []
    stop = asyncio.Event()

    async def checks() -> None:
        """Ask each machine once a second; two misses take it out of rotation."""
        while not stop.is_set():
            for entry in rig.entries:
                ready = entry.process.poll() is None and await entry.is_ready()
                misses[entry] = 0 if ready else misses[entry] + 1
                if ready and entry not in rotation:
                    rotation.append(entry)
                elif misses[entry] == 2 and entry in rotation:
                    rotation.remove(entry)
                    rig.record.note("out-of-rotation", entry=entry.name)
            await asyncio.sleep(1.0)

    async def caller() -> None:
        request_id = f"{rng.getrandbits(64):016x}"
        entry = rng.choice(rotation or rig.entries)
        sent_s = rig.record.now_s()
        rig.record.note("sent", request=request_id, entry=entry.name)
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": str(int(DEADLINE_S * 1e3))}
        answer = await rigs.ask(
            entry.ip, rig.ports["front"], "GET", "/timi402/2f", headers, DEADLINE_S
        )
        ended_s = rig.record.now_s()
        statuses[answer.status or answer.why] += 1
        rig.record.note("answered", request=request_id, status=answer.status, why=answer.why)
        # The end of the stream without a reset shows that the process had read the whole request.
        if answer.why != "IncompleteReadError" or entry not in term_at:
            return
        after_s = sent_s - term_at[entry]
        passed_on = any(request_id in one.arrivals for one in rig.searchers)
        if passed_on:
            counts = after_s > EXCUSED_S
        else:
            counts = ended_s - sent_s > LOSS_SLACK_S
        counts = counts and ended_s <= term_at[entry] + GRACE_S + 1.0
        rig.record.note(
            "cut",
            request=request_id,
            entry=entry.name,
            sent_after_term_s=round(after_s, 3),
            waited_s=round(ended_s - sent_s, 3),
            passed_on=passed_on,
            counts=counts,
        )
        if counts:
            lost.append(request_id)

    async def traffic() -> None:
        tasks = []
        while not stop.is_set():
            tasks.append(asyncio.create_task(caller()))
            await asyncio.sleep(rng.expovariate(PER_S))
        await asyncio.gather(*tasks)

    async def take_away(searcher: rigs.Searcher) -> None:
        """Empty a searcher and take it away, as planned."""
        rig.record.note("scale-in", searcher=searcher.incarnation)
        rig.store.put(f"servers/{searcher.incarnation}", searcher.entry("draining"))
        await asyncio.sleep(DRAIN_S + 0.5)
        while searcher.working or searcher.queued:
            await asyncio.sleep(0.1)
        rig.store.delete(f"servers/{searcher.incarnation}")
        searcher.server.close()

    async def stop_and_start(entry: rigs.Entry) -> None:
        """Stop a process as the platform does, and start it again."""
        term_at[entry] = rig.record.now_s()
        entry.signal(signal.SIGTERM)
        while entry.process.poll() is None:
            if rig.record.now_s() > term_at[entry] + GRACE_S:
                entry.signal(signal.SIGKILL)
                entry.process.wait()
            await asyncio.sleep(0.02)
        after_s = round(rig.record.now_s() - term_at[entry], 2)
        rig.record.note("exit", entry=entry.name, code=entry.process.returncode, after_s=after_s)
        await asyncio.sleep(RESTART_S)
        entry.start()

    checking = asyncio.create_task(checks())
    running = asyncio.create_task(traffic())
    for number in range(ROUNDS):
        await asyncio.sleep(STEADY_S)
        if rigs.TROUBLE:
            await take_away(rig.searchers[-1])
        await asyncio.sleep(WAITING_S - DRAIN_S)
        if rigs.TROUBLE:
            await stop_and_start(rig.entries[number % len(rig.entries)])
            await add_searcher(f"i-{number + 2}")
        await asyncio.sleep(GRACE_S + 2.0)
    stop.set()
    await running
    await checking
    rig.record.note("LOST", requests=len(lost), ids=",".join(lost))
    print(f"answers {dict(statuses)}, LOST {len(lost)}")
    return rigs.BROKEN if lost else rigs.HELD


if __name__ == "__main__":
    folder = Path(os.environ.get("RECORD_FOLDER", FOLDER))
    sys.exit(rigs.play(folder, ZONES, case))
