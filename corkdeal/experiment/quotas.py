"""Simulates the quotas of a fleet, on the decisions alone: units admitted beyond and rejected within quotas.

The decisions of all gateways run in one process in virtual time. Messages are delayed, some are lost, and a
gateway accepts only a limited number per second. Backends answer every attempt. `QuotaMeter` observes each
attempt when it is sent and keeps one exact token bucket and count of open attempts per customer; it uses no
state of the decisions. Deterministic by seed; no sockets, no clock.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from ..decisions.actions import Action, Reject, SendToPeer, SetTimer, StartAttempt
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
from ..decisions.settings import Plan, RequestClass, Settings

CALM, FULL, HEAVY, SPIKY = "calm", "full", "heavy", "spiky"
DEMAND_KINDS = ((FULL, 0.18), (HEAVY, 0.09), (SPIKY, 0.18))  # fractions of the customers; the others are calm
# Demand as a multiple of the plan's rate.
DEMAND_RANGES = {CALM: (0.16, 0.46), FULL: (0.8, 1.0), HEAVY: (1.9, 4.5), SPIKY: (0.16, 0.46)}
# Multiple of the customer's usual rate; length and interval in s.
SPIKE_MULTIPLES, SPIKE_DURATIONS, SPIKE_INTERVALS = (10.0, 23.0), (1.0, 4.0), (13.0, 22.0)
# Seconds between new log-normal weights of a customer's gateways; their sigma.
WEIGHT_INTERVALS, WEIGHT_SIGMA = (8.0, 24.0), 0.7
MAX_RETRIES, RETRY_FRACTION, BACKOFF = 3, 0.75, 0.2  # retries, part of requests that make them, s
MESSAGE_DELAYS = (0.003, 0.032)  # s, delay of a message
RESPONSE_TIME = 0.25  # s, mean response time per unit; drawn from 0.5 to 1.5 times that
BASE_UTILIZATION = 0.5  # fraction of a limit on open attempts that is in use at a demand of 1


@dataclass(slots=True, frozen=True)
class Fleet:
    """What is simulated: the tier, its plans and their customers, and the limits and loss of messages."""

    plans: tuple[Plan, ...]
    customers: tuple[int, ...]  # of each plan
    gateways: int = 200
    seconds: float = 25.0
    loss: float = 0.05
    intake: float = 100.0  # messages per second that a gateway accepts
    units: tuple[float, ...] = (1.0, 2.0)  # cost of a request by request class
    spread_fractions: tuple[float, float] = (0.5, 1.0)  # range of the part of gateways that serve a customer


@dataclass(slots=True)
class Customer:
    """One customer: its demand, its gateways, and the exact state of its token bucket and open attempts."""

    number: int
    plan: int
    first: int
    spread: int
    kind: str
    rate: float  # units per second that it requests outside spikes
    weights: list[float] = field(default_factory=list)
    spike_multiple: float = 1.0  # multiple of `rate` in a spike
    weights_change_at: float = 0.0
    spike_at: float = 0.0
    spike_until: float = 0.0
    level: float = 0.0
    level_at: float = 0.0
    open_attempts: int = 0
    ideal_level: float = 0.0  # token bucket of a single gateway that receives all first attempts of requests
    ideal_level_at: float = 0.0
    ideal_ends: list[float] = field(default_factory=list)


class QuotaMeter:
    """Counts units by plan, independently of the decisions: offered, sent within quotas, sent beyond them."""

    def __init__(self, plans: tuple[Plan, ...]) -> None:
        self.plans = plans
        self.offered: Counter[int] = Counter()
        self.inside: Counter[int] = Counter()
        self.beyond: Counter[int] = Counter()

    def offer(self, c: Customer, now: float, units: float) -> None:
        """Count a first attempt as offered if a single gateway that receives all of them would admit it."""
        plan = self.plans[c.plan]
        c.ideal_level, c.ideal_level_at = (
            min(plan.burst, c.ideal_level + plan.rate * (now - c.ideal_level_at)),
            now,
        )
        c.ideal_ends = [x for x in c.ideal_ends if x > now]
        if (plan.rate and c.ideal_level < units) or (
            plan.max_in_flight and len(c.ideal_ends) >= plan.max_in_flight
        ):
            return
        c.ideal_level -= units if plan.rate else 0.0
        c.ideal_ends.append(now + RESPONSE_TIME * units)
        self.offered[c.plan] += units

    def sent(self, c: Customer, now: float, units: float) -> None:
        """Count an attempt that reaches a backend."""
        plan = self.plans[c.plan]
        c.level, c.level_at = min(plan.burst, c.level + plan.rate * (now - c.level_at)), now
        is_within_quota = (not plan.rate or c.level >= units) and (
            not plan.max_in_flight or c.open_attempts < plan.max_in_flight
        )
        c.open_attempts += 1
        c.level -= units if is_within_quota and plan.rate else 0.0
        (self.inside if is_within_quota else self.beyond)[c.plan] += units

    def table(self) -> dict[str, Any]:
        """The worth sent within quotas and the cost of units beyond them, relative to the worth offered."""
        offered_worth = sum(p.price * self.offered[i] for i, p in enumerate(self.plans)) or 1.0
        over_quota_cost = sum(p.price * p.over_quota_cost * self.beyond[i] for i, p in enumerate(self.plans))
        inside_worth = sum(p.price * min(self.inside[i], self.offered[i]) for i, p in enumerate(self.plans))
        return {
            "inside": round(inside_worth / offered_worth, 4),
            "over_quota": round(over_quota_cost / offered_worth, 4),
            "beyond": [round(self.beyond[i] / (self.offered[i] or 1.0), 3) for i in range(len(self.plans))],
        }


class Simulation:
    """A simulated fleet in virtual time."""

    def __init__(
        self, fleet: Fleet, seed: int, make_gateway: Callable[[Settings, int], Gateway] = Gateway
    ) -> None:
        self.fleet, self.rng, self.seed, self.make_gateway = fleet, random.Random(seed), seed, make_gateway
        self.now = self.started_at = 1000.0
        self.ids, self.meter = itertools.count(1), QuotaMeter(fleet.plans)
        self.scheduled_calls: list[tuple[float, int, Callable[[], None]]] = []
        self.sent = self.lost = self.bytes = self.first_attempts = 0
        self.received: Counter[int] = Counter()  # messages that arrived, by receiver
        # By receiver: the number of messages that it may accept, and the time of that number.
        self.intake_levels: dict[int, tuple[float, float]] = {}
        self.requests: dict[int, tuple[Customer, int, int]] = {}
        self.customers: list[Customer] = []
        for plan, count in enumerate(fleet.customers):
            for _ in range(count):
                self.customers.append(self.draw_customer(plan))
        names = [f"s{i}" for i in range(max(10, fleet.gateways // 2))]
        self.endpoint_list = EndpointUpdate(
            UpdateKind.COMPLETE, tuple(Endpoint(n, EndpointState.READY) for n in names)
        )
        self.gateways: dict[int, Gateway] = {}
        for index in range(fleet.gateways):
            self.schedule(self.rng.uniform(0.0, 0.2), lambda index=index: self.start(index))
        for c in self.customers:
            self.schedule_request(c)

    def start(self, index: int) -> None:
        """Start a gateway without persisted state."""
        fleet = self.fleet
        classes = tuple(
            RequestClass(latency_objective=1.0, deadline=4.0, name=f"c{i}") for i in range(len(fleet.units))
        )
        settings = Settings(
            gateway_index=index,
            gateway_count=fleet.gateways,
            classes=classes,
            plans=fleet.plans,
            max_attempts=3,
            may_cancel=True,
            may_message_peers=True,
            may_send_retry_after=True,
            max_retry_after=2.0,
            peer_message_rate=fleet.intake,
            max_units=max(fleet.units),
        )
        self.gateways[index] = self.make_gateway(
            replace(settings, gateway_index=index), self.seed * 1000 + index
        )
        self.handle_event(index, self.endpoint_list)

    def kill(self, index: int) -> None:
        """Remove a gateway with its state; its timers and the replies to its attempts are dropped."""
        self.gateways.pop(index, None)

    def draw_customer(self, plan_number: int) -> Customer:
        """Draw a customer of a plan."""
        rng, plan, gateway_count = self.rng, self.fleet.plans[plan_number], self.fleet.gateways
        draw, kind = rng.random(), CALM
        for name, share in DEMAND_KINDS:
            if 0 <= draw < share:
                kind = name
            draw -= share
        usual_rate = plan.rate or BASE_UTILIZATION * plan.max_in_flight / RESPONSE_TIME
        spread = max(2, min(gateway_count, round(gateway_count * rng.uniform(*self.fleet.spread_fractions))))
        c = Customer(
            len(self.customers),
            plan_number,
            rng.randrange(gateway_count),
            spread,
            kind,
            usual_rate * rng.uniform(*DEMAND_RANGES[kind]),
        )
        c.level = c.ideal_level = plan.burst
        c.level_at = c.ideal_level_at = self.now
        c.spike_at = self.now + rng.uniform(0, SPIKE_INTERVALS[1])
        return c

    def schedule(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule a call after so many seconds."""
        heapq.heappush(self.scheduled_calls, (self.now + seconds, next(self.ids), call))

    def schedule_request(self, c: Customer) -> None:
        """Draw and schedule a customer's next request."""
        rng, units = self.rng, sum(self.fleet.units) / len(self.fleet.units)
        if c.kind == SPIKY and self.now >= max(c.spike_at, c.spike_until):
            c.spike_multiple, c.spike_until = (
                rng.uniform(*SPIKE_MULTIPLES),
                self.now + rng.uniform(*SPIKE_DURATIONS),
            )
            c.spike_at = self.now + rng.uniform(*SPIKE_INTERVALS)
        is_spiking = self.now < c.spike_until
        interval = rng.expovariate(c.rate * (c.spike_multiple if is_spiking else 1.0) / units)
        if c.kind == SPIKY and not is_spiking and self.now + interval > c.spike_at:
            return self.schedule(max(0.0, c.spike_at - self.now), lambda: self.schedule_request(c))
        self.schedule(interval, lambda: self.send_request(c))

    def send_request(self, c: Customer) -> None:
        """Send a customer's request, and schedule its next one."""
        request_class = self.rng.randrange(len(self.fleet.units))
        self.meter.offer(c, self.now, self.fleet.units[request_class])
        self.first_attempts += 1
        self.send_to_gateway(
            c, request_class, MAX_RETRIES if self.rng.random() < RETRY_FRACTION else 0, False
        )
        self.schedule_request(c)

    def gateway_for(self, c: Customer) -> int:
        """One of the customer's gateways, drawn by changing weights; if it is down, the next that is up."""
        if self.now >= c.weights_change_at:
            c.weights_change_at = self.now + self.rng.uniform(*WEIGHT_INTERVALS)
            factors = [math.exp(self.rng.gauss(0.0, WEIGHT_SIGMA)) for _ in range(c.spread)]
            c.weights = list(itertools.accumulate(factors))
        position = self.rng.choices(range(c.spread), cum_weights=c.weights)[0]
        ring = [(c.first + position + i) % self.fleet.gateways for i in range(c.spread)]
        return next((index for index in ring if index in self.gateways), -1)

    def send_to_gateway(self, c: Customer, request_class: int, retries_left: int, is_retry: bool) -> None:
        """Send a request to a gateway; `retries_left` is the number of retries that may follow."""
        request_id, index = next(self.ids), self.gateway_for(c)
        if index in self.gateways:
            self.requests[request_id] = c, request_class, retries_left
            self.handle_event(
                index,
                Request(
                    request_id,
                    c.number,
                    c.plan,
                    request_class,
                    self.fleet.units[request_class],
                    c.first,
                    c.spread,
                    4.0,
                    is_retry,
                ),
            )

    def handle_event(self, index: int, event: Event) -> None:
        """Pass an event to a gateway and perform its actions; nothing happens if it is down."""
        if index in self.gateways:
            self.perform(index, self.gateways[index].handle(self.now, [event]))

    def perform(self, index: int, actions: Iterable[Action]) -> None:
        """Perform a gateway's actions; a timer only reaches the incarnation that set it."""
        incarnation = self.gateways[index]
        for a in actions:
            if isinstance(a, SendToPeer):
                self.send_message(index, a)
            elif isinstance(a, StartAttempt):
                self.start_attempt(index, a)
            elif isinstance(a, SetTimer):
                self.schedule(
                    a.delay,
                    lambda token=a.token: (
                        self.handle_event(index, TimerExpired(token))
                        if self.gateways.get(index) is incarnation
                        else None
                    ),
                )
            elif isinstance(a, Reject):
                c, request_class, retries_left = self.requests.pop(a.id)
                if retries_left:
                    backoff = self.rng.uniform(0.5, 1.5) * BACKOFF * 2 ** (MAX_RETRIES - retries_left)
                    self.schedule(
                        max(a.retry_after, backoff),
                        lambda c=c, request_class=request_class, n=retries_left - 1: self.send_to_gateway(
                            c, request_class, n, True
                        ),
                    )

    def send_message(self, index: int, a: SendToPeer) -> None:
        """Put a message in flight, unless it is lost."""
        self.sent += 1
        if self.rng.random() < self.fleet.loss:
            self.lost += 1
            return
        self.schedule(
            self.rng.uniform(*MESSAGE_DELAYS), lambda: self.deliver_message(index, a.peer, a.payload)
        )

    def deliver_message(self, sender: int, to: int, payload: bytes) -> None:
        """Deliver a message if the receiver's token bucket of `intake` messages per second permits it."""
        self.received[to] += 1
        level, at = self.intake_levels.get(to, (self.fleet.intake, self.now))
        level = min(self.fleet.intake, level + self.fleet.intake * (self.now - at))
        self.intake_levels[to] = (level - 1 if level >= 1 else level), self.now
        if level < 1:
            self.lost += 1
            return
        self.bytes += len(payload)
        self.handle_event(to, PeerMessage(sender, payload))

    def start_attempt(self, index: int, a: StartAttempt) -> None:
        """Count an attempt at its backend, and schedule its reply."""
        c, request_class, _ = self.requests.pop(a.id)
        units = self.fleet.units[request_class]
        self.meter.sent(c, self.now, units)
        response_time = self.rng.uniform(0.5, 1.5) * RESPONSE_TIME * units
        self.schedule(response_time, lambda: self.end_attempt(index, a, c, response_time))

    def end_attempt(self, index: int, a: StartAttempt, c: Customer, response_time: float) -> None:
        """Pass the reply to an attempt to its gateway."""
        c.open_attempts -= 1
        self.handle_event(index, AttemptEnded(a.id, 0, a.backend, Status.OK, response_time, True))

    def run(self, seconds: float | None = None) -> dict[str, Any]:
        """Run until that second; returns the counts of `meter` and those of messages."""
        end = self.started_at + (self.fleet.seconds if seconds is None else seconds)
        while self.scheduled_calls and self.scheduled_calls[0][0] <= end:
            self.now, _, call = heapq.heappop(self.scheduled_calls)
            call()
        gateway_seconds = (end - self.started_at) * self.fleet.gateways
        return {
            **self.meter.table(),
            "messages": round(self.sent / gateway_seconds, 1),  # per second and gateway
            "most_got": round(max(self.received.values(), default=0) / (end - self.started_at), 1),
            "not_taken": round(self.lost / max(1, self.sent), 3),
            "peer": round(self.bytes / 256 / max(1, self.first_attempts), 2),
        }  # `peer` is in blocks of 256 bytes per request, the unit in which messages are priced
