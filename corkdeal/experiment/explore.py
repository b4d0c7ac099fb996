"""Explores all sequences of crash, start, message, loss and tick up to a depth, on three gateways' decisions.

The exploration begins with a ring whose gateways have exchanged quota shares. Each state reached is followed
by a period without faults, in which all gateways run. After it the quota shares must sum to 1, the ledgers at
both ends of each pair must agree, and the units admitted must not exceed the quota by more than
`measure.bound`. Deterministic; uses no sockets and no clock.
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
from .measure import bound

GATEWAYS, CUSTOMER = 3, 7
PLAN = Plan(rate=6.0, burst=30.0)
CLASS = RequestClass(latency_objective=1.0, deadline=3.0)
TICK = 0.3  # s, longer than the exchange interval, so that each tick begins an exchange
ASKS = (3, 1, 1)  # one-unit requests per tick by gateway; gateway 0 exceeds an even quota share
TRADED, QUIET = 20, 30  # ticks without faults before the exploration and after each sequence
BACK = -60.0  # s by which the clock may be set back at a start
LIST = EndpointUpdate(UpdateKind.COMPLETE, tuple(Endpoint(n, EndpointState.READY) for n in "abc"))


class Step(NamedTuple):
    """One event that may happen next."""

    kind: str  # tick, crash, start, start-back (a start with the clock set back), deliver, lose
    sender: int = 0
    to: int = 0


def decisions(me: int, gateways: int) -> Gateway:
    """The decisions of a gateway without persisted state that restores quota shares from ring neighbours."""
    settings = Settings(
        gateway_index=me,
        gateway_count=gateways,
        classes=(CLASS,),
        plans=(PLAN,),
        max_attempts=4,
        may_message_peers=True,
        peer_message_rate=60.0,
    )
    made = Gateway(settings, seed=me)
    made.quota_restore = QuotaRestore(made)
    return made


class World:
    """Three gateways, the messages in flight between them, and the times at which they admitted requests."""

    def __init__(self) -> None:
        self.now, self.number = 1000.0, 0
        self.up: dict[int, Gateway] = {}
        self.flight: dict[tuple[int, int], list[bytes]] = {}
        self.let_in: list[float] = []
        self.starts = 0
        self.clock = dict.fromkeys(range(GATEWAYS), 0.0)  # offset of each gateway's clock, s
        for me in range(GATEWAYS):
            self.start(me)
        self.starts = 0

    def start(self, me: int, clock: float = 0.0) -> None:
        """Start a gateway without persisted state."""
        made = decisions(me, GATEWAYS)
        self.starts += 1
        self.up[me], self.clock[me] = made, clock
        self.take(me, self.tell(me, [LIST]))

    def tell(self, me: int, events: list[Event]) -> list[Action]:
        """Pass events to a gateway with the time of its own clock, and return its actions."""
        return self.up[me].handle(self.now + self.clock[me], events)

    def take(self, me: int, actions: list[Action]) -> None:
        """Perform a gateway's actions: put its messages in flight, and answer its attempts at once."""
        for action in actions:
            if isinstance(action, SendToPeer) and action.peer is not None:
                self.flight.setdefault((me, action.peer), []).append(action.payload)
            elif isinstance(action, StartAttempt):
                self.let_in.append(self.now)
                served = AttemptEnded(action.id, 0, action.backend, Status.OK, 0.1, True)
                self.take(me, self.tell(me, [served]))

    def tick(self) -> None:
        """Advance time by `TICK`; the timers expire and clients send their requests."""
        self.now += TICK
        for me in sorted(self.up):
            events: list[Event] = [TimerExpired(0)]
            for _ in range(ASKS[me]):
                self.number += 1
                events.append(Request(self.number, CUSTOMER, 0, 0, 1.0, 0, GATEWAYS, 3.0))
            self.take(me, self.tell(me, events))

    def options(self) -> list[Step]:
        """The steps that are possible next.

        Messages of one direction are delivered in order, since the receiver ignores one that is overtaken, as
        if lost.
        """
        made = [Step("tick")]
        made += [Step("crash" if me in self.up else "start", me) for me in range(GATEWAYS)]
        made += [Step("start-back", me) for me in range(GATEWAYS) if me not in self.up]
        for (sender, to), waiting in sorted(self.flight.items()):
            if waiting:
                made += [Step("deliver", sender, to), Step("lose", sender, to)]
        return made

    def do(self, step: Step) -> None:
        """Perform one step."""
        if step.kind == "tick":
            self.tick()
        elif step.kind == "crash":
            del self.up[step.sender]
            for pair in [p for p in self.flight if p[1] == step.sender]:
                del self.flight[pair]
        elif step.kind in ("start", "start-back"):
            self.start(step.sender, BACK if step.kind == "start-back" else 0.0)
        else:
            payload = self.flight[step.sender, step.to].pop(0)
            if step.kind == "deliver" and step.to in self.up:
                self.take(step.to, self.tell(step.to, [PeerMessage(step.sender, payload)]))

    def calm(self, ticks: int) -> None:
        """Start all gateways that are down, then run so many ticks in which every message is delivered."""
        for me in range(GATEWAYS):
            if me not in self.up:
                self.start(me)
        for _ in range(ticks):
            self.tick()
            while any(self.flight.values()):
                for sender, to in sorted(self.flight):
                    while self.flight[sender, to]:
                        self.do(Step("deliver", sender, to))

    def faults(self) -> list[str]:
        """The invariants that are violated after a period without faults."""
        made = []
        accounts = {me: g.accounts[CUSTOMER] for me, g in self.up.items()}
        total = sum(a.base_share() for a in accounts.values())
        if abs(total - 1) > 1e-9:
            made.append(f"quota shares sum to {total:.6f}")
        for me, a in accounts.items():
            for peer, pair in a.ledgers.items():
                other = accounts[peer].ledgers[me]
                if (
                    pair.received_share + other.received_share
                    or abs(pair.received_units + other.received_units) > 1e-6
                ):
                    made.append(
                        f"{me}, {peer}: ledgers disagree, {pair.received_share}, {pair.received_units}; "
                        f"{other.received_share}, {other.received_units}"
                    )
        quota = PLAN.burst + PLAN.rate * (self.now - self.let_in[0]) if self.let_in else 0.0
        over = len(self.let_in) - quota - bound(PLAN.burst, GATEWAYS, self.starts)
        if over > 0:
            made.append(f"{over:.2f} units admitted beyond quota and bound")
        return made


def traded() -> World:
    """A ring whose quota shares have converged to the demand."""
    world = World()
    world.calm(TRADED)
    return world


def walk(world: World, depth: int, path: tuple[Step, ...] = ()) -> Iterator[tuple[tuple[Step, ...], World]]:
    """Yield all states within `depth` steps, each with the path that leads to it."""
    yield path, world
    if depth:
        for step in world.options():
            after = copy.deepcopy(world)
            after.do(step)
            yield from walk(after, depth - 1, (*path, step))


def judge(path: tuple[Step, ...], world: World) -> list[str]:
    """The invariants that are violated once the faults stop after that path."""
    after = copy.deepcopy(world)
    after.calm(QUIET)
    way = " ".join(f"{s.kind}:{s.sender}{s.to}" for s in path)
    return [f"{fault} after {way}" for fault in after.faults()]


def part(depth: int, first: int) -> tuple[int, list[str]]:
    """Check the paths that begin with first step number `first`; returns their count and the violations.

    Each process of the pool takes one first step.
    """
    world = traded()
    steps = world.options()
    if first >= len(steps):
        return 0, []
    world.do(steps[first])
    seen, faults = 0, []
    for path, state in walk(world, depth - 1, (steps[first],)):
        seen += 1
        faults += judge(path, state)
    return seen, faults


def at_random(seed: int, walks: int, depth: int) -> tuple[int, list[str], Counter[str]]:
    """Check `walks` longer paths, each step of which is drawn uniformly from the possible ones."""
    chance, faults, kinds = random.Random(seed), [], Counter()
    begin = traded()
    for _ in range(walks):
        world, path = copy.deepcopy(begin), ()
        for _ in range(depth):
            step = chance.choice(world.options())
            kinds[step.kind] += 1
            world.do(step)
            path = (*path, step)
        faults += judge(path, world)
    return walks, faults, kinds


def explore(depth: int, walks: int, seed: int, together: int) -> dict[str, object]:
    """Check all paths up to a depth and longer random ones; returns counts and the first violations."""
    import concurrent.futures

    with concurrent.futures.ProcessPoolExecutor(together) as pool:
        firsts = list(pool.map(part, [depth] * 16, range(16)))
        longer = list(
            pool.map(
                at_random,
                range(seed, seed + together),
                [walks // together] * together,
                [depth * 8] * together,
            )
        )
    faults = [f for _, found in firsts for f in found] + [f for _, found, _ in longer for f in found]
    kinds: Counter[str] = Counter()
    for _, _, each in longer:
        kinds += each
    return {
        "depth": depth,
        "states": sum(n for n, _ in firsts),
        "walks": sum(n for n, _, _ in longer),
        "walk_depth": depth * 8,
        "walk_steps": dict(kinds),
        "faults": len(faults),
        "first": faults[:10],
    }
