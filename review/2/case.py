"""A searcher sends its refusal of a request a second time, late, on the connection of its retry."""

import asyncio
import collections
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig as rigs  # noqa: E402

ZONES = ("hall-a", "hall-b")
PLAY_S = 60.0
PER_S = 12.0
"""Requests a second; the sheet of vss-payrun has 11.3 of `vendor-get`."""
SHED = 0.45
"""Share of the requests that the searcher refuses (`srv_grey`, `how = "shed"`, x = 0.45)."""
EXTRA_LATE = 0.04
"""Share of the responses sent once more, late (`garble`, `how = "extra late"`, x = 0.04)."""
PROMISES = (408, 421, 429, 503)


async def case(rig: rigs.Rig) -> int:
    rng = random.Random(48)
    services = {"vendor-desk": 42}
    routes = [
        rigs.route("vendor-get", "/timi402/", service="vendor-desk", route_type="non_idempotent")
    ]
    for number, zone in enumerate(ZONES):
        searcher = await rig.add_searcher(f"i-{zone}-{number}", "vendor-desk", zone, 4, 16)
        searcher.work_s = lambda message: min(0.96, rng.lognormvariate(-1.95, 0.5))
    rig.store.put("op/config", rigs.configuration(7, routes, services))
    await rig.start_entries(ZONES)
    await asyncio.sleep(4.0)
    answers: dict[str, rigs.Answer] = {}

    async def caller(number: int) -> None:
        request_id = f"{rng.getrandbits(64):016x}"
        entry = rig.entries[number % len(rig.entries)]
        rig.record.note("sent", request=request_id, entry=entry.name)
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "10000"}
        answer = await rigs.ask(
            entry.ip, rig.ports["front"], "POST", "/timi402/2f", headers, 10.0, b"x" * 300
        )
        answers[request_id] = answer
        rig.record.note("answered", request=request_id, status=answer.status, why=answer.why)

    if rigs.TROUBLE:
        lost, left = rig.searchers
        rig.record.note("trouble", lost=lost.incarnation, sheds=left.incarnation)
        lost.crash()
        left.shed = SHED
        left.extra_late = EXTRA_LATE
    tasks = []
    loop = asyncio.get_running_loop()
    until = loop.time() + PLAY_S
    while loop.time() < until:
        tasks.append(asyncio.create_task(caller(len(tasks))))
        await asyncio.sleep(rng.expovariate(PER_S))
    await asyncio.gather(*tasks)
    await asyncio.sleep(2.0)
    runs = collections.Counter(one for searcher in rig.searchers for one in searcher.runs)
    twice = [one for one, count in runs.items() if count > 1]
    refused = [one for one, answer in answers.items() if answer.status in PROMISES and runs[one]]
    rig.record.note("TWICE", requests=len(twice), ids=",".join(twice))
    rig.record.note("REFUSED", requests=len(refused), ids=",".join(refused))
    statuses = collections.Counter(answer.status for answer in answers.values())
    rig.record.note("answers", **{str(status): count for status, count in statuses.items()})
    print(f"statuses {dict(statuses)}, TWICE {len(twice)}, REFUSED {len(refused)}")
    return rigs.BROKEN if twice or refused else rigs.HELD


if __name__ == "__main__":
    folder = Path(os.environ.get("RECORD_FOLDER", FOLDER))
    sys.exit(rigs.play(folder, ZONES, case))
