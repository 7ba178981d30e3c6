"""The searcher's state: it takes requests and the time, and returns effects."""

import random
from collections import deque
from dataclasses import asdict, dataclass
from heapq import heappop, heappush
from itertools import count

from standins.http import Delivery
from standins.searcher import _answers
from standins.searcher._effects import Answer, Effect, Event
from standins.searcher._health import HealthLog, Picture
from standins.searcher._holdings import Holdings
from standins.searcher._job import Job, Stage
from standins.searcher._knobs import SearcherKnobs
from standins.searcher._requests import RunRequest, SearchRequest
from standins.searcher._service_time import search_ms

_WRONG_CALL_SUFFIX = ".other"


@dataclass(slots=True)
class Counters:
    """What a searcher has counted since its start.

    :param searches: Searches that arrived.
    :param searched: Searches executed to their end.
    :param runs: Actions run.
    :param shed: Requests shed.
    :param refused_draining: Requests refused because the searcher leaves.
    :param late: Requests that met their deadline.
    :param cancelled: Searches stopped by a cancel or by a closed connection.
    :param waited: Requests that found every slot busy and waited.
    :param most_waiting: The longest queue.
    :param busy_ms: Slot time spent on searches, cancelled ones included.
    """

    searches: int = 0
    searched: int = 0
    runs: int = 0
    shed: int = 0
    refused_draining: int = 0
    late: int = 0
    cancelled: int = 0
    waited: int = 0
    most_waiting: int = 0
    busy_ms: float = 0.0


class Searcher:
    """One searcher. Every method takes the time and returns the effects to carry out in order.

    :param name: The searcher's name.
    :param incarnation: Grows with each start.
    :param knobs: How it behaves.
    :param holdings: What it holds.
    :param rng: The random source.
    :param now_ms: The time of its start.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        knobs: SearcherKnobs,
        holdings: Holdings,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.knobs = knobs
        self.holdings = holdings
        self.counters = Counters()
        self.runs: list[str] = []
        self._rng = rng
        self._started_ms = now_ms
        self._drain_since_ms = now_ms if knobs.draining else None
        self._busy = 0
        self._waiting: deque[Job] = deque()
        self._jobs: dict[int, Job] = {}
        self._by_call: dict[str, Job] = {}
        self._due: list[tuple[float, int, Job, Stage]] = []
        self._order = count()
        self._health = HealthLog(self._picture(now_ms))

    def search(self, exchange: int, request: SearchRequest, now_ms: float) -> list[Effect]:
        """Take a search.

        :param exchange: The request's number.
        :param request: The search.
        :param now_ms: The time.
        :returns: The effects.
        """
        self.counters.searches += 1
        job = Job(exchange, request, now_ms + request.deadline_ms)
        return self._arrived(job, now_ms)

    def run(self, exchange: int, request: RunRequest, now_ms: float) -> list[Effect]:
        """Take an action.

        :param exchange: The request's number.
        :param request: The action.
        :param now_ms: The time.
        :returns: The effects.
        """
        job = Job(exchange, request, now_ms + request.deadline_ms)
        if self._strikes(self.knobs.run_refuse_probability):
            return self._refused(job, "refused", now_ms)
        return self._arrived(job, now_ms)

    def cancel(self, call: str, now_ms: float) -> list[Effect]:
        """Stop a search.

        :param call: The call's identity.
        :param now_ms: The time.
        :returns: The effects.
        """
        job = self._by_call.get(call)
        if job is None or job.stage not in (Stage.WAITING, Stage.EXECUTING):
            return [Event("cancel", now_ms, {"call": call, "stage": Stage.GONE.value})]
        stage = job.stage
        answer = self._answer(job, 503, _answers.refusal("cancelled", None, not_run=False))
        return [self._stop(job, "cancel", stage, now_ms), answer, *self._start_waiting(now_ms)]

    def abandon(self, exchange: int, now_ms: float) -> list[Effect]:
        """Learn that a request's connection is gone.

        :param exchange: The request's number.
        :param now_ms: The time.
        :returns: The effects.
        """
        job = self._jobs.get(exchange)
        if job is None:
            return []
        if job.is_run and job.stage is not Stage.WAITING:
            return []
        return [self._stop(job, "abandon", job.stage, now_ms), *self._start_waiting(now_ms)]

    def tick(self, now_ms: float) -> list[Effect]:
        """Do what is due.

        :param now_ms: The time.
        :returns: The effects.
        """
        effects: list[Effect] = []
        while self._due and self._due[0][0] <= now_ms:
            _, _, job, stage = heappop(self._due)
            if job.stage is stage:
                effects.extend(self._fall_due(job, now_ms))
        return effects

    def next_due_ms(self) -> float | None:
        """Say when :meth:`tick` has something to do.

        :returns: The time, or None when nothing is pending.
        """
        while self._due and self._due[0][2].stage is not self._due[0][3]:
            heappop(self._due)
        return self._due[0][0] if self._due else None

    def change(self, knobs: SearcherKnobs, now_ms: float) -> list[Effect]:
        """Set the knobs.

        :param knobs: All of them.
        :param now_ms: The time.
        :returns: The effects.
        """
        effects: list[Effect] = []
        if knobs.draining != self.knobs.draining:
            self._drain_since_ms = now_ms if knobs.draining else None
            event = "drain" if knobs.draining else "drain-undone"
            effects.append(Event(event, now_ms, durable=True))
        self.knobs = knobs
        self._note_health(now_ms)
        return effects + self._start_waiting(now_ms)

    def hold(self, holdings: Holdings, now_ms: float) -> list[Effect]:
        """Set what the searcher holds.

        :param holdings: All of it.
        :param now_ms: The time.
        :returns: The effects.
        """
        self.holdings = holdings
        self._note_health(now_ms)
        held = {
            collection: {str(version): ranges for version, ranges in versions.items()}
            for collection, versions in holdings.ranges.items()
        }
        return [Event("version", now_ms, {"holdings": held}, durable=True)]

    def health(self, now_ms: float) -> dict[str, object]:
        """Tell the searcher's health, with the lag and the untruths that the knobs ask for.

        :param now_ms: The time.
        :returns: The body of ``GET /health``.
        """
        knobs = self.knobs
        picture = self._health.at(now_ms - knobs.health_lag_ms)
        busy = picture.busy if knobs.health_busy is None else knobs.health_busy
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "state": knobs.health_state or self._state(picture, now_ms),
            "slots": knobs.slots,
            "busy": busy,
            "collections": picture.holdings.published(),
        }

    def figures(self) -> dict[str, object]:
        """Give the counters.

        :returns: The counters, what is pending, and the tickets run.
        """
        pending = {"busy": self._busy, "waiting": len(self._waiting)}
        return {**asdict(self.counters), **pending, "tickets": list(self.runs)}

    def _arrived(self, job: Job, now_ms: float) -> list[Effect]:
        code = self._refusal(job, now_ms)
        if code is not None:
            return self._refused(job, code, now_ms)
        self._jobs[job.exchange] = job
        if not job.is_run:
            self._by_call[job.request.call] = job
        if self._busy < self.knobs.slots:
            return self._start(job, now_ms)
        self._wait(job)
        return []

    def _refusal(self, job: Job, now_ms: float) -> str | None:
        if self._drained(now_ms):
            return "draining"
        if job.deadline_at_ms <= now_ms:
            return "deadline"
        if not job.is_run:
            code = self._range_refusal(job.request)
            if code is not None:
                return code
        if self._strikes(self.knobs.shed_probability):
            return "shed"
        full = self._busy >= self.knobs.slots and len(self._waiting) >= self.knobs.queue_limit
        return "shed" if full else None

    def _range_refusal(self, request: SearchRequest) -> str | None:
        return self.holdings.refusal(
            request.collection, request.version, request.lo, request.hi, self.knobs.exact_ranges
        )

    def _refused(self, job: Job, code: str, now_ms: float) -> list[Effect]:
        counters = self.counters
        counters.shed += code == "shed"
        counters.refused_draining += code == "draining"
        counters.late += code == "deadline"
        retry_after_ms = self.knobs.retry_after_ms if code in ("shed", "draining") else None
        event = Event("refuse", now_ms, {**job.named(), "code": code}, durable=job.is_run)
        status = 503 if job.is_run else _STATUS_BY_CODE.get(code, 503)
        body = _answers.refusal(code, retry_after_ms, not_run=status == 503)
        return [event, self._answer(job, status, body)]

    def _wait(self, job: Job) -> None:
        self._waiting.append(job)
        self.counters.waited += 1
        self.counters.most_waiting = max(self.counters.most_waiting, len(self._waiting))
        self._schedule(job, job.deadline_at_ms)

    def _start(self, job: Job, now_ms: float) -> list[Effect]:
        job.stage = Stage.EXECUTING
        job.started_ms = now_ms
        self._busy += 1
        self._note_health(now_ms)
        if job.is_run:
            return self._start_run(job, now_ms)
        return self._start_search(job, now_ms)

    def _start_search(self, job: Job, now_ms: float) -> list[Effect]:
        end_ms = now_ms + search_ms(self.knobs, now_ms - self._started_ms, self._rng)
        job.late = end_ms > job.deadline_at_ms
        self._schedule(job, min(end_ms, job.deadline_at_ms))
        return [Event("search", now_ms, {**job.named(), "draining": self.knobs.draining})]

    def _start_run(self, job: Job, now_ms: float) -> list[Effect]:
        self.counters.runs += 1
        self.runs.append(job.request.ticket)
        self._schedule(job, now_ms + self.knobs.run_ms)
        fields = {**job.named(), "draining": self.knobs.draining}
        return [Event("run", now_ms, fields, durable=True)]

    def _schedule(self, job: Job, due_ms: float) -> None:
        heappush(self._due, (due_ms, next(self._order), job, job.stage))

    def _fall_due(self, job: Job, now_ms: float) -> list[Effect]:
        if job.stage is Stage.WAITING:
            return self._expire(job, now_ms)
        if job.stage is Stage.EXECUTING:
            return self._end(job, now_ms)
        return [self._final_answer(job)]

    def _expire(self, job: Job, now_ms: float) -> list[Effect]:
        self._waiting.remove(job)
        return self._refused(job, "deadline", now_ms)

    def _end(self, job: Job, now_ms: float) -> list[Effect]:
        self._free(job, now_ms)
        return [*self._ended(job, now_ms), *self._start_waiting(now_ms)]

    def _ended(self, job: Job, now_ms: float) -> list[Effect]:
        if self.knobs.answer_delay_ms > 0:
            job.stage = Stage.ANSWERING
            self._schedule(job, now_ms + self.knobs.answer_delay_ms)
            return []
        return [self._final_answer(job)]

    def _free(self, job: Job, now_ms: float) -> None:
        self._busy -= 1
        if not job.is_run:
            self.counters.busy_ms += now_ms - job.started_ms
        self._note_health(now_ms)

    def _final_answer(self, job: Job) -> Answer:
        if job.is_run:
            return self._run_answer(job)
        return self._search_answer(job)

    def _run_answer(self, job: Job) -> Answer:
        lost = self._strikes(self.knobs.run_lose_probability)
        body = _answers.ran(job.request.ticket, job.request.action)
        return self._answer(job, 200, body, Delivery.LOST if lost else Delivery.WHOLE)

    def _search_answer(self, job: Job) -> Answer:
        request = job.request
        if job.late:
            self.counters.late += 1
            return self._answer(job, 504, _answers.refusal("deadline", None, not_run=False))
        code = self._range_refusal(request)
        if code is not None:
            return self._answer(job, 409, _answers.refusal(code, None, not_run=False))
        self.counters.searched += 1
        call = request.call
        if self._strikes(self.knobs.wrong_call_probability):
            call += _WRONG_CALL_SUFFIX
        return self._answer(job, 200, _answers.found(request, call), self._delivery())

    def _delivery(self) -> Delivery:
        knobs = self.knobs
        if self._strikes(knobs.drop_answer_probability):
            return Delivery.LOST
        if self._strikes(knobs.cut_answer_probability):
            return Delivery.CUT_SHORT
        if self._strikes(knobs.duplicate_answer_probability):
            return Delivery.TWICE
        return Delivery.WHOLE

    def _answer(
        self, job: Job, status: int, body: bytes, delivery: Delivery = Delivery.WHOLE
    ) -> Answer:
        self._forget(job)
        return Answer(job.exchange, status, body, self.knobs.draining, delivery)

    def _forget(self, job: Job) -> None:
        job.stage = Stage.GONE
        self._jobs.pop(job.exchange, None)
        if not job.is_run and self._by_call.get(job.request.call) is job:
            del self._by_call[job.request.call]

    def _stop(self, job: Job, event: str, stage: Stage, now_ms: float) -> Event:
        if stage is Stage.WAITING:
            self._waiting.remove(job)
        elif stage is Stage.EXECUTING:
            self._free(job, now_ms)
        self._forget(job)
        self.counters.cancelled += not job.is_run
        return Event(event, now_ms, {**job.named(), "stage": stage.value}, durable=job.is_run)

    def _start_waiting(self, now_ms: float) -> list[Effect]:
        effects: list[Effect] = []
        while self._waiting and self._busy < self.knobs.slots:
            effects.extend(self._start(self._waiting.popleft(), now_ms))
        return effects

    def _drained(self, now_ms: float) -> bool:
        since_ms = self._drain_since_ms
        return since_ms is not None and now_ms >= since_ms + self.knobs.drain_grace_ms

    def _strikes(self, probability: float) -> bool:
        return probability > 0 and self._rng.random() < probability

    def _picture(self, now_ms: float) -> Picture:
        return Picture(now_ms, self._busy, self.knobs.draining, self.holdings)

    def _note_health(self, now_ms: float) -> None:
        self._health.add(self._picture(now_ms), self.knobs.health_lag_ms)

    def _state(self, picture: Picture, now_ms: float) -> str:
        if picture.draining:
            return "draining"
        age_ms = now_ms - self.knobs.health_lag_ms - self._started_ms
        return "warming" if age_ms < self.knobs.warm_ms else "ready"


_STATUS_BY_CODE = {"deadline": 504, "version-gone": 409, "range-moved": 409}
