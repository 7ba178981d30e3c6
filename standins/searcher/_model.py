"""The searcher's state: it takes requests and the time, and returns effects."""

import random
from collections import deque
from dataclasses import asdict, replace

from standins.http import Delivery
from standins.searcher import _answers
from standins.searcher._agenda import Agenda
from standins.searcher._counters import Counters
from standins.searcher._effects import Answer, Effect, Event
from standins.searcher._faults import run_delivery, search_delivery, strikes
from standins.searcher._health import HealthLog, Picture
from standins.searcher._holdings import Holdings
from standins.searcher._job import Job, Stage
from standins.searcher._knobs import SearcherKnobs
from standins.searcher._requests import RunRequest, SearchRequest
from standins.searcher._service_time import search_ms

_WRONG_CALL_SUFFIX = ".other"
_STATUS_BY_CODE = {"deadline": 504, "version-gone": 409, "range-moved": 409}
_STATUS_NOT_RUN = 503


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
        self.tickets: list[str] = []
        self._rng = rng
        self._started_ms = now_ms
        self._drain_since_ms = now_ms if knobs.draining else None
        self._busy = 0
        self._waiting: deque[Job] = deque()
        self._jobs: dict[int, Job] = {}
        self._by_call: dict[str, Job] = {}
        self._agenda = Agenda()
        self._health = HealthLog(self._picture(now_ms))

    def search(self, exchange: int, request: SearchRequest, now_ms: float) -> list[Effect]:
        """Take a search.

        :param exchange: The request's number.
        :param request: The search.
        :param now_ms: The time.
        :returns: The effects.
        """
        self.counters.searches += 1
        return self._arrive(Job(exchange, request, now_ms, now_ms + request.deadline_ms), now_ms)

    def run(self, exchange: int, request: RunRequest, now_ms: float) -> list[Effect]:
        """Take an action.

        :param exchange: The request's number.
        :param request: The action.
        :param now_ms: The time.
        :returns: The effects.
        """
        job = Job(exchange, request, now_ms, now_ms + request.deadline_ms)
        if strikes(self.knobs.run_refuse_probability, self._rng):
            return self._refuse(job, "refused", now_ms)
        return self._arrive(job, now_ms)

    def cancel(self, call: str, now_ms: float) -> list[Effect]:
        """Stop a search that waits or executes; its request is answered 503 ``cancelled``.

        :param call: The call's identity.
        :param now_ms: The time.
        :returns: The effects.
        """
        job = self._by_call.get(call)
        if job is None or job.stage is Stage.ANSWERING:
            return [Event("cancel", now_ms, {"call": call, "stage": Stage.GONE.value})]
        event = self._stop(job, "cancel", now_ms)
        body = _answers.refusal("cancelled", None, not_run=False)
        return [event, self._answer(job, 503, body), *self._start_waiting(now_ms)]

    def abandon(self, exchange: int, now_ms: float) -> list[Effect]:
        """Learn that a request's connection is gone; an action that has begun goes on.

        :param exchange: The request's number.
        :param now_ms: The time.
        :returns: The effects.
        """
        job = self._jobs.get(exchange)
        if job is None or (job.is_run and job.stage is not Stage.WAITING):
            return []
        return [self._stop(job, "abandon", now_ms), *self._start_waiting(now_ms)]

    def tick(self, now_ms: float) -> list[Effect]:
        """Do what is due.

        :param now_ms: The time.
        :returns: The effects.
        """
        effects: list[Effect] = []
        while (job := self._agenda.pop(now_ms)) is not None:
            effects.extend(self._fall_due(job, now_ms))
        return effects

    def next_due_ms(self) -> float | None:
        """Say when :meth:`tick` has something to do.

        :returns: The time, or None when nothing is pending.
        """
        return self._agenda.next_ms()

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
        return [Event("version", now_ms, {"holdings": holdings.document()}, durable=True)]

    def health(self, now_ms: float) -> dict[str, object]:
        """Tell the searcher's health, with the lag and the untruths that the knobs ask for.

        :param now_ms: The time.
        :returns: The body of ``GET /health``.
        """
        knobs = self.knobs
        moment_ms = now_ms - knobs.health_lag_ms
        picture = self._health.at(moment_ms)
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "state": knobs.health_state or self._state(picture, moment_ms),
            "slots": knobs.slots,
            "busy": picture.busy if knobs.health_busy is None else knobs.health_busy,
            "collections": picture.holdings.published(),
        }

    def figures(self) -> dict[str, object]:
        """Give the counters.

        :returns: The counters, what is pending, and the tickets run in order.
        """
        pending = {"busy": self._busy, "waiting": len(self._waiting)}
        return {**asdict(self.counters), **pending, "tickets": list(self.tickets)}

    def _arrive(self, job: Job, now_ms: float) -> list[Effect]:
        code = self._refusal(job, now_ms)
        if code is not None:
            return self._refuse(job, code, now_ms)
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
        if strikes(self.knobs.shed_probability, self._rng):
            return "shed"
        full = self._busy >= self.knobs.slots and len(self._waiting) >= self.knobs.queue_limit
        return "shed" if full else None

    def _range_refusal(self, request: SearchRequest) -> str | None:
        return self.holdings.refusal(
            request.collection, request.version, request.lo, request.hi, self.knobs.exact_ranges
        )

    def _refuse(self, job: Job, code: str, now_ms: float) -> list[Effect]:
        self._count_refusal(code)
        event = Event("refuse", now_ms, {**job.named(), "code": code}, durable=job.is_run)
        status = _STATUS_NOT_RUN if job.is_run else _STATUS_BY_CODE.get(code, _STATUS_NOT_RUN)
        retry_after_ms = self.knobs.retry_after_ms if code in ("shed", "draining") else None
        body = _answers.refusal(code, retry_after_ms, not_run=status == _STATUS_NOT_RUN)
        return [event, self._answer(job, status, body)]

    def _count_refusal(self, code: str) -> None:
        self.counters.shed += code == "shed"
        self.counters.refused_draining += code == "draining"
        self.counters.late += code == "deadline"

    def _wait(self, job: Job) -> None:
        self._waiting.append(job)
        self.counters.waited += 1
        self.counters.most_waiting = max(self.counters.most_waiting, len(self._waiting))
        self._agenda.add(job, job.deadline_at_ms)

    def _start_waiting(self, now_ms: float) -> list[Effect]:
        effects: list[Effect] = []
        while self._waiting and self._busy < self.knobs.slots:
            job = self._waiting.popleft()
            if job.deadline_at_ms <= now_ms:
                effects.extend(self._refuse(job, "deadline", now_ms))
            else:
                effects.extend(self._start(job, now_ms))
        return effects

    def _start(self, job: Job, now_ms: float) -> list[Effect]:
        job.stage = Stage.EXECUTING
        job.started_ms = now_ms
        self._busy += 1
        self._note_health(now_ms)
        if job.is_run:
            return self._start_run(job, now_ms)
        return self._start_search(job, now_ms)

    def _start_search(self, job: Job, now_ms: float) -> list[Effect]:
        self.counters.started += 1
        end_ms = now_ms + search_ms(self.knobs, now_ms - self._started_ms, self._rng)
        job.late = end_ms > job.deadline_at_ms
        self._agenda.add(job, min(end_ms, job.deadline_at_ms))
        return [Event("search", now_ms, self._started_fields(job))]

    def _start_run(self, job: Job, now_ms: float) -> list[Effect]:
        self.counters.runs += 1
        self.tickets.append(job.request.ticket)
        self._agenda.add(job, now_ms + self.knobs.run_ms)
        return [Event("run", now_ms, self._started_fields(job), durable=True)]

    def _started_fields(self, job: Job) -> dict[str, object]:
        state = {"arrived_ms": job.arrived_ms, "draining": self.knobs.draining}
        return {**job.named(), **state}

    def _fall_due(self, job: Job, now_ms: float) -> list[Effect]:
        if job.stage is Stage.WAITING:
            self._waiting.remove(job)
            return self._refuse(job, "deadline", now_ms)
        if job.stage is Stage.EXECUTING:
            return self._end(job, now_ms)
        return self._finish(job, now_ms)

    def _end(self, job: Job, now_ms: float) -> list[Effect]:
        self._free(job, now_ms)
        job.stage = Stage.ANSWERING
        started = self._start_waiting(now_ms)
        if self.knobs.answer_delay_ms > 0:
            self._agenda.add(job, now_ms + self.knobs.answer_delay_ms)
            return started
        return [*self._finish(job, now_ms), *started]

    def _free(self, job: Job, now_ms: float) -> None:
        self._busy -= 1
        if not job.is_run:
            self.counters.busy_ms += now_ms - job.started_ms
        self._note_health(now_ms)

    def _finish(self, job: Job, now_ms: float) -> list[Effect]:
        answer = self._run_answer(job) if job.is_run else self._search_answer(job)
        return [Event("done", now_ms, {**job.named(), "status": answer.status}), answer]

    def _run_answer(self, job: Job) -> Answer:
        body = _answers.ran(job.request.ticket, job.request.action)
        return self._answer(job, 200, body, run_delivery(self.knobs, self._rng))

    def _search_answer(self, job: Job) -> Answer:
        if job.late:
            self.counters.late += 1
            return self._answer(job, 504, _answers.refusal("deadline", None, not_run=False))
        code = self._range_refusal(job.request)
        if code is not None:
            return self._answer(job, 409, _answers.refusal(code, None, not_run=False))
        self.counters.searched += 1
        body = _answers.found(self._answered_as(job.request))
        return self._answer(job, 200, body, search_delivery(self.knobs, self._rng))

    def _answered_as(self, request: SearchRequest) -> SearchRequest:
        if strikes(self.knobs.wrong_call_probability, self._rng):
            return replace(request, call=request.call + _WRONG_CALL_SUFFIX)
        if strikes(self.knobs.wrong_version_probability, self._rng):
            return replace(request, version=request.version + 1)
        return request

    def _answer(
        self, job: Job, status: int, body: bytes, delivery: Delivery = Delivery.WHOLE
    ) -> Answer:
        self._forget(job)
        return Answer(job.exchange, status, body, self.knobs.draining, delivery)

    def _stop(self, job: Job, event: str, now_ms: float) -> Event:
        stage = job.stage
        if stage is Stage.WAITING:
            self._waiting.remove(job)
        elif stage is Stage.EXECUTING:
            self._free(job, now_ms)
        self._forget(job)
        self.counters.cancelled += not job.is_run
        return Event(event, now_ms, {**job.named(), "stage": stage.value}, durable=job.is_run)

    def _forget(self, job: Job) -> None:
        job.stage = Stage.GONE
        self._jobs.pop(job.exchange, None)
        if not job.is_run and self._by_call.get(job.request.call) is job:
            del self._by_call[job.request.call]

    def _drained(self, now_ms: float) -> bool:
        since_ms = self._drain_since_ms
        return since_ms is not None and now_ms >= since_ms + self.knobs.drain_grace_ms

    def _picture(self, now_ms: float) -> Picture:
        return Picture(now_ms, self._busy, self.knobs.draining, self.holdings)

    def _note_health(self, now_ms: float) -> None:
        self._health.add(self._picture(now_ms), self.knobs.health_lag_ms)

    def _state(self, picture: Picture, moment_ms: float) -> str:
        if picture.draining:
            return "draining"
        return "warming" if moment_ms - self._started_ms < self.knobs.warm_ms else "ready"
