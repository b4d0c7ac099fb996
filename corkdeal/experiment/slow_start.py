"""Simulates the slow start of a backend behind a fleet, in virtual time: is it overloaded, or underused?

One backend starts. Each gateway that prefers it (`sharers`) has a `SlowStartBudget` of its own and attempts
to send it every request, which is the highest demand that load balancing can put on the budget.
`OverloadDetector` applies the operators' rule: a backend that warms up is overloaded by more than N + 2
sqrt(N) + 2 requests of mean work within `overload_window`, N being the number that the settings allow at that
moment. The rule is broken if over two thirds of this work came from gateways that had been notified of the
start.

Deterministic by seed; no I/O, no clock.
"""

from __future__ import annotations

import bisect
import itertools
import math
import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from ..decisions.backends import BackendRecord
from ..decisions.events import Endpoint, EndpointState
from ..decisions.settings import Plan, RequestClass, Settings
from ..decisions.slow_start import SlowStartBudget

SETTLE_TIME = 12.0  # s of load before the start, in which gateways measure their usual rate
NOTIFIED_FRACTION = 2 / 3  # of the work in a window; an overload breaks the rule if they sent more
TIMEOUT = 2.0  # s of work queued at the started backend, above which its clients have timed out
MAX_PREFERRED, SMALL_TIER = 10, 8  # most backends a gateway prefers; largest tier in which it prefers all
DOWNTIME = 0.5  # s for which a restarted gateway is down


@dataclass(slots=True, frozen=True)
class Burst:
    """A period in which the load is `multiple` times the usual one; less than 1 makes it a lull."""

    at: float  # s after the start
    duration: float  # s
    multiple: float


@dataclass(slots=True, frozen=True)
class ColdStart:
    """The input of a simulation: the fleet, its load, and bursts and restarts while one backend warms up."""

    settings: Settings
    backends: int
    capacity: float  # s of work per second of an average warm backend
    size: float  # of the started backend, relative to the average
    work_choices: tuple[float, ...]  # s of work of a request, equally likely
    load: float  # as a fraction of the warm backends' capacity
    skew: float = 0.0  # exponent of the Zipf distribution of the load over gateways
    notified_within: float = 0.0  # s after the start in which gateways are notified, at uniform times
    assumed_warm: bool = False  # whether gateways not yet notified send to it as to a warm backend
    bursts: tuple[Burst, ...] = ()
    restarts: tuple[tuple[float, float], ...] = ()  # (s after the start, fraction of the gateways)

    @property
    def preferred(self) -> int:
        """The number of backends that each gateway prefers."""
        return (
            self.backends if self.settings.gateway_count <= SMALL_TIER else min(MAX_PREFERRED, self.backends)
        )

    @property
    def sharers(self) -> float:
        """The mean number of gateways that prefer the started backend."""
        return self.settings.gateway_count * self.preferred / self.backends

    @property
    def mean_work(self) -> float:
        """Mean work of a request, s."""
        return sum(self.work_choices) / len(self.work_choices)

    def capacity_fraction(self, age: float) -> float:
        """The fraction of its capacity that the settings assume at least at this age."""
        s = self.settings
        return min(1.0, s.initial_capacity + (1 - s.initial_capacity) * max(0.0, age) / s.warm_up_time)

    def allowed(self, age: float) -> float:
        """N: the requests of mean work that the settings allow within `overload_window` at this age."""
        s = self.settings
        able = (
            s.overload_multiple * self.capacity * self.size * self.capacity_fraction(age) * s.overload_window
        )
        return able / self.mean_work

    def segments(self) -> list[tuple[float, float, float]]:
        """The load over time as (begin, end, multiple of the usual load), in s after the start."""
        marks = {-SETTLE_TIME, self.settings.warm_up_time}
        marks.update(
            x for b in self.bursts for x in (b.at, b.at + b.duration) if x < self.settings.warm_up_time
        )
        return [
            (a, b, math.prod(x.multiple for x in self.bursts if x.at <= a < x.at + x.duration))
            for a, b in itertools.pairwise(sorted(marks))
        ]


@dataclass(slots=True)
class Verdict:
    """The result of one simulation; work in s."""

    overloaded: bool = False
    broken: bool = False  # overloaded, mostly by gateways that had been notified
    sent: float = 0.0
    allowed: float = 0.0  # by the settings, until it was warm or overloaded
    done: float = 0.0  # work that the started backend completed
    capacity_work: float = 0.0  # work that its capacity allowed
    expected_work: float = 0.0  # work that it would have done at the utilization of the warm backends
    peak_ratio: float = 0.0  # most work within a window, relative to the limit of the rule


class OverloadDetector:
    """Applies the operators' overload rule to one started backend."""

    def __init__(self, start: ColdStart) -> None:
        self.start, self.recent = start, deque[tuple[float, float, bool]]()
        self.work = self.notified_work = 0.0
        self.verdict = Verdict()

    def count_request(self, age: float, work: float, is_notified: bool) -> None:
        """Count a request sent to the started backend."""
        self.recent.append((age, work, is_notified))
        self.work += work
        self.notified_work += work * is_notified
        while self.recent[0][0] <= age - self.start.settings.overload_window:
            _, expired_work, was_notified = self.recent.popleft()
            self.work -= expired_work
            self.notified_work -= expired_work * was_notified
        allowed = self.start.allowed(age)
        got = self.work / self.start.mean_work / (allowed + 2 * math.sqrt(allowed) + 2)
        self.verdict.peak_ratio = max(self.verdict.peak_ratio, got)
        if got > 1:
            self.verdict.overloaded, self.verdict.broken = (
                True,
                self.notified_work > NOTIFIED_FRACTION * self.work,
            )


class SharingGateway:
    """One gateway that prefers the started backend: its budget, and when it is notified of the start."""

    def __init__(self, start: ColdStart, notified_at: float, seed: int) -> None:
        self.start, self.notified_at, self.sharers = start, notified_at, start.sharers
        self.budget = SlowStartBudget(start.settings, random.Random(seed), start.mean_work)
        self.backend = BackendRecord(
            Endpoint("new", EndpointState.READY, started=0.0), first_seen_at=notified_at
        )
        self.backend.endpoint = Endpoint("new", EndpointState.READY, started=1e-9)  # 0 means long ago

    def try_send(self, age: float, work: float) -> bool:
        """Whether the budget permits this request to the started backend; spends the credit if so."""
        has_credit = self.budget.has_credit(self.backend, age, work, self.sharers)
        return has_credit and self.budget.spend_credit(self.backend, work)


class SlowStartSimulation:
    """Simulates one slow start with all gateways that prefer the started backend."""

    def __init__(self, start: ColdStart, seed: int) -> None:
        self.start, self.rng, self.detector = start, random.Random(seed), OverloadDetector(start)
        self.seeds, self.backlog, self.advanced_to = itertools.count(seed * 10_000), 0.0, 0.0
        count = max(1, round(start.sharers))
        weights = [1 / (1 + index) ** start.skew for index in range(count)]
        self.weights = list(itertools.accumulate(weights))
        self.gateways = [self.new_gateway() for _ in range(count)]
        self.returns_at = [-math.inf] * count

    def new_gateway(self, notified_at: float | None = None) -> SharingGateway:
        """A gateway with a new budget that has measured no served work."""
        notified_at = (
            self.rng.uniform(0.0, self.start.notified_within) if notified_at is None else notified_at
        )
        return SharingGateway(self.start, notified_at, next(self.seeds))

    def restart(self, age: float, share: float) -> None:
        """Restart a fraction of the gateways; they return after `DOWNTIME` with new budgets."""
        for index in self.rng.sample(range(len(self.gateways)), round(share * len(self.gateways))):
            self.returns_at[index] = age + DOWNTIME
            self.gateways[index] = self.new_gateway(max(age + DOWNTIME, self.gateways[index].notified_at))

    def arrivals(self) -> Iterator[tuple[float, float, int]]:
        """Yield the requests as (s after the start, multiple of the usual load, index of the gateway)."""
        start, rng = self.start, self.rng
        usual_rate = start.load * start.capacity * start.preferred / start.mean_work
        for begin, end, load_multiple in start.segments():
            age = begin
            while load_multiple > 0 and (age := age + rng.expovariate(usual_rate * load_multiple)) < end:
                yield age, load_multiple, bisect.bisect(self.weights, rng.random() * self.weights[-1])

    def advance(self, age: float, load_multiple: float) -> None:
        """Advance the started backend to `age`; the load was `load_multiple` times the usual one."""
        start, detector = self.start, self.detector
        elapsed, self.advanced_to = age - self.advanced_to, age
        able = start.capacity * start.size * start.capacity_fraction(age) * elapsed
        done = min(self.backlog, able)
        self.backlog -= done
        detector.verdict.done += done
        detector.verdict.capacity_work += able
        detector.verdict.expected_work += able * min(1.0, start.load * load_multiple)
        detector.verdict.allowed += (
            start.allowed(age) * start.mean_work * elapsed / start.settings.overload_window
        )

    def send(self, age: float, work: float, is_notified: bool) -> bool:
        """Send a request to the started backend; returns whether it will be answered in time."""
        self.detector.count_request(age, work, is_notified)
        self.detector.verdict.sent += work
        in_time = (
            self.backlog < TIMEOUT * self.start.capacity * self.start.size * self.start.capacity_fraction(age)
        )
        self.backlog += work * in_time
        return in_time

    def run(self) -> Verdict:
        """Simulate until the backend is warm or overloaded."""
        start, rng, verdict = self.start, self.rng, self.detector.verdict
        restarts = deque(sorted(start.restarts))
        for age, load_multiple, index in self.arrivals():
            while restarts and restarts[0][0] <= age:
                self.restart(*restarts.popleft())
            gateway, work = self.gateways[index], rng.choice(start.work_choices)
            if age < self.returns_at[index]:
                continue
            able = self.preferred_capacity(age)
            warm = start.preferred - (age > 0)  # warm backends, which may be overloaded
            answered = rng.random() * start.load * load_multiple * start.preferred < warm
            if age > 0:
                self.advance(age, load_multiple)
                is_notified = age >= gateway.notified_at
                if gateway.try_send(age, work) if is_notified else self.sends_unnotified():
                    answered = self.send(age, work, is_notified)
                    if verdict.overloaded:
                        return verdict
            if answered:
                gateway.budget.served.add(age, work / able)
        self.advance(start.settings.warm_up_time, 1.0)
        return verdict

    def preferred_capacity(self, age: float) -> float:
        """The capacity of the backends that a gateway prefers, in warm backends."""
        return self.start.preferred - (1 - self.start.capacity_fraction(age) if age > 0 else 0.0)

    def sends_unnotified(self) -> bool:
        """Whether a gateway not notified sends a request there; if `assumed_warm`, an even part of them."""
        return self.start.assumed_warm and self.rng.random() * self.start.preferred < 1


def draw_cold_start(gateways: int, rng: random.Random) -> ColdStart:
    """Draw the input of a simulation for a tier of that size: backends, load, lull and burst, restarts."""
    max_backends = max(12, 2 * gateways if gateways <= 200 else gateways // 2)
    rate = math.exp(rng.uniform(math.log(4), math.log(40)))  # requests per second of a warm backend
    capacity = rng.choice((1, 2, 3, 4, 8)) * rng.uniform(0.7, 1.5)
    work_factors = rng.choice(((1.0,), (0.8, 1.0, 1.2), (0.5, 1.5), (0.4, 0.8, 1.8)))
    warm_up_time = rng.uniform(8.0, 18.0)
    settings = Settings(
        0,
        gateways,
        (RequestClass(1.0, 3.0),),
        (Plan(1.0),),
        overload_multiple=rng.choice((2.0, 3.0, 4.0)),
        overload_window=rng.choice((1.0, 1.5, 2.0)),
        initial_capacity=rng.uniform(0.15, 0.4),
        warm_up_time=warm_up_time,
    )
    lull_at = rng.uniform(0.3, warm_up_time - 4)  # s after the start at which a lull begins
    lull_duration = rng.uniform(0.3, 2.0)
    bursts = (
        Burst(lull_at, lull_duration, rng.choice((0.0, 0.3, 1.0))),
        Burst(lull_at + lull_duration, rng.uniform(0.5, 4.0), rng.choice((1.5, 2.0, 3.0, 5.0))),
    )
    restarts = [(rng.uniform(0.0, warm_up_time), rng.uniform(0.05, 0.3)) for _ in range(rng.randrange(4))]
    if rng.random() < 0.2:
        restarts.append((rng.uniform(-1.0, 3.0), rng.uniform(0.7, 1.0)))
    return ColdStart(
        settings,
        backends=round(math.exp(rng.uniform(math.log(10), math.log(max_backends)))),
        capacity=capacity,
        size=rng.uniform(0.7, 1.3),
        work_choices=tuple(capacity / rate * x for x in work_factors),
        load=rng.uniform(0.4, 1.1),
        skew=rng.choice((0.0, 0.5, 0.8, 1.2)),
        notified_within=rng.choice((0.0, 0.5, 2.0, 5.0)),
        assumed_warm=rng.random() < 0.5,
        bursts=bursts,
        restarts=tuple(restarts),
    )
