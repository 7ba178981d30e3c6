"""The load generator's process: sends requests at their intended times, waits for no answer.

It reads one job a line from the standard input, writes the samples to the job's file, and answers
with one line. A job is ``{"start_ms", "entries", "streams", "arrivals", "timeout_ms", "path"}``;
``start_ms`` is on the machine's monotonic clock.
"""

import asyncio
import itertools
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import aiohttp
import orjson

from tools.bench._sample import Sample, write_samples

TEXT = "bearing"
"""What all requests search for."""

_HEADERS = {"Content-Type": "application/json"}


async def run_job(job: Mapping[str, Any]) -> dict[str, Any]:
    """Send the requests of one job and note what comes of them.

    :param job: see the module.
    :returns: a summary for the standard output.
    """
    streams = job["streams"]
    bodies = [_body(stream) for stream in streams]
    urls = [f"http://127.0.0.1:{port}/v1/search" for port in job["entries"]]
    entries = itertools.cycle(range(len(urls)))
    timeout = aiohttp.ClientTimeout(total=job["timeout_ms"] / 1000)
    samples: list[Sample] = []
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), timeout=timeout, headers=_HEADERS
    ) as session:
        async with asyncio.TaskGroup() as tasks:
            for at_ms, place in job["arrivals"]:
                await _sleep_until(job["start_ms"] + at_ms)
                entry = next(entries)
                stream = streams[place]
                ask = _ask(session, urls[entry], bodies[place], job["start_ms"] + at_ms)
                tasks.create_task(_note(samples, ask, stream, entry, at_ms))
    write_samples(Path(job["path"]), samples)
    return {"requests": len(samples)}


async def _note(
    samples: list[Sample], ask: Any, stream: Mapping[str, Any], entry: int, at_ms: float
) -> None:
    outcome = await ask
    samples.append(Sample(stream["class_name"], stream["collection"], entry, at_ms, **outcome))


async def _ask(
    session: aiohttp.ClientSession, url: str, body: bytes, intended_ms: float
) -> dict[str, Any]:
    lag_ms = _now_ms() - intended_ms
    status, raw, code = 0, b"", ""
    try:
        async with session.post(url, data=body) as answer:
            status, raw = answer.status, await answer.read()
    except TimeoutError:
        code = "timeout"
    except aiohttp.ClientError:
        code = "transport"
    latency_ms = _now_ms() - intended_ms
    return {"lag_ms": lag_ms, "latency_ms": latency_ms, **_outcome(status, raw, code)}


def _outcome(status: int, raw: bytes, code: str) -> dict[str, Any]:
    document = orjson.loads(raw) if raw else {}
    error = document.get("error", {})
    return {
        "status": status,
        "code": code or error.get("code", ""),
        "coverage": document.get("coverage", {}).get("fraction", 0.0),
        "not_run": error.get("not_run", False),
        "retry_after_ms": error.get("retry_after_ms"),
    }


def _body(stream: Mapping[str, Any]) -> bytes:
    body = {"collection": stream["collection"], "text": TEXT, "class": stream["class_name"]}
    if stream["deadline_ms"] is not None:
        body["deadline_ms"] = stream["deadline_ms"]
    return orjson.dumps(body)


async def _sleep_until(at_ms: float) -> None:
    wait_ms = at_ms - _now_ms()
    if wait_ms > 0:
        await asyncio.sleep(wait_ms / 1000)


def _now_ms() -> float:
    return time.monotonic_ns() / 1e6


def main() -> None:
    """Do jobs until the standard input ends."""
    for line in sys.stdin.buffer:
        summary = asyncio.run(run_job(orjson.loads(line)))
        sys.stdout.buffer.write(orjson.dumps(summary, option=orjson.OPT_APPEND_NEWLINE))
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    main()
