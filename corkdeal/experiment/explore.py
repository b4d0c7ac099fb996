"""Explores all sequences of crash, start, message, loss and tick up to a depth, on three gateways' decisions.

The exploration begins with a ring whose gateways have exchanged quota shares. Each state reached is followed
by a period without faults, in which all gateways run. After it the quota shares must sum to 1, the ledgers at
both ends of each pair must agree, and the units admitted must not exceed the quota by more than
`measure.over_admission_bound`. Deterministic; uses no sockets and no clock.
"""

from __future__ import annotations

import copy
import random
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from ..decisions.actions import Action, SendToPeer, StartAttempt
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
from ..recovery.quota_restore import QuotaRestore
from .measure import over_admission_bound

GATEWAYS, CUSTOMER = 3, 7
PLAN = Plan(rate=6.0, burst=30.0)
CLASS = RequestClass(latency_objective=1.0, deadline=3.0)
TICK = 0.3  # s, longer than the exchange interval, so that each tick begins an exchange
REQUESTS_PER_TICK = (3, 1, 1)  # one-unit requests per tick by gateway; gateway 0 exceeds an even quota share
CONVERGENCE_TICKS, RECOVERY_TICKS = (
    20,
    30,
)  # ticks without faults before the exploration and after each sequence
CLOCK_SETBACK = -60.0  # s by which the clock may be set back at a start
ENDPOINT_LIST = EndpointUpdate(UpdateKind.COMPLETE, tuple(Endpoint(n, EndpointState.READY) for n in "abc"))


class Step(NamedTuple):
    """One event that may happen next."""

    kind: str  # tick, crash, start, start-back (a start with the clock set back), deliver, lose
    sender: int = 0
    to: int = 0


def new_gateway(index: int, gateways: int) -> Gateway:
    """Return a gateway without persisted state, which restores its quota shares from its ring neighbours."""
    settings = Settings(
        gateway_index=index,
        gateway_count=gateways,
        classes=(CLASS,),
        plans=(PLAN,),
        max_attempts=4,
        may_message_peers=True,
        peer_message_rate=60.0,
    )
    gateway = Gateway(settings, seed=index)
    gateway.quota_restore = QuotaRestore(gateway)
    return gateway


class Simulation:
    """Three gateways, the messages in flight between them, and the times at which they admitted requests."""

    def __init__(self) -> None:
        self.now, self.last_request_id = 1000.0, 0
        self.running: dict[int, Gateway] = {}
        self.in_flight: dict[tuple[int, int], list[bytes]] = {}
        self.admitted_at: list[float] = []
        self.starts = 0
        self.clock_offsets = dict.fromkeys(range(GATEWAYS), 0.0)  # offset of each gateway's clock, s
        for index in range(GATEWAYS):
            self.start(index)
        self.starts = 0

    def start(self, index: int, clock_offset: float = 0.0) -> None:
        """Start a gateway without persisted state."""
        gateway = new_gateway(index, GATEWAYS)
        self.starts += 1
        self.running[index], self.clock_offsets[index] = gateway, clock_offset
        self.perform(index, self.handle_events(index, [ENDPOINT_LIST]))

    def handle_events(self, index: int, events: list[Event]) -> list[Action]:
        """Pass events to a gateway with the time of its own clock, and return its actions."""
        return self.running[index].handle(self.now + self.clock_offsets[index], events)

    def perform(self, index: int, actions: list[Action]) -> None:
        """Perform a gateway's actions: put its messages in flight, and answer its attempts at once."""
        for action in actions:
            if isinstance(action, SendToPeer) and action.peer is not None:
                self.in_flight.setdefault((index, action.peer), []).append(action.payload)
            elif isinstance(action, StartAttempt):
                self.admitted_at.append(self.now)
                served = AttemptEnded(action.id, 0, action.backend, Status.OK, 0.1, True)
                self.perform(index, self.handle_events(index, [served]))

    def tick(self) -> None:
        """Advance time by `TICK`; the timers expire and clients send their requests."""
        self.now += TICK
        for index in sorted(self.running):
            events: list[Event] = [TimerExpired(0)]
            for _ in range(REQUESTS_PER_TICK[index]):
                self.last_request_id += 1
                events.append(Request(self.last_request_id, CUSTOMER, 0, 0, 1.0, 0, GATEWAYS, 3.0))
            self.perform(index, self.handle_events(index, events))

    def possible_steps(self) -> list[Step]:
        """The steps that are possible next.

        Messages of one direction are delivered in order, since the receiver ignores one that is overtaken, as
        if lost.
        """
        steps = [Step("tick")]
        steps += [Step("crash" if index in self.running else "start", index) for index in range(GATEWAYS)]
        steps += [Step("start-back", index) for index in range(GATEWAYS) if index not in self.running]
        for (sender, to), messages in sorted(self.in_flight.items()):
            if messages:
                steps += [Step("deliver", sender, to), Step("lose", sender, to)]
        return steps

    def apply(self, step: Step) -> None:
        """Perform one step."""
        if step.kind == "tick":
            self.tick()
        elif step.kind == "crash":
            del self.running[step.sender]
            for pair in [p for p in self.in_flight if p[1] == step.sender]:
                del self.in_flight[pair]
        elif step.kind in ("start", "start-back"):
            self.start(step.sender, CLOCK_SETBACK if step.kind == "start-back" else 0.0)
        else:
            payload = self.in_flight[step.sender, step.to].pop(0)
            if step.kind == "deliver" and step.to in self.running:
                self.perform(step.to, self.handle_events(step.to, [PeerMessage(step.sender, payload)]))

    def run_without_faults(self, ticks: int) -> None:
        """Start all gateways that are down, then run so many ticks in which every message is delivered."""
        for index in range(GATEWAYS):
            if index not in self.running:
                self.start(index)
        for _ in range(ticks):
            self.tick()
            while any(self.in_flight.values()):
                for sender, to in sorted(self.in_flight):
                    while self.in_flight[sender, to]:
                        self.apply(Step("deliver", sender, to))

    def violations(self) -> list[str]:
        """The invariants that are violated after a period without faults."""
        violations = []
        accounts = {index: g.accounts[CUSTOMER] for index, g in self.running.items()}
        total = sum(a.base_share() for a in accounts.values())
        if abs(total - 1) > 1e-9:
            violations.append(f"quota shares sum to {total:.6f}")
        for index, a in accounts.items():
            for peer, pair in a.ledgers.items():
                other = accounts[peer].ledgers[index]
                if (
                    pair.received_share + other.received_share
                    or abs(pair.received_units + other.received_units) > 1e-6
                ):
                    violations.append(
                        f"{index}, {peer}: ledgers disagree, {pair.received_share}, {pair.received_units}; "
                        f"{other.received_share}, {other.received_units}"
                    )
        allowance = PLAN.burst + PLAN.rate * (self.now - self.admitted_at[0]) if self.admitted_at else 0.0
        over = len(self.admitted_at) - allowance - over_admission_bound(PLAN.burst, GATEWAYS, self.starts)
        if over > 0:
            violations.append(f"{over:.2f} units admitted beyond quota and bound")
        return violations


def converged_ring() -> Simulation:
    """A ring whose quota shares have converged to the demand."""
    simulation = Simulation()
    simulation.run_without_faults(CONVERGENCE_TICKS)
    return simulation


def walk(
    simulation: Simulation, depth: int, path: tuple[Step, ...] = ()
) -> Iterator[tuple[tuple[Step, ...], Simulation]]:
    """Yield all states within `depth` steps, each with the path that leads to it."""
    yield path, simulation
    if depth:
        for step in simulation.possible_steps():
            successor = copy.deepcopy(simulation)
            successor.apply(step)
            yield from walk(successor, depth - 1, (*path, step))


def violations_after(path: tuple[Step, ...], simulation: Simulation) -> list[str]:
    """The invariants that are violated once the faults stop after that path."""
    simulation_after = copy.deepcopy(simulation)
    simulation_after.run_without_faults(RECOVERY_TICKS)
    path_text = " ".join(f"{s.kind}:{s.sender}{s.to}" for s in path)
    return [f"{violation} after {path_text}" for violation in simulation_after.violations()]


def check_paths_from(depth: int, first: int) -> tuple[int, list[str]]:
    """Check the paths that begin with first step number `first`; returns their count and the violations.

    Each process of the pool takes one first step.
    """
    simulation = converged_ring()
    steps = simulation.possible_steps()
    if first >= len(steps):
        return 0, []
    simulation.apply(steps[first])
    count, violations = 0, []
    for path, state in walk(simulation, depth - 1, (steps[first],)):
        count += 1
        violations += violations_after(path, state)
    return count, violations


def check_random_paths(seed: int, walks: int, depth: int) -> tuple[int, list[str], Counter[str]]:
    """Check `walks` longer paths, each step of which is drawn uniformly from the possible ones."""
    rng, violations, kinds = random.Random(seed), [], Counter()
    initial = converged_ring()
    for _ in range(walks):
        simulation, path = copy.deepcopy(initial), ()
        for _ in range(depth):
            step = rng.choice(simulation.possible_steps())
            kinds[step.kind] += 1
            simulation.apply(step)
            path = (*path, step)
        violations += violations_after(path, simulation)
    return walks, violations, kinds


def explore(depth: int, walks: int, seed: int, processes: int) -> dict[str, object]:
    """Check all paths up to a depth and longer random ones; returns counts and the first violations."""
    import concurrent.futures

    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        exhaustive = list(pool.map(check_paths_from, [depth] * 16, range(16)))
        random_walks = list(
            pool.map(
                check_random_paths,
                range(seed, seed + processes),
                [walks // processes] * processes,
                [depth * 8] * processes,
            )
        )
    violations = [violation for _, found in exhaustive for violation in found] + [
        violation for _, found, _ in random_walks for violation in found
    ]
    kinds: Counter[str] = Counter()
    for _, _, step_counts in random_walks:
        kinds += step_counts
    return {
        "depth": depth,
        "states": sum(n for n, _ in exhaustive),
        "walks": sum(n for n, _, _ in random_walks),
        "walk_depth": depth * 8,
        "walk_steps": dict(kinds),
        "faults": len(violations),
        "first": violations[:10],
    }
