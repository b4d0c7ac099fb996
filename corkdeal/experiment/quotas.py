"""Simulates the quotas of a fleet, on the decisions alone: units admitted beyond and rejected within quotas.

The decisions of all gateways run in one process in virtual time. Messages are delayed, some are lost, and a
gateway accepts only a limited number per second. Backends answer every attempt. `Judge` observes each attempt
when it is sent and keeps one exact token bucket and count of open attempts per customer; it uses no state of
the decisions. Deterministic by seed; no sockets, no clock.
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
KINDS = ((FULL, 0.18), (HEAVY, 0.09), (SPIKY, 0.18))  # fractions of the customers; the others are calm
USE = {CALM: (0.16, 0.46), FULL: (0.8, 1.0), HEAVY: (1.9, 4.5), SPIKY: (0.16, 0.46)}  # demand / rate
SPIKE_TIMES, SPIKE_LASTS, SPIKE_EVERY = (10.0, 23.0), (1.0, 4.0), (13.0, 22.0)  # rate multiple, s, s
SHIFT_EVERY, SKEW = (8.0, 24.0), 0.7  # s between new weights of a customer's gateways; sigma of their log
COME_AGAIN, TRY_SHARE, BACKOFF = 3, 0.75, 0.2  # retries, part of requests that make them, s
MESSAGE = (0.003, 0.032)  # s, delay of a message
ANSWER = 0.25  # s, mean response time per unit; drawn from 0.5 to 1.5 times that
OPEN_USE = 0.5  # fraction of a limit on open attempts that is in use at a demand of 1


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
    sets: tuple[float, float] = (0.5, 1.0)  # range of the fraction of gateways that serve one customer


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
    times: float = 1.0  # multiple of `rate` in a spike
    shift_at: float = 0.0
    spike_at: float = 0.0
    spike_until: float = 0.0
    store: float = 0.0
    at: float = 0.0
    out: int = 0
    ideal: float = 0.0  # token bucket of a single gateway that receives all first attempts of requests
    ideal_at: float = 0.0
    ideal_out: list[float] = field(default_factory=list)


class Judge:
    """Counts units by plan, independently of the decisions: offered, sent within quotas, sent beyond them."""

    def __init__(self, plans: tuple[Plan, ...]) -> None:
        self.plans = plans
        self.offered: Counter[int] = Counter()
        self.inside: Counter[int] = Counter()
        self.beyond: Counter[int] = Counter()

    def offer(self, c: Customer, now: float, units: float) -> None:
        """Count a first attempt as offered if a single gateway that receives all of them would admit it."""
        plan = self.plans[c.plan]
        c.ideal, c.ideal_at = min(plan.burst, c.ideal + plan.rate * (now - c.ideal_at)), now
        c.ideal_out = [x for x in c.ideal_out if x > now]
        if (plan.rate and c.ideal < units) or (plan.max_in_flight and len(c.ideal_out) >= plan.max_in_flight):
            return
        c.ideal -= units if plan.rate else 0.0
        c.ideal_out.append(now + ANSWER * units)
        self.offered[c.plan] += units

    def sent(self, c: Customer, now: float, units: float) -> None:
        """Count an attempt that reaches a backend."""
        plan = self.plans[c.plan]
        c.store, c.at = min(plan.burst, c.store + plan.rate * (now - c.at)), now
        good = (not plan.rate or c.store >= units) and (not plan.max_in_flight or c.out < plan.max_in_flight)
        c.out += 1
        c.store -= units if good and plan.rate else 0.0
        (self.inside if good else self.beyond)[c.plan] += units

    def table(self) -> dict[str, Any]:
        """The worth sent within quotas and the cost of units beyond them, relative to the worth offered."""
        whole = sum(p.price * self.offered[i] for i, p in enumerate(self.plans)) or 1.0
        paid = sum(p.price * p.over_quota_cost * self.beyond[i] for i, p in enumerate(self.plans))
        inside = sum(p.price * min(self.inside[i], self.offered[i]) for i, p in enumerate(self.plans))
        return {
            "inside": round(inside / whole, 4),
            "over_quota": round(paid / whole, 4),
            "beyond": [round(self.beyond[i] / (self.offered[i] or 1.0), 3) for i in range(len(self.plans))],
        }


class World:
    """A simulated fleet in virtual time."""

    def __init__(self, fleet: Fleet, seed: int, make: Callable[[Settings, int], Gateway] = Gateway) -> None:
        self.fleet, self.chance, self.seed, self.make = fleet, random.Random(seed), seed, make
        self.now = self.begun = 1000.0
        self.number, self.judge = itertools.count(1), Judge(fleet.plans)
        self.agenda: list[tuple[float, int, Callable[[], None]]] = []
        self.sent = self.lost = self.bytes = self.first_tries = 0
        self.got: Counter[int] = Counter()  # messages that arrived, by receiver
        self.room: dict[int, tuple[float, float]] = {}  # by receiver: messages it may accept, at which time
        self.requests: dict[int, tuple[Customer, int, int]] = {}
        self.customers: list[Customer] = []
        for plan, many in enumerate(fleet.customers):
            for _ in range(many):
                self.customers.append(self.customer(plan))
        names = [f"s{i}" for i in range(max(10, fleet.gateways // 2))]
        self.list = EndpointUpdate(
            UpdateKind.COMPLETE, tuple(Endpoint(n, EndpointState.READY) for n in names)
        )
        self.gateways: dict[int, Gateway] = {}
        for me in range(fleet.gateways):
            self.later(self.chance.uniform(0.0, 0.2), lambda me=me: self.start(me))
        for c in self.customers:
            self.next_try(c)

    def start(self, me: int) -> None:
        """Start a gateway without persisted state."""
        f = self.fleet
        classes = tuple(
            RequestClass(latency_objective=1.0, deadline=4.0, name=f"c{i}") for i in range(len(f.units))
        )
        settings = Settings(
            gateway_index=me,
            gateway_count=f.gateways,
            classes=classes,
            plans=f.plans,
            max_attempts=3,
            may_cancel=True,
            may_message_peers=True,
            may_send_retry_after=True,
            max_retry_after=2.0,
            peer_message_rate=f.intake,
            max_units=max(f.units),
        )
        self.gateways[me] = self.make(replace(settings, gateway_index=me), self.seed * 1000 + me)
        self.give(me, self.list)

    def kill(self, me: int) -> None:
        """Remove a gateway with its state; its timers and the replies to its attempts are dropped."""
        self.gateways.pop(me, None)

    def customer(self, plan_number: int) -> Customer:
        """Draw a customer of a plan."""
        chance, plan, most = self.chance, self.fleet.plans[plan_number], self.fleet.gateways
        lot, kind = chance.random(), CALM
        for name, share in KINDS:
            if 0 <= lot < share:
                kind = name
            lot -= share
        usual = plan.rate or OPEN_USE * plan.max_in_flight / ANSWER
        spread = max(2, min(most, round(most * chance.uniform(*self.fleet.sets))))
        c = Customer(
            len(self.customers),
            plan_number,
            chance.randrange(most),
            spread,
            kind,
            usual * chance.uniform(*USE[kind]),
        )
        c.store = c.ideal = plan.burst
        c.at = c.ideal_at = self.now
        c.spike_at = self.now + chance.uniform(0, SPIKE_EVERY[1])
        return c

    def later(self, seconds: float, act: Callable[[], None]) -> None:
        """Schedule a call after so many seconds."""
        heapq.heappush(self.agenda, (self.now + seconds, next(self.number), act))

    def next_try(self, c: Customer) -> None:
        """Draw and schedule a customer's next request."""
        chance, units = self.chance, sum(self.fleet.units) / len(self.fleet.units)
        if c.kind == SPIKY and self.now >= max(c.spike_at, c.spike_until):
            c.times, c.spike_until = chance.uniform(*SPIKE_TIMES), self.now + chance.uniform(*SPIKE_LASTS)
            c.spike_at = self.now + chance.uniform(*SPIKE_EVERY)
        spiking = self.now < c.spike_until
        wait = chance.expovariate(c.rate * (c.times if spiking else 1.0) / units)
        if c.kind == SPIKY and not spiking and self.now + wait > c.spike_at:
            return self.later(max(0.0, c.spike_at - self.now), lambda: self.next_try(c))
        self.later(wait, lambda: self.ask(c))

    def ask(self, c: Customer) -> None:
        """Send a customer's request, and schedule its next one."""
        cls = self.chance.randrange(len(self.fleet.units))
        self.judge.offer(c, self.now, self.fleet.units[cls])
        self.first_tries += 1
        self.attempt(c, cls, COME_AGAIN if self.chance.random() < TRY_SHARE else 0, False)
        self.next_try(c)

    def gateway_for(self, c: Customer) -> int:
        """One of the customer's gateways, drawn by changing weights; if it is down, the next that is up."""
        if self.now >= c.shift_at:
            c.shift_at = self.now + self.chance.uniform(*SHIFT_EVERY)
            drawn = [math.exp(self.chance.gauss(0.0, SKEW)) for _ in range(c.spread)]
            c.weights = list(itertools.accumulate(drawn))
        place = self.chance.choices(range(c.spread), cum_weights=c.weights)[0]
        ring = [(c.first + place + i) % self.fleet.gateways for i in range(c.spread)]
        return next((me for me in ring if me in self.gateways), -1)

    def attempt(self, c: Customer, cls: int, again: int, retry: bool) -> None:
        """Send a request to a gateway; `again` is the number of retries left."""
        rid, me = next(self.number), self.gateway_for(c)
        if me in self.gateways:
            self.requests[rid] = c, cls, again
            self.give(
                me,
                Request(rid, c.number, c.plan, cls, self.fleet.units[cls], c.first, c.spread, 4.0, retry),
            )

    def give(self, me: int, event: Event) -> None:
        """Pass an event to a gateway and perform its actions; nothing happens if it is down."""
        if me in self.gateways:
            self.take(me, self.gateways[me].handle(self.now, [event]))

    def take(self, me: int, actions: Iterable[Action]) -> None:
        """Perform a gateway's actions; a timer only reaches the incarnation that set it."""
        life = self.gateways[me]
        for a in actions:
            if isinstance(a, SendToPeer):
                self.tell(me, a)
            elif isinstance(a, StartAttempt):
                self.send(me, a)
            elif isinstance(a, SetTimer):
                self.later(
                    a.delay,
                    lambda token=a.token: (
                        self.give(me, TimerExpired(token)) if self.gateways.get(me) is life else None
                    ),
                )
            elif isinstance(a, Reject):
                c, cls, again = self.requests.pop(a.id)
                if again:
                    usual = self.chance.uniform(0.5, 1.5) * BACKOFF * 2 ** (COME_AGAIN - again)
                    self.later(
                        max(a.retry_after, usual),
                        lambda c=c, cls=cls, n=again - 1: self.attempt(c, cls, n, True),
                    )

    def tell(self, me: int, a: SendToPeer) -> None:
        """Put a message in flight, unless it is lost."""
        self.sent += 1
        if self.chance.random() < self.fleet.loss:
            self.lost += 1
            return
        self.later(self.chance.uniform(*MESSAGE), lambda: self.arrive(me, a.peer, a.payload))

    def arrive(self, sender: int, to: int, payload: bytes) -> None:
        """Deliver a message if the receiver's token bucket of `intake` messages per second permits it."""
        self.got[to] += 1
        room, at = self.room.get(to, (self.fleet.intake, self.now))
        room = min(self.fleet.intake, room + self.fleet.intake * (self.now - at))
        self.room[to] = (room - 1 if room >= 1 else room), self.now
        if room < 1:
            self.lost += 1
            return
        self.bytes += len(payload)
        self.give(to, PeerMessage(sender, payload))

    def send(self, me: int, a: StartAttempt) -> None:
        """Count an attempt at its backend, and schedule its reply."""
        c, cls, _ = self.requests.pop(a.id)
        units = self.fleet.units[cls]
        self.judge.sent(c, self.now, units)
        lasts = self.chance.uniform(0.5, 1.5) * ANSWER * units
        self.later(lasts, lambda: self.answered(me, a, c, lasts))

    def answered(self, me: int, a: StartAttempt, c: Customer, lasts: float) -> None:
        """Pass the reply to an attempt to its gateway."""
        c.out -= 1
        self.give(me, AttemptEnded(a.id, 0, a.backend, Status.OK, lasts, True))

    def run(self, seconds: float | None = None) -> dict[str, Any]:
        """Run until that second; returns the counts of `judge` and those of messages."""
        end = self.begun + (self.fleet.seconds if seconds is None else seconds)
        while self.agenda and self.agenda[0][0] <= end:
            self.now, _, act = heapq.heappop(self.agenda)
            act()
        whole = (end - self.begun) * self.fleet.gateways
        return {
            **self.judge.table(),
            "messages": round(self.sent / whole, 1),  # per second and gateway
            "most_got": round(max(self.got.values(), default=0) / (end - self.begun), 1),
            "not_taken": round(self.lost / max(1, self.sent), 3),
            "peer": round(self.bytes / 256 / max(1, self.first_tries), 2),
        }  # `peer` is in blocks of 256 bytes per request, the unit in which messages are priced
