"""Simulates membership in virtual time, on the decisions alone. Deterministic by seed; no sockets, no clock.

Measures detection delay and false alarms of the failure detector, and explores every sequence of partitions
and pauses up to a depth.

A message takes 1 to 30 ms; the timers of a gateway expire every STEP. A paused gateway that notices its pause
(`recovery/stall_detector.py`) discards the messages that arrived in it; one that does not receives them late.
"""

from __future__ import annotations

import copy
import heapq
import itertools
import random
import statistics
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from ..decisions.actions import Action, SendToPeer, StartAttempt
from ..decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    PeerMessage,
    Request,
    Status,
    TimerExpired,
    UpdateKind,
)
from ..decisions.gateway import Gateway
from ..decisions.incarnations import is_later
from ..membership.failure_detector import MemberState
from ..membership.members import Members
from ..recovery.resume import resume_after_stall
from ..recovery.stall_detector import MIN_STALL
from .explore import new_gateway

STEP = 0.05  # s
CUSTOMER = 7
LIST = EndpointUpdate(UpdateKind.COMPLETE, (Endpoint("a", EndpointState.READY),))
PAUSE_EVERY, PAUSE_LEAST, PAUSE_MOST = 10.0, 0.2, 1.9  # s, interval and length of a member's pauses
SETTLE = 5.0  # s before the first fault or observation
HELD, HEALED = 1.5, 8.0  # s, length of each exploration step, and of the time without faults after it
Pair = tuple[int, int]


class World:
    """A simulated tier whose links and processes can be made to fail."""

    def __init__(self, gateways: int, spread: int, seed: int, loss: float = 0.0) -> None:
        self.size, self.spread, self.loss = gateways, min(spread, gateways), loss
        self.chance, self.now, self.number = random.Random(seed), 1000.0, 0
        self.up: dict[int, Gateway] = {}
        self.flight: list[tuple[float, int, int, int, bytes]] = []
        self.cut: frozenset[Pair] = frozenset()
        self.still: dict[int, tuple[float, float]] = {}  # paused gateways: since when, until when
        self.sent = self.bytes = self.lost = 0
        for me in range(gateways):
            self.start(me)

    def start(self, me: int) -> None:
        """Start a gateway without persisted state."""
        made = new_gateway(me, self.size)
        made.membership = Members(made, is_later)
        self.up[me] = made
        self.take(me, made.handle(self.now, [LIST]))

    def ask(self, me: int, first: int) -> None:
        """Send one request to gateway `me`, for the customer whose ring begins at gateway `first`."""
        self.number += 1
        e = Request(self.number, CUSTOMER + first, 0, 0, 0.1, first, self.spread, 3.0)
        actions = self.up[me].handle(self.now, [e])
        self.take(me, actions)
        for a in actions:
            if isinstance(a, StartAttempt):
                served = AttemptEnded(a.id, 0, a.backend, Status.OK, 0.1, True)
                self.take(me, self.up[me].handle(self.now, [served]))

    def take(self, me: int, actions: Iterable[Action]) -> None:
        """Put a gateway's messages in flight, unless they are lost."""
        for a in actions:
            if isinstance(a, SendToPeer) and a.peer is not None:
                self.sent, self.bytes = self.sent + 1, self.bytes + len(a.payload)
                if (me, a.peer) in self.cut or self.chance.random() < self.loss:
                    self.lost += 1
                    continue
                self.number += 1
                due = self.now + self.chance.uniform(0.001, 0.03)
                heapq.heappush(self.flight, (due, self.number, me, a.peer, a.payload))

    def pause(self, me: int, seconds: float) -> None:
        """Pause a gateway from now on."""
        self.still[me] = self.now, self.now + seconds

    def step(self) -> None:
        """Advance time by `STEP`: end pauses that are over, deliver messages, and run the timers."""
        self.now += STEP
        for me, (since, until) in list(self.still.items()):
            if self.now >= until:
                del self.still[me]
                if (gap := self.now - since) >= MIN_STALL and me in self.up:
                    self.flight = [m for m in self.flight if m[3] != me or m[0] > self.now]
                    heapq.heapify(self.flight)
                    resume_after_stall(self.up[me], self.now, gap)
        waiting = []
        while self.flight and self.flight[0][0] <= self.now:
            message = heapq.heappop(self.flight)
            _, _, sender, to, payload = message
            if to in self.still:
                waiting.append(message)
            elif to in self.up:
                self.take(to, self.up[to].handle(self.now, [PeerMessage(sender, payload)]))
        for message in waiting:
            heapq.heappush(self.flight, message)
        for me, g in self.up.items():
            if me not in self.still:
                self.take(me, g.handle(self.now, [TimerExpired(0)]))

    def run(self, seconds: float) -> None:
        """Advance time by so many seconds."""
        for _ in range(round(seconds / STEP)):
            self.step()

    def join(self) -> None:
        """Send each gateway a request for every ring that it is in, so that it knows its neighbours."""
        for me in self.up:
            for back in range(self.spread):
                self.ask(me, (me - back) % self.size)

    def gone(self, member: int) -> int:
        """The number of running gateways that consider a member dead."""
        seen = [
            g.membership.detector.members.get(member)
            for me, g in self.up.items()
            if me != member and me not in self.still
        ]
        return sum(m is not None and m.state == MemberState.DEAD for m in seen)

    def twice(self) -> list[str]:
        """Quota shares that their owner and a borrower may spend at the same time, beyond the whole share."""
        made = []
        for me, g in self.up.items():
            g.now = self.now
            for key, a in g.accounts.items():
                if me in self.still or not a.ledgers:
                    continue
                heirs = [
                    (i, h)
                    for i, h in self.up.items()
                    if i not in self.still and key in h.accounts and h.accounts[key].predecessor == me
                ]
                for i, h in heirs:
                    h.now = self.now
                    if (
                        part := g.membership.shares.own_fraction(a)
                        + h.membership.shares.borrowed_fraction(h.accounts[key], me)
                    ) > 1 + 1e-9:
                        made.append(
                            f"{part:.2f} of {me}'s quota share may be spent together with {i} "
                            f"at {self.now - 1000:.2f} s"
                        )
        return made


def deaths(gateways: int, spread: int, seed: int, loss: float, dead: int) -> dict[str, Any]:
    """Kill `dead` members one after the other; seconds until 99% of the others detected each death."""
    world = World(gateways, spread, seed, loss)
    world.join()
    world.run(SETTLE)
    took = []
    for _ in range(dead):
        member = world.chance.randrange(gateways)
        del world.up[member]
        at = world.now
        while world.gone(member) < 0.99 * (len(world.up)) and world.now < at + 60.0:
            world.step()
        took.append(world.now - at)
        world.start(member)
        world.run(SETTLE)
    took = [round(s, 2) for s in sorted(took)]
    return {
        "gateways": gateways,
        "loss": loss,
        "deaths": dead,
        "known_s": took,
        "median_s": round(statistics.median(took), 2),
        "most_s": took[-1],
    }


def alarms(
    gateways: int, spread: int, seed: int, loss: float, pauses: bool, seconds: float
) -> dict[str, Any]:
    """False alarms while no member dies, and the cost of membership in messages and CPU time."""
    world = World(gateways, spread, seed, loss)
    world.join()
    world.run(SETTLE)
    sent, total, lapses = (
        world.sent,
        world.bytes,
        sum(g.membership.shares.lease_losses for g in world.up.values()),
    )
    wrong: Counter[int] = Counter()
    before = {(i, j): False for i in range(gateways) for j in range(gateways)}
    began, cpu = world.now, time.process_time()
    next_pause = [world.now + world.chance.expovariate(1 / PAUSE_EVERY) for _ in range(gateways)]
    looked = 0
    while world.now < began + seconds:
        for me in range(gateways) if pauses else ():
            if world.now >= next_pause[me] and me not in world.still:
                world.pause(me, world.chance.uniform(PAUSE_LEAST, PAUSE_MOST))
                next_pause[me] = world.now + PAUSE_MOST + world.chance.expovariate(1 / PAUSE_EVERY)
        world.step()
        looked += 1
        if looked % 5 == 0:
            for i, g in world.up.items():
                for j, m in g.membership.detector.members.items():
                    if (m.state == MemberState.DEAD) and not before[i, j]:
                        wrong[j] += 1
                    before[i, j] = m.state == MemberState.DEAD
    spent = time.process_time() - cpu
    hours = gateways * seconds / 3600
    return {
        "gateways": gateways,
        "loss": loss,
        "pauses": pauses,
        "member_hours": round(hours, 2),
        "gone_wrongly": wrong.total(),
        "members_gone_wrongly": len(wrong),
        "slices_unsure": sum(g.membership.shares.lease_losses for g in world.up.values()) - lapses,
        "messages_per_gateway_s": round((world.sent - sent) / gateways / seconds, 1),
        "bytes_per_gateway_s": round((world.bytes - total) / gateways / seconds),
        "cpu_part_of_a_core": round(spent / gateways / seconds, 4),
    }


class Way(NamedTuple):
    """One step of an exploration: the directed links cut and the gateways paused for HELD seconds."""

    name: str
    cut: frozenset[Pair]
    still: tuple[int, ...] = ()


def ways(gateways: int) -> list[Way]:
    """All steps: no fault; a link cut in one or both directions; a gateway cut off likewise, or paused."""
    everyone = range(gateways)
    made = [Way("clear", frozenset())]
    made += [Way(f"{i}>{j}", frozenset({(i, j)})) for i, j in itertools.permutations(everyone, 2)]
    made += [Way(f"{i}|{j}", frozenset({(i, j), (j, i)})) for i, j in itertools.combinations(everyone, 2)]
    for i in everyone:
        out = frozenset((i, j) for j in everyone if j != i)
        back = frozenset((j, i) for j in everyone if j != i)
        made += [
            Way(f"{i} unheard", out),
            Way(f"{i} deaf", back),
            Way(f"{i} apart", out | back),
            Way(f"{i} still", frozenset(), (i,)),
        ]
    return made


def follow(world: World, way: Way) -> list[str]:
    """Apply one step; returns the quota shares that could be spent twice during it."""
    world.cut, made = way.cut, []
    for me in way.still:
        world.pause(me, HELD)
    for tick in range(round(HELD / STEP)):
        world.step()
        if tick % 10 == 0:
            for me in world.up:
                if me not in world.still:
                    world.ask(me, 0)
        made += world.twice()
    return made


def walk(world: World, depth: int, path: tuple[str, ...] = ()) -> Iterator[tuple[tuple[str, ...], list[str]]]:
    """Yield every sequence of up to `depth` steps, with the violations in its last step.

    For sequences of full length they include those after the faults have ended.
    """
    for way in ways(world.size):
        after = copy.deepcopy(world)
        faults = follow(after, way)
        here = (*path, way.name)
        if depth > 1:
            yield here, faults
            yield from walk(after, depth - 1, here)
            continue
        for _ in range(round(HEALED / HELD)):
            faults += follow(after, Way("clear", frozenset()))
        for me, g in after.up.items():
            g.now = after.now
            a = g.accounts[CUSTOMER]
            if not g.membership.is_share_exclusive(a) or g.membership.takeover.members or after.gone(me):
                faults.append(
                    f"{me} holds no exclusive share, still borrows one, or counts as dead, "
                    "although all faults have ended"
                )
        yield here, faults


def part(gateways: int, depth: int, first: int) -> tuple[int, list[str]]:
    """Check the sequences that begin with step number `first`; returns their count and the violations.

    Each process of the pool takes one first step.
    """
    world = World(gateways, 3, 1)
    for me in world.up:
        world.ask(me, 0)
    world.run(SETTLE)
    way, seen, found = ways(gateways)[first], 0, []
    found += follow(world, way)
    for path, faults in walk(world, depth - 1, (way.name,)):
        seen += 1
        found += [f"{fault}, after {', '.join(path)}" for fault in faults]
    return seen, found


def explore(gateways: int, depth: int, together: int) -> dict[str, Any]:
    """Check all sequences of `depth` steps; returns counts and the first violations."""
    import concurrent.futures

    count = len(ways(gateways))
    with concurrent.futures.ProcessPoolExecutor(together) as pool:
        made = list(pool.map(part, [gateways] * count, [depth] * count, range(count)))
    faults = [f for _, found in made for f in found]
    return {
        "gateways": gateways,
        "depth": depth,
        "ways": count,
        "orders": sum(n for n, _ in made),
        "faults": len(faults),
        "first": faults[:10],
    }


def measure(sizes: list[int], hours: float, together: int) -> dict[str, Any]:
    """Detection delays and false alarms by tier size and loss.

    A row of false alarms covers `hours` member-hours, or a quarter of them above 20 gateways, where one seed
    runs instead of four.
    """
    import concurrent.futures

    with concurrent.futures.ProcessPoolExecutor(together) as pool:
        killed = [
            pool.submit(deaths, n, 6, 1, loss, 3 if n > 100 else 10) for n in sizes for loss in (0.0, 0.12)
        ]
        quiet = [
            pool.submit(alarms, n, 6, seed, loss, pauses, 3600 * hours / n / 4)
            for n in sizes
            for loss in (0.0, 0.05, 0.12, 0.3)
            for pauses in (False, True)
            for seed in range(4 if n <= 20 else 1)
        ]
        return {"deaths": [f.result() for f in killed], "alarms": added([f.result() for f in quiet])}


def added(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Merge the rows of equal size, loss and pauses: counts are summed, rates averaged."""
    groups: dict[tuple[Any, ...], list[dict[str, Any]]] = {}
    for row in rows:
        groups.setdefault((row["gateways"], row["loss"], row["pauses"]), []).append(row)
    made = []
    for same in groups.values():
        one = dict(same[0])
        for key in ("member_hours", "gone_wrongly", "members_gone_wrongly", "slices_unsure"):
            one[key] = round(sum(row[key] for row in same), 2)
        for key in ("messages_per_gateway_s", "bytes_per_gateway_s", "cpu_part_of_a_core"):
            one[key] = round(statistics.mean(row[key] for row in same), 4)
        made.append(one)
    return made
