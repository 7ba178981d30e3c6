"""Searchers with a long queue reset new connections, and entries end by themselves.

Slow searchers of one service reset the connections that they have no room for, as the pages say.
Meanwhile callers use another service, whose searchers are sound, over connections that they keep.
"""

import asyncio
import collections
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig as rigs  # noqa: E402

ZONES = ("hall-a", "hall-b", "hall-c", "hall-d")
MACHINES = ("hall-a", "hall-a", "hall-b", "hall-b", "hall-c", "hall-d")
"""Zones of the six machines of the site."""
SETTLE_S = 4.0
STEADY_S = 5.0
PLAY_S = 85.0
SLOW_X = 11.0
"""`srv_slow` on the standard days of the site: x = 11."""
SLOW_PER_S = 45.1
"""Requests a second to the slow service: those of the sheet's two kinds of searches together."""
MAX_CONNECTIONS = 25
QUEUE = 12
LONG_QUEUE = 4
RESTART_S = 1.0
CALLERS = 48
THINK_S = 0.7
LOST_ALLOWED = 3
"""Requests that one machine may lose."""
FAULT_ENDS = 3


def cap(searcher: rigs.Searcher) -> int:
    """Accept ``max_connections``, and none beyond those that are open while the queue is long."""
    return 0 if len(searcher.queued) >= LONG_QUEUE else MAX_CONNECTIONS


async def case(rig: rigs.Rig) -> int:
    rng = random.Random(481)
    slow = [1.0]
    for number, zone in enumerate(ZONES[:2]):
        one = await rig.add_searcher(f"i-slow-{number}", "payrun-engine", zone, 2, QUEUE)
        one.work_s = lambda message: slow[0] * min(0.15, rng.lognormvariate(-3.57, 0.35))
        one.cap = cap
    sound = []
    for number in range(4):
        zone = ZONES[number]
        one = await rig.add_searcher(f"i-sound-{number}", "audit-trail", zone, 4, 16)
        one.work_s = lambda message: min(0.96, rng.lognormvariate(-1.95, 0.5))
        sound.append(one)
    routes = [
        rigs.route(
            "slow-get", "/slow/", service="payrun-engine", timeout_ms=2_500, target_latency_ms=183
        ),
        rigs.route("vendor-get", "/timi402/", service="audit-trail"),
    ]
    services = {"payrun-engine": MAX_CONNECTIONS, "audit-trail": 42}
    rig.store.put("op/config", rigs.configuration(7, routes, services))
    await rig.start_entries(MACHINES)
    await asyncio.sleep(SETTLE_S)
    ends: collections.Counter[str] = collections.Counter()
    statuses: collections.Counter[tuple[str, int]] = collections.Counter()
    lost: collections.Counter[str] = collections.Counter()
    stop = asyncio.Event()

    async def restart_ended(entry: rigs.Entry) -> None:
        """Start a process again after its end, as the platform does."""
        while not stop.is_set():
            code = entry.process.poll()
            if code is not None:
                ends[entry.name] += 1
                rig.record.note("process-ended", entry=entry.name, code=code)
                await asyncio.sleep(RESTART_S)
                entry.start()
            await asyncio.sleep(0.05)

    def new_id() -> str:
        return f"{rng.getrandbits(64):016x}"

    async def slow_caller(number: int) -> None:
        request_id = new_id()
        entry = rig.entries[number % len(rig.entries)]
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "2500"}
        rig.record.note("sent", request=request_id, entry=entry.name, route="slow-get")
        answer = await rigs.ask(entry.ip, rig.ports["front"], "GET", "/slow/2f", headers, 2.5)
        statuses["slow-get", answer.status] += 1
        rig.record.note("answered", request=request_id, status=answer.status, why=answer.why)

    async def sound_caller(number: int) -> None:
        entry = rig.entries[number % len(rig.entries)]
        kept = rigs.KeptConnection(entry.ip, rig.ports["front"])
        while not stop.is_set():
            request_id = new_id()
            headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "10000"}
            was_kept = kept.answers > 0
            rig.record.note(
                "sent", request=request_id, entry=entry.name, route="vendor-get", kept=was_kept
            )
            answer = await kept.ask("GET", "/timi402/2f", headers, 10.0)
            statuses["vendor-get", answer.status] += 1
            rig.record.note("answered", request=request_id, status=answer.status, why=answer.why)
            passed_on = any(request_id in one.runs for one in sound)
            if not answer.status and answer.why != "timeout" and was_kept and passed_on:
                lost[entry.name] += 1
                rig.record.note("lost", request=request_id, entry=entry.name)
            await asyncio.sleep(rng.expovariate(1.0 / THINK_S))
        kept.close()

    tasks = [asyncio.create_task(restart_ended(entry)) for entry in rig.entries]
    tasks += [asyncio.create_task(sound_caller(number)) for number in range(CALLERS)]
    loop = asyncio.get_running_loop()
    started = loop.time()
    number = 0
    while loop.time() < started + STEADY_S + PLAY_S:
        if rigs.TROUBLE and loop.time() > started + STEADY_S and slow[0] == 1.0:
            slow[0] = SLOW_X
            rig.record.note("trouble", slow=SLOW_X)
        tasks.append(asyncio.create_task(slow_caller(number)))
        number += 1
        await asyncio.sleep(rng.expovariate(SLOW_PER_S))
    stop.set()
    await asyncio.gather(*tasks)
    resets = sum(searcher.resets for searcher in rig.searchers)
    faulty = [name for name, count in ends.items() if count >= FAULT_ENDS]
    rig.record.note("resets", count=resets)
    rig.record.note("ends", **ends)
    rig.record.note("LOST", **lost)
    rig.record.note("FAULT", machines=",".join(faulty))
    print(
        f"answers {dict(statuses)}, resets {resets}, ends {dict(ends)}, "
        f"LOST {dict(lost)}, Fault at {len(faulty)} machines"
    )
    is_lost = any(count > LOST_ALLOWED for count in lost.values())
    return rigs.BROKEN if is_lost or len(faulty) >= 2 else rigs.HELD


if __name__ == "__main__":
    folder = Path(os.environ.get("RECORD_FOLDER", FOLDER))
    sys.exit(rigs.play(folder, ZONES, case))
