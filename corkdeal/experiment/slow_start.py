"""Simulates the slow start of a backend behind a fleet, in virtual time: is it overloaded, or underused?

One backend starts. Each gateway that prefers it (`sharers`) has a `SlowStartBudget` of its own and attempts
to send it every request, which is the highest demand that load balancing can put on the budget. `FallJudge`
applies the operators' rule: a backend that warms up is overloaded by more than N + 2 sqrt(N) + 2 requests of
mean work within `overload_window`, N being the number that the settings allow at that moment. The rule is
broken if over two thirds of this work came from gateways that had been notified of the start.

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

SETTLE = 12.0  # s of load before the start, in which gateways measure their usual rate
TOLD_PART = 2 / 3  # of the work in the window; if notified gateways sent more, an overload is a violation
GIVEN_UP = 2.0  # s of work queued at the started backend, above which its clients have timed out
MOST_PREFERRED, NARROW = 10, 8  # most backends a gateway prefers; largest tier in which it prefers all
DOWN = 0.5  # s for which a restarted gateway is down


@dataclass(slots=True, frozen=True)
class Burst:
    """A period in which the load is `times` the usual one; less than 1 makes it a lull."""

    at: float  # s after the start
    lasts: float  # s
    times: float


@dataclass(slots=True, frozen=True)
class ColdStart:
    """The input of a simulation: the fleet, its load, and bursts and restarts while one backend warms up."""

    settings: Settings
    servers: int
    capacity: float  # s of work per second of an average warm backend
    size: float  # of the started backend, relative to the average
    works: tuple[float, ...]  # s of work of a request, equally likely
    load: float  # as a fraction of the warm backends' capacity
    skew: float = 0.0  # exponent of the Zipf distribution of the load over gateways
    told_within: float = 0.0  # s after the start in which gateways are notified, at uniform times
    returned: bool = False  # whether gateways not yet notified send to it as to a warm backend
    bursts: tuple[Burst, ...] = ()
    restarts: tuple[tuple[float, float], ...] = ()  # (s after the start, fraction of the gateways)

    @property
    def preferred(self) -> int:
        """The number of backends that each gateway prefers."""
        return self.servers if self.settings.gateway_count <= NARROW else min(MOST_PREFERRED, self.servers)

    @property
    def sharers(self) -> float:
        """The mean number of gateways that prefer the started backend."""
        return self.settings.gateway_count * self.preferred / self.servers

    @property
    def mean_work(self) -> float:
        """Mean work of a request, s."""
        return sum(self.works) / len(self.works)

    def warmth(self, age: float) -> float:
        """The fraction of its capacity that the settings assume at least at this age."""
        s = self.settings
        return min(1.0, s.initial_capacity + (1 - s.initial_capacity) * max(0.0, age) / s.warm_up_time)

    def allowed(self, age: float) -> float:
        """N: the requests of mean work that the settings allow within `overload_window` at this age."""
        s = self.settings
        able = s.overload_multiple * self.capacity * self.size * self.warmth(age) * s.overload_window
        return able / self.mean_work

    def segments(self) -> list[tuple[float, float, float]]:
        """The load over time as (begin, end, multiple of the usual load), in s after the start."""
        marks = {-SETTLE, self.settings.warm_up_time}
        marks.update(x for b in self.bursts for x in (b.at, b.at + b.lasts) if x < self.settings.warm_up_time)
        return [
            (a, b, math.prod(x.times for x in self.bursts if x.at <= a < x.at + x.lasts))
            for a, b in itertools.pairwise(sorted(marks))
        ]


@dataclass(slots=True)
class Verdict:
    """The result of one simulation; work in s."""

    fell: bool = False
    broken: bool = False  # overloaded, mostly by gateways that had been notified
    sent: float = 0.0
    allowed: float = 0.0  # by the settings, until it was warm or overloaded
    done: float = 0.0  # work that the started backend completed
    able: float = 0.0  # work that its capacity allowed
    due: float = 0.0  # work that it would have done at the utilization of the warm backends
    worst: float = 0.0  # most work within a window, relative to the limit of the rule


class FallJudge:
    """Applies the operators' overload rule to one started backend."""

    def __init__(self, start: ColdStart) -> None:
        self.start, self.recent = start, deque[tuple[float, float, bool]]()
        self.work = self.told_work = 0.0
        self.verdict = Verdict()

    def sent(self, age: float, work: float, told: bool) -> None:
        """Count a request sent to the started backend."""
        self.recent.append((age, work, told))
        self.work += work
        self.told_work += work * told
        while self.recent[0][0] <= age - self.start.settings.overload_window:
            _, gone, was_told = self.recent.popleft()
            self.work -= gone
            self.told_work -= gone * was_told
        allowed = self.start.allowed(age)
        got = self.work / self.start.mean_work / (allowed + 2 * math.sqrt(allowed) + 2)
        self.verdict.worst = max(self.verdict.worst, got)
        if got > 1:
            self.verdict.fell, self.verdict.broken = True, self.told_work > TOLD_PART * self.work


class Sharer:
    """One gateway that prefers the started backend: its budget, and when it is notified of the start."""

    def __init__(self, start: ColdStart, told_at: float, seed: int) -> None:
        self.start, self.told_at, self.sharers = start, told_at, start.sharers
        self.budget = SlowStartBudget(start.settings, random.Random(seed), start.mean_work)
        self.server = BackendRecord(Endpoint("new", EndpointState.READY, started=0.0), first_seen_at=told_at)
        self.server.endpoint = Endpoint("new", EndpointState.READY, started=1e-9)  # 0 means long ago

    def sends(self, age: float, work: float) -> bool:
        """Whether the budget permits this request to the started backend; spends the credit if so."""
        may = self.budget.has_credit(self.server, age, work, self.sharers)
        return may and self.budget.spend_credit(self.server, work)


class Play:
    """Simulates one slow start with all gateways that prefer the started backend."""

    def __init__(self, start: ColdStart, seed: int) -> None:
        self.start, self.chance, self.judge = start, random.Random(seed), FallJudge(start)
        self.seeds, self.backlog, self.at = itertools.count(seed * 10_000), 0.0, 0.0
        count = max(1, round(start.sharers))
        weights = [1 / (1 + place) ** start.skew for place in range(count)]
        self.weights = list(itertools.accumulate(weights))
        self.gateways = [self.gateway() for _ in range(count)]
        self.back_at = [-math.inf] * count

    def gateway(self, told_at: float | None = None) -> Sharer:
        """A gateway with a new budget that has measured no served work."""
        told_at = self.chance.uniform(0.0, self.start.told_within) if told_at is None else told_at
        return Sharer(self.start, told_at, next(self.seeds))

    def restart(self, age: float, share: float) -> None:
        """Restart a fraction of the gateways; they return after `DOWN` with new budgets."""
        for place in self.chance.sample(range(len(self.gateways)), round(share * len(self.gateways))):
            self.back_at[place] = age + DOWN
            self.gateways[place] = self.gateway(max(age + DOWN, self.gateways[place].told_at))

    def arrivals(self) -> Iterator[tuple[float, float, int]]:
        """Yield the requests as (s after the start, multiple of the usual load, index of the gateway)."""
        start, chance = self.start, self.chance
        usual = start.load * start.capacity * start.preferred / start.mean_work
        for begin, end, times in start.segments():
            age = begin
            while times > 0 and (age := age + chance.expovariate(usual * times)) < end:
                yield age, times, bisect.bisect(self.weights, chance.random() * self.weights[-1])

    def advance(self, age: float, times: float) -> None:
        """Advance the started backend to `age`; the load meanwhile was `times` the usual one."""
        start, judge = self.start, self.judge
        past, self.at = age - self.at, age
        able = start.capacity * start.size * start.warmth(age) * past
        done = min(self.backlog, able)
        self.backlog -= done
        judge.verdict.done += done
        judge.verdict.able += able
        judge.verdict.due += able * min(1.0, start.load * times)
        judge.verdict.allowed += start.allowed(age) * start.mean_work * past / start.settings.overload_window

    def send(self, age: float, work: float, told: bool) -> bool:
        """Send a request to the started backend; returns whether it will be answered in time."""
        self.judge.sent(age, work, told)
        self.judge.verdict.sent += work
        in_time = self.backlog < GIVEN_UP * self.start.capacity * self.start.size * self.start.warmth(age)
        self.backlog += work * in_time
        return in_time

    def run(self) -> Verdict:
        """Simulate until the backend is warm or overloaded."""
        start, chance, verdict = self.start, self.chance, self.judge.verdict
        restarts = deque(sorted(start.restarts))
        for age, times, place in self.arrivals():
            while restarts and restarts[0][0] <= age:
                self.restart(*restarts.popleft())
            gateway, work = self.gateways[place], chance.choice(start.works)
            if age < self.back_at[place]:
                continue
            able = self.able(age)
            warm = start.preferred - (age > 0)  # warm backends, which may be overloaded
            answered = chance.random() * start.load * times * start.preferred < warm
            if age > 0:
                self.advance(age, times)
                told = age >= gateway.told_at
                if gateway.sends(age, work) if told else self.unaware():
                    answered = self.send(age, work, told)
                    if verdict.fell:
                        return verdict
            if answered:
                gateway.budget.served.add(age, work / able)
        self.advance(start.settings.warm_up_time, 1.0)
        return verdict

    def able(self, age: float) -> float:
        """The capacity of the backends that a gateway prefers, in warm backends."""
        return self.start.preferred - (1 - self.start.warmth(age) if age > 0 else 0.0)

    def unaware(self) -> bool:
        """Whether a gateway not yet notified sends a request there: an even part of them if `returned`."""
        return self.start.returned and self.chance.random() * self.start.preferred < 1


def draw(gateways: int, chance: random.Random) -> ColdStart:
    """Draw the input of a simulation for a tier of that size: backends, load, lull and burst, restarts."""
    widest = max(12, 2 * gateways if gateways <= 200 else gateways // 2)
    rate = math.exp(chance.uniform(math.log(4), math.log(40)))  # requests per second of a warm backend
    capacity = chance.choice((1, 2, 3, 4, 8)) * chance.uniform(0.7, 1.5)
    shape = chance.choice(((1.0,), (0.8, 1.0, 1.2), (0.5, 1.5), (0.4, 0.8, 1.8)))
    warm_within = chance.uniform(8.0, 18.0)
    settings = Settings(
        0,
        gateways,
        (RequestClass(1.0, 3.0),),
        (Plan(1.0),),
        overload_multiple=chance.choice((2.0, 3.0, 4.0)),
        overload_window=chance.choice((1.0, 1.5, 2.0)),
        initial_capacity=chance.uniform(0.15, 0.4),
        warm_up_time=warm_within,
    )
    quiet = chance.uniform(0.3, warm_within - 4)  # s after the start at which a lull begins
    lull = chance.uniform(0.3, 2.0)
    bursts = (
        Burst(quiet, lull, chance.choice((0.0, 0.3, 1.0))),
        Burst(quiet + lull, chance.uniform(0.5, 4.0), chance.choice((1.5, 2.0, 3.0, 5.0))),
    )
    restarts = [
        (chance.uniform(0.0, warm_within), chance.uniform(0.05, 0.3)) for _ in range(chance.randrange(4))
    ]
    if chance.random() < 0.2:
        restarts.append((chance.uniform(-1.0, 3.0), chance.uniform(0.7, 1.0)))
    return ColdStart(
        settings,
        servers=round(math.exp(chance.uniform(math.log(10), math.log(widest)))),
        capacity=capacity,
        size=chance.uniform(0.7, 1.3),
        works=tuple(capacity / rate * x for x in shape),
        load=chance.uniform(0.4, 1.1),
        skew=chance.choice((0.0, 0.5, 0.8, 1.2)),
        told_within=chance.choice((0.0, 0.5, 2.0, 5.0)),
        returned=chance.random() < 0.5,
        bursts=bursts,
        restarts=tuple(restarts),
    )
