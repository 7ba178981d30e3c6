"""One trial: a deployment under load, with a fault in the middle."""

import asyncio
import math
import random
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from standins.fleet import wait_until
from standins.operators import Deployment
from tools.load._faults import FAULTS
from tools.load._generator import arrivals, generate
from tools.load._sample import Sample
from tools.load._site import Site

WORK_SPREAD = 0.35
"""Standard deviation of the logarithm of a request's work, as on the operators' sheets."""
FAULT_AT = 0.4
"""Part of a trial after which its fault begins."""


@dataclass(frozen=True, slots=True)
class Trial:
    """What a trial plays.

    :param site: the deployment.
    :param fault: name of the fault.
    :param seconds: how long requests come.
    :param rate_factor: multiplies the sheet's rates.
    :param seed: seed of arrivals and work.
    :param root: the source tree that entries are started from.
    """

    site: Site
    fault: str
    seconds: float
    rate_factor: float
    seed: int
    root: Path


def play(trial: Trial) -> list[Sample]:
    """Play a trial.

    :param trial: what to play.
    :returns: what came of each request.
    :raises RuntimeError: when an entry does not become ready.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), trial.root)
        try:
            return _play(trial, deployment)
        finally:
            deployment.close()


def _play(trial: Trial, deployment: Deployment) -> list[Sample]:
    site = trial.site
    deployment.put("op/config", site.published())
    _add_searchers(trial, deployment)
    for domain in site.domains:
        for _ in range(site.entries):
            deployment.start_entry(zone=domain)
    for entry in deployment.entries:
        if not wait_until(entry.is_ready):
            raise RuntimeError(f"{entry.name} is not ready; its log:\n{entry.log()}")
    due = arrivals(site.classes, trial.seconds, trial.rate_factor, trial.seed)
    begin = threading.Timer(FAULT_AT * trial.seconds, FAULTS[trial.fault], args=(deployment,))
    begin.start()
    try:
        return asyncio.run(generate(due, [(e.ip, e.callers) for e in deployment.entries]))
    finally:
        begin.cancel()
        begin.join()


def _add_searchers(trial: Trial, deployment: Deployment) -> None:
    site = trial.site
    work_ms = {each.name: each.work_ms for each in site.classes}
    rng = random.Random(trial.seed)

    def work(phase_ms: float):
        def needed_ms(path: str) -> float:
            """Draw the work, and wait for the end of a pause first."""
            median_ms = work_ms[path.split("/")[1]]
            in_turn_ms = (time.monotonic() * 1e3 + phase_ms) % site.pause_every_ms
            pause_ms = max(0.0, site.pause_ms - in_turn_ms)
            return pause_ms + median_ms * math.exp(rng.gauss(0.0, WORK_SPREAD))

        return needed_ms

    names = [(service, 2) for service in site.shard_names()] + [("single", site.single)]
    for place, (service, replicas) in enumerate(names):
        for replica in range(replicas):
            domain = site.domains[(place + replica) % len(site.domains)]
            searcher = deployment.add_searcher(f"{service}-{replica + 1}", service, domain)
            searcher.slots = site.slots
            searcher.work_ms = work(rng.uniform(0.0, site.pause_every_ms))
            deployment.put(f"servers/{searcher.incarnation}", searcher.entry())
