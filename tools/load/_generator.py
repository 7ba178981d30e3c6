"""Requests at their intended times, whatever came of the earlier ones."""

import asyncio
import random
import time
from collections.abc import Sequence

import aiohttp

from standins.operators import HOST
from tools.load._sample import Sample
from tools.load._site import RequestClass

MISSING = "X-Missing-Parts"
"""Header that tells how many shards an answer leaves out."""
ATTEMPTS = 2
"""The operators' clients come back once after a failure, at another entry."""


def arrivals(
    classes: Sequence[RequestClass], seconds: float, factor: float, seed: int
) -> list[tuple[float, RequestClass]]:
    """Draw when requests come: a Poisson process for each kind, the same for the same seed.

    :param classes: the kinds.
    :param seconds: how long requests come.
    :param factor: multiplies the rates.
    :param seed: seed of the choice.
    :returns: times in ms and kinds, in order.
    """
    rng = random.Random(seed)
    found = []
    for each in classes:
        at_ms = 0.0
        while (at_ms := at_ms + rng.expovariate(each.rate_per_s * factor) * 1e3) < seconds * 1e3:
            found.append((at_ms, each))
    return sorted(found, key=lambda pair: pair[0])


async def generate(
    due: Sequence[tuple[float, RequestClass]], entries: Sequence[tuple[str, int]]
) -> list[Sample]:
    """Send requests to entries in turn and wait for the last answer.

    :param due: times in ms and kinds.
    :param entries: IP addresses and ports.
    :returns: what came of them.
    """
    samples: list[Sample] = []
    start_s = time.monotonic()
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        async with asyncio.TaskGroup() as tasks:
            for number, (at_ms, each) in enumerate(due):
                left_s = start_s + at_ms / 1e3 - time.monotonic()
                await asyncio.sleep(max(0.0, left_s))
                first = number % len(entries)
                tried = [entries[(first + place) % len(entries)] for place in range(ATTEMPTS)]
                tasks.create_task(
                    _ask(session, tried, number, each, start_s + at_ms / 1e3, samples)
                )
    return samples


async def _ask(
    session: aiohttp.ClientSession,
    entries: Sequence[tuple[str, int]],
    number: int,
    each: RequestClass,
    due_s: float,
    samples: list[Sample],
) -> None:
    """Ask one entry, and after a failure the next one, each attempt with an id of its own."""
    status, missing = 0, 0
    for attempt, (ip, port) in enumerate(entries):
        left_ms = each.wait_ms - (time.monotonic() - due_s) * 1e3
        if left_ms <= 0:
            break
        headers = {
            "Host": HOST,
            "X-Request-Id": f"load-{number}-{attempt}",
            "X-Deadline-Ms": str(int(left_ms)),
        }
        url = f"http://{ip}:{port}/{each.name}/{number}"
        timeout = aiohttp.ClientTimeout(total=left_ms / 1e3)
        try:
            async with session.get(url, headers=headers, timeout=timeout) as response:
                await response.read()
                status = response.status
                missing = int(response.headers.get(MISSING, 0))
        except (aiohttp.ClientError, TimeoutError):
            # The sample's status 0 tells of it.
            status = 0
        if 200 <= status < 300:
            break
    took_ms = (time.monotonic() - due_s) * 1e3
    samples.append(Sample(each.name, took_ms, status, missing))
