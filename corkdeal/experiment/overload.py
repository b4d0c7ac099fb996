"""Plays callers against a service in virtual time: who is answered while still waiting, and who is not.

Gateways run the whole decision module; backends are first-come, first-served queues before a number of cores.
A backend does not notice that a caller has left: work that was cancelled or has timed out is done all the
same. Deterministic by seed; no I/O, no clock.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from ..decisions.actions import Action, CancelAttempt, Fail, Reject, SendToPeer, SetTimer, StartAttempt
from ..decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    PeerMessage,
    Request,
    Status,
    TimerExpired,
    UpdateKind,
)
from ..decisions.gateway import Gateway
from ..decisions.settings import Settings

NETWORK_DELAY = 0.001  # s, one way, between any two processes
SETTLING_TIME = 10.0  # s for which the play goes on after the last call


@dataclass(slots=True, frozen=True)
class Call:
    """One request of a caller."""

    at: float  # s
    gateway: int
    customer: int
    plan: int
    request_class: int
    work: float  # s on a core of speed 1
    timeout: float  # s for which the caller waits
    units: float = 1.0


@dataclass(slots=True, frozen=True)
class BackendModel:
    """A backend: its cores, their speed, and how it fails."""

    name: str
    cores: int = 1
    speed: float = 1.0
    max_queue: int = 1000  # requests; further ones are rejected
    error_rate: float = 0.0  # fraction of the attempts that fail after their work
    started: float = 0.0  # s; 0 for long ago


@dataclass(slots=True)
class CallResult:
    """What became of a call; times are in s after it was made."""

    call: Call
    outcome: str = "unanswered"  # or served, rejected, failed
    answered_after: float = 0.0
    is_repeat: bool = False

    @property
    def is_served_in_time(self) -> bool:
        """Whether the answer came while the caller waited."""
        return self.outcome == "served" and self.answered_after <= self.call.timeout


@dataclass(slots=True, eq=False)
class _Job:
    """One attempt at a backend."""

    gateway: int
    request_id: int
    attempt: int
    backend: str
    sent_at: float
    work: float
    is_ended: bool = False  # whether the gateway has the outcome


@dataclass(slots=True)
class _BackendState:
    model: BackendModel
    running: int = 0
    queue: deque[_Job] = field(default_factory=deque)


@dataclass(slots=True, frozen=True)
class Summary:
    """Figures of one play."""

    calls: int
    served_in_time: int  # callers answered while they waited, with a repeat if they made one
    wasted_work: float  # s of work done on cores for nobody: its attempt had ended before
    mean_latency: float  # s, of the served
    mean_rejection_wait: float  # s until a rejection or failure
    longest_rejection_wait: float  # s


class Play:
    """One play; `run` returns the result of every call and every repeat."""

    def __init__(
        self,
        settings: Sequence[Settings],
        backends: Sequence[BackendModel],
        calls: Iterable[Call],
        seed: int,
        repeat_delay: float | None = None,
        marks_repeats: bool = False,
    ) -> None:
        """Each of `settings` is of one gateway.

        A caller whose call was rejected makes it once more after `repeat_delay` s, if that is given and time
        is left.
        """
        self.now = 0.0
        self.rng = random.Random(seed)
        self.repeat_delay = repeat_delay
        self.marks_repeats = marks_repeats
        self.gateways = [Gateway(each, seed + index) for index, each in enumerate(settings)]
        self.backends = {model.name: _BackendState(model) for model in backends}
        self.results: dict[int, CallResult] = {}  # by request id
        self.open: set[int] = set()  # ids of requests without a final answer
        self.jobs: dict[tuple[int, int], _Job] = {}  # by request id and attempt
        self.attempts: dict[int, int] = {}  # started, by request id
        self.wasted_work = 0.0  # s
        self.actions: list[tuple[float, int, Action]] = []  # time, gateway, action
        self.first_ids: dict[int, int] = {}  # id of a repeat -> id of the first call
        self._sequence = itertools.count()
        self._ids = itertools.count(1)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        endpoints = tuple(
            Endpoint(model.name, EndpointState.READY, started=model.started) for model in backends
        )
        for index in range(len(self.gateways)):
            self._at(0.0, self._handle, index, EndpointUpdate(UpdateKind.COMPLETE, endpoints))
        self.end = 0.0
        for call in calls:
            self._at(call.at, self._make_call, call)
            self.end = max(self.end, call.at + SETTLING_TIME)

    def run(self) -> dict[int, CallResult]:
        """Play to the end."""
        while self._events and self._events[0][0] <= self.end:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        return self.results

    def summary(self, since: float = 0.0, until: float = float("inf")) -> Summary:
        """Return the figures of the calls that were made in a span of time."""
        selected = {key: r for key, r in self.results.items() if since <= r.call.at < until}
        served = [r for r in selected.values() if r.is_served_in_time]
        waits = [r.answered_after for r in selected.values() if r.outcome in ("rejected", "failed")]
        first_ids = {self.first_ids.get(key, key) for key, r in selected.items() if r.is_served_in_time}
        return Summary(
            calls=sum(not r.is_repeat for r in selected.values()),
            served_in_time=len(first_ids),
            wasted_work=self.wasted_work,
            mean_latency=sum(r.answered_after for r in served) / max(1, len(served)),
            mean_rejection_wait=sum(waits) / max(1, len(waits)),
            longest_rejection_wait=max(waits, default=0.0),
        )

    def _at(self, time: float, function: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), function, arguments))

    def _make_call(self, call: Call, first_id: int | None = None) -> None:
        request_id = next(self._ids)
        is_repeat = first_id is not None
        if first_id is not None:
            self.first_ids[request_id] = self.first_ids.get(first_id, first_id)
        self.results[request_id] = CallResult(call, is_repeat=is_repeat)
        self.open.add(request_id)
        count = len(self.gateways)
        request = Request(
            request_id, call.customer, call.plan, call.request_class, call.units, 0, count, call.timeout,
            is_retry=is_repeat and self.marks_repeats,
        )  # fmt: skip
        self._handle(call.gateway, request)

    def _handle(self, index: int, event: Event) -> None:
        for action in self.gateways[index].handle(self.now, [event]):
            self.actions.append((self.now, index, action))
            self._carry_out(index, action)

    def _carry_out(self, index: int, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(index, action)
            case Reject():
                self._answer(index, action.id, "rejected")
            case Fail():
                self._answer(index, action.id, "failed")
            case CancelAttempt():
                self._end(self.jobs.get((action.id, action.attempt)), Status.CANCELLED)
            case SetTimer():
                self._at(self.now + action.delay, self._handle, index, TimerExpired(action.token))
            case SendToPeer():
                peers = range(len(self.gateways)) if action.peer is None else [action.peer]
                for peer in peers:
                    if peer != index:
                        message = PeerMessage(index, action.payload)
                        self._at(self.now + NETWORK_DELAY, self._handle, peer, message)

    def _answer(self, index: int, request_id: int, outcome: str) -> None:
        """Give a call its final answer; its caller may repeat it."""
        if request_id not in self.open:
            return
        self.open.discard(request_id)
        result = self.results[request_id]
        call = result.call
        result.outcome, result.answered_after = outcome, self.now - call.at
        if outcome != "rejected" or self.repeat_delay is None or result.is_repeat:
            return
        time_left = call.timeout - result.answered_after - self.repeat_delay
        if time_left > 0:
            at = self.now + self.repeat_delay
            repeat = Call(
                at, index, call.customer, call.plan, call.request_class, call.work, time_left, call.units
            )
            self._at(at, self._make_call, repeat, request_id)

    def _start_attempt(self, index: int, action: StartAttempt) -> None:
        call = self.results[action.id].call
        attempt = self.attempts.get(action.id, 0)
        self.attempts[action.id] = attempt + 1
        job = _Job(index, action.id, attempt, str(action.backend), self.now, call.work)
        self.jobs[action.id, attempt] = job
        self._at(self.now + NETWORK_DELAY, self._arrive, job)
        self._at(call.at + call.timeout, self._end, job, Status.TIMEOUT)

    def _arrive(self, job: _Job) -> None:
        backend = self.backends[job.backend]
        if len(backend.queue) >= backend.model.max_queue:
            self._at(self.now + NETWORK_DELAY, self._end, job, Status.REJECTED)
            return
        backend.queue.append(job)
        self._run_next(backend)

    def _run_next(self, backend: _BackendState) -> None:
        while backend.queue and backend.running < backend.model.cores:
            backend.running += 1
            job = backend.queue.popleft()
            self._at(self.now + job.work / backend.model.speed, self._finish, backend, job)

    def _finish(self, backend: _BackendState, job: _Job) -> None:
        backend.running -= 1
        if job.is_ended:
            self.wasted_work += job.work / backend.model.speed
        is_error = self.rng.random() < backend.model.error_rate
        self._at(self.now + NETWORK_DELAY, self._end, job, Status.ERROR if is_error else Status.OK)
        self._run_next(backend)

    def _end(self, job: _Job | None, status: Status) -> None:
        """Report the first outcome of an attempt to its gateway."""
        if job is None or job.is_ended:
            return
        job.is_ended = True
        if status is Status.OK:
            self._answer(job.gateway, job.request_id, "served")
        is_final = job.request_id not in self.open
        elapsed = self.now - job.sent_at
        event = AttemptEnded(job.request_id, job.attempt, job.backend, status, elapsed, is_final)
        # its own batch, as on sockets: an outcome is not handled within the batch that caused it
        self._at(self.now, self._handle, job.gateway, event)


@dataclass(slots=True, frozen=True)
class LoadPhase:
    """A span of time with a constant rate of calls."""

    duration: float  # s
    rate: float  # calls per second


def draw_calls(
    rng: random.Random,
    settings: Settings,
    phases: Sequence[LoadPhase],
    work: tuple[float, float],
    customers: int = 20,
) -> list[Call]:
    """Draw calls with Poisson arrivals, whose callers wait for a half to the whole of their deadline."""
    calls, begin = [], 0.0
    for phase in phases:
        at = begin + rng.expovariate(phase.rate)
        while at < begin + phase.duration:
            request_class = rng.randrange(len(settings.classes))
            deadline = settings.classes[request_class].deadline
            customer = rng.randrange(customers)
            calls.append(
                Call(
                    at,
                    rng.randrange(settings.gateway_count),
                    customer,
                    customer % len(settings.plans),
                    request_class,
                    rng.uniform(*work),
                    deadline * rng.uniform(0.5, 1.0),
                )
            )
            at += rng.expovariate(phase.rate)
        begin += phase.duration
    return calls
