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
from ..membership.protocol import MembershipProtocol
from ..recovery.resume import resume_after_stall
from ..recovery.stall_detector import MIN_STALL
from .explore import new_gateway

STEP = 0.05  # s, time between two runs of the timers
CUSTOMER = 7
ENDPOINT_LIST = EndpointUpdate(UpdateKind.COMPLETE, (Endpoint("a", EndpointState.READY),))
PAUSE_INTERVAL, MIN_PAUSE, MAX_PAUSE = 10.0, 0.2, 1.9  # s, interval and length of a member's pauses
SETTLE_TIME = 5.0  # s before the first fault or observation
STEP_DURATION, RECOVERY_DURATION = 1.5, 8.0  # s, of a step, and of the time without faults after the last
Link = tuple[int, int]


class Simulation:
    """A simulated tier whose links and processes can be made to fail."""

    def __init__(self, gateways: int, spread: int, seed: int, loss: float = 0.0) -> None:
        self.gateway_count, self.spread, self.loss = gateways, min(spread, gateways), loss
        self.rng, self.now, self.last_id = random.Random(seed), 1000.0, 0
        self.running: dict[int, Gateway] = {}
        self.in_flight: list[tuple[float, int, int, int, bytes]] = []
        self.cut_links: frozenset[Link] = frozenset()
        self.paused: dict[int, tuple[float, float]] = {}  # paused gateways: since when, until when
        self.sent = self.bytes_sent = self.lost = 0
        for index in range(gateways):
            self.start(index)

    def start(self, index: int) -> None:
        """Start a gateway without persisted state."""
        gateway = new_gateway(index, self.gateway_count)
        gateway.membership = MembershipProtocol(gateway, is_later)
        self.running[index] = gateway
        self.perform(index, gateway.handle(self.now, [ENDPOINT_LIST]))

    def send_request(self, index: int, first: int) -> None:
        """Send one request to gateway `index`, for the customer whose ring begins at gateway `first`."""
        self.last_id += 1
        request = Request(self.last_id, CUSTOMER + first, 0, 0, 0.1, first, self.spread, 3.0)
        actions = self.running[index].handle(self.now, [request])
        self.perform(index, actions)
        for a in actions:
            if isinstance(a, StartAttempt):
                served = AttemptEnded(a.id, 0, a.backend, Status.OK, 0.1, True)
                self.perform(index, self.running[index].handle(self.now, [served]))

    def perform(self, index: int, actions: Iterable[Action]) -> None:
        """Put a gateway's messages in flight, unless they are lost."""
        for a in actions:
            if isinstance(a, SendToPeer) and a.peer is not None:
                self.sent, self.bytes_sent = self.sent + 1, self.bytes_sent + len(a.payload)
                if (index, a.peer) in self.cut_links or self.rng.random() < self.loss:
                    self.lost += 1
                    continue
                self.last_id += 1
                due = self.now + self.rng.uniform(0.001, 0.03)
                heapq.heappush(self.in_flight, (due, self.last_id, index, a.peer, a.payload))

    def pause(self, index: int, seconds: float) -> None:
        """Pause a gateway from now on."""
        self.paused[index] = self.now, self.now + seconds

    def step(self) -> None:
        """Advance time by `STEP`: end pauses that are over, deliver messages, and run the timers."""
        self.now += STEP
        for index, (since, until) in list(self.paused.items()):
            if self.now >= until:
                del self.paused[index]
                if (stall_time := self.now - since) >= MIN_STALL and index in self.running:
                    self.in_flight = [m for m in self.in_flight if m[3] != index or m[0] > self.now]
                    heapq.heapify(self.in_flight)
                    resume_after_stall(self.running[index], self.now, stall_time)
        delayed = []
        while self.in_flight and self.in_flight[0][0] <= self.now:
            message = heapq.heappop(self.in_flight)
            _, _, sender, receiver, payload = message
            if receiver in self.paused:
                delayed.append(message)
            elif receiver in self.running:
                self.perform(
                    receiver, self.running[receiver].handle(self.now, [PeerMessage(sender, payload)])
                )
        for message in delayed:
            heapq.heappush(self.in_flight, message)
        for index, g in self.running.items():
            if index not in self.paused:
                self.perform(index, g.handle(self.now, [TimerExpired(0)]))

    def run(self, seconds: float) -> None:
        """Advance time by so many seconds."""
        for _ in range(round(seconds / STEP)):
            self.step()

    def introduce_neighbours(self) -> None:
        """Send each gateway a request for every ring that it is in, so that it knows its neighbours."""
        for index in self.running:
            for offset in range(self.spread):
                self.send_request(index, (index - offset) % self.gateway_count)

    def count_detections(self, member: int) -> int:
        """The number of running gateways that consider a member dead."""
        reports = [
            g.membership.detector.members.get(member)
            for index, g in self.running.items()
            if index != member and index not in self.paused
        ]
        return sum(m is not None and m.state == MemberState.DEAD for m in reports)

    def shares_spendable_twice(self) -> list[str]:
        """Quota shares that their owner and a borrower may spend at the same time, beyond the whole share."""
        violations = []
        for index, g in self.running.items():
            g.now = self.now
            for key, a in g.accounts.items():
                if index in self.paused or not a.ledgers:
                    continue
                borrowers = [
                    (borrower, borrower_gateway)
                    for borrower, borrower_gateway in self.running.items()
                    if borrower not in self.paused
                    and key in borrower_gateway.accounts
                    and borrower_gateway.accounts[key].predecessor == index
                ]
                for borrower, borrower_gateway in borrowers:
                    borrower_gateway.now = self.now
                    if (
                        fraction := g.membership.shares.own_fraction(a)
                        + borrower_gateway.membership.shares.taken_over_fraction(
                            borrower_gateway.accounts[key], index
                        )
                    ) > 1 + 1e-9:
                        violations.append(
                            f"{fraction:.2f} of {index}'s quota share may be spent together with {borrower} "
                            f"at {self.now - 1000:.2f} s"
                        )
        return violations


def measure_detection(gateways: int, spread: int, seed: int, loss: float, death_count: int) -> dict[str, Any]:
    """Kill `death_count` members one after the other; seconds until 99% of the others detected each death."""
    simulation = Simulation(gateways, spread, seed, loss)
    simulation.introduce_neighbours()
    simulation.run(SETTLE_TIME)
    detection_times = []
    for _ in range(death_count):
        member = simulation.rng.randrange(gateways)
        del simulation.running[member]
        at = simulation.now
        while (
            simulation.count_detections(member) < 0.99 * (len(simulation.running))
            and simulation.now < at + 60.0
        ):
            simulation.step()
        detection_times.append(simulation.now - at)
        simulation.start(member)
        simulation.run(SETTLE_TIME)
    detection_times = [round(s, 2) for s in sorted(detection_times)]
    return {
        "gateways": gateways,
        "loss": loss,
        "deaths": death_count,
        "known_s": detection_times,
        "median_s": round(statistics.median(detection_times), 2),
        "most_s": detection_times[-1],
    }


def measure_false_alarms(
    gateways: int, spread: int, seed: int, loss: float, pauses: bool, seconds: float
) -> dict[str, Any]:
    """False alarms while no member dies, and the cost of membership in messages and CPU time."""
    simulation = Simulation(gateways, spread, seed, loss)
    simulation.introduce_neighbours()
    simulation.run(SETTLE_TIME)
    sent_before, bytes_before, lease_losses_before = (
        simulation.sent,
        simulation.bytes_sent,
        sum(g.membership.shares.lease_losses for g in simulation.running.values()),
    )
    false_alarms: Counter[int] = Counter()
    before = {(i, j): False for i in range(gateways) for j in range(gateways)}
    started_at, cpu = simulation.now, time.process_time()
    next_pauses = [simulation.now + simulation.rng.expovariate(1 / PAUSE_INTERVAL) for _ in range(gateways)]
    step_count = 0
    while simulation.now < started_at + seconds:
        for index in range(gateways) if pauses else ():
            if simulation.now >= next_pauses[index] and index not in simulation.paused:
                simulation.pause(index, simulation.rng.uniform(MIN_PAUSE, MAX_PAUSE))
                next_pauses[index] = (
                    simulation.now + MAX_PAUSE + simulation.rng.expovariate(1 / PAUSE_INTERVAL)
                )
        simulation.step()
        step_count += 1
        if step_count % 5 == 0:
            for i, g in simulation.running.items():
                for j, m in g.membership.detector.members.items():
                    if (m.state == MemberState.DEAD) and not before[i, j]:
                        false_alarms[j] += 1
                    before[i, j] = m.state == MemberState.DEAD
    cpu_time = time.process_time() - cpu
    hours = gateways * seconds / 3600
    return {
        "gateways": gateways,
        "loss": loss,
        "pauses": pauses,
        "member_hours": round(hours, 2),
        "gone_wrongly": false_alarms.total(),
        "members_gone_wrongly": len(false_alarms),
        "slices_unsure": sum(g.membership.shares.lease_losses for g in simulation.running.values())
        - lease_losses_before,
        "messages_per_gateway_s": round((simulation.sent - sent_before) / gateways / seconds, 1),
        "bytes_per_gateway_s": round((simulation.bytes_sent - bytes_before) / gateways / seconds),
        "cpu_part_of_a_core": round(cpu_time / gateways / seconds, 4),
    }


class ExplorationStep(NamedTuple):
    """One step of an exploration: links cut and gateways paused for STEP_DURATION seconds."""

    name: str
    cut_links: frozenset[Link]
    paused: tuple[int, ...] = ()


def exploration_steps(gateways: int) -> list[ExplorationStep]:
    """All steps: no fault; a link cut in one or both directions; a gateway cut off likewise, or paused."""
    members = range(gateways)
    steps = [ExplorationStep("clear", frozenset())]
    steps += [ExplorationStep(f"{i}>{j}", frozenset({(i, j)})) for i, j in itertools.permutations(members, 2)]
    steps += [
        ExplorationStep(f"{i}|{j}", frozenset({(i, j), (j, i)}))
        for i, j in itertools.combinations(members, 2)
    ]
    for i in members:
        outgoing = frozenset((i, j) for j in members if j != i)
        incoming = frozenset((j, i) for j in members if j != i)
        steps += [
            ExplorationStep(f"{i} unheard", outgoing),
            ExplorationStep(f"{i} deaf", incoming),
            ExplorationStep(f"{i} apart", outgoing | incoming),
            ExplorationStep(f"{i} still", frozenset(), (i,)),
        ]
    return steps


def apply_step(simulation: Simulation, step: ExplorationStep) -> list[str]:
    """Apply one step; returns the quota shares that could be spent twice during it."""
    simulation.cut_links, violations = step.cut_links, []
    for index in step.paused:
        simulation.pause(index, STEP_DURATION)
    for tick in range(round(STEP_DURATION / STEP)):
        simulation.step()
        if tick % 10 == 0:
            for index in simulation.running:
                if index not in simulation.paused:
                    simulation.send_request(index, 0)
        violations += simulation.shares_spendable_twice()
    return violations


def walk(
    simulation: Simulation, depth: int, path: tuple[str, ...] = ()
) -> Iterator[tuple[tuple[str, ...], list[str]]]:
    """Yield every sequence of up to `depth` steps, with the violations in its last step.

    For sequences of full length they include those after the faults have ended.
    """
    for step in exploration_steps(simulation.gateway_count):
        branch = copy.deepcopy(simulation)
        violations = apply_step(branch, step)
        sequence = (*path, step.name)
        if depth > 1:
            yield sequence, violations
            yield from walk(branch, depth - 1, sequence)
            continue
        for _ in range(round(RECOVERY_DURATION / STEP_DURATION)):
            violations += apply_step(branch, ExplorationStep("clear", frozenset()))
        for index, g in branch.running.items():
            g.now = branch.now
            a = g.accounts[CUSTOMER]
            if (
                not g.membership.is_share_exclusive(a)
                or g.membership.takeover.members
                or branch.count_detections(index)
            ):
                violations.append(
                    f"{index} holds no exclusive share, still borrows one, or counts as dead, "
                    "although all faults have ended"
                )
        yield sequence, violations


def check_sequences_from(gateways: int, depth: int, first: int) -> tuple[int, list[str]]:
    """Check the sequences that begin with step number `first`; returns their count and the violations.

    Each process of the pool takes one first step.
    """
    simulation = Simulation(gateways, 3, 1)
    for index in simulation.running:
        simulation.send_request(index, 0)
    simulation.run(SETTLE_TIME)
    step, count, violations = exploration_steps(gateways)[first], 0, []
    violations += apply_step(simulation, step)
    for path, step_violations in walk(simulation, depth - 1, (step.name,)):
        count += 1
        violations += [f"{violation}, after {', '.join(path)}" for violation in step_violations]
    return count, violations


def explore(gateways: int, depth: int, processes: int) -> dict[str, Any]:
    """Check all sequences of `depth` steps; returns counts and the first violations."""
    import concurrent.futures

    count = len(exploration_steps(gateways))
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        results = list(pool.map(check_sequences_from, [gateways] * count, [depth] * count, range(count)))
    violations = [violation for _, texts in results for violation in texts]
    return {
        "gateways": gateways,
        "depth": depth,
        "ways": count,
        "orders": sum(n for n, _ in results),
        "faults": len(violations),
        "first": violations[:10],
    }


def measure(sizes: list[int], hours: float, processes: int) -> dict[str, Any]:
    """Detection delays and false alarms by tier size and loss.

    A row of false alarms covers `hours` member-hours, or a quarter of them above 20 gateways, where one seed
    runs instead of four.
    """
    import concurrent.futures

    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        death_runs = [
            pool.submit(measure_detection, n, 6, 1, loss, 3 if n > 100 else 10)
            for n in sizes
            for loss in (0.0, 0.12)
        ]
        alarm_runs = [
            pool.submit(measure_false_alarms, n, 6, seed, loss, pauses, 3600 * hours / n / 4)
            for n in sizes
            for loss in (0.0, 0.05, 0.12, 0.3)
            for pauses in (False, True)
            for seed in range(4 if n <= 20 else 1)
        ]
        return {
            "deaths": [f.result() for f in death_runs],
            "alarms": merge_rows([f.result() for f in alarm_runs]),
        }


def merge_rows(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Merge the rows of equal size, loss and pauses: counts are summed, rates averaged."""
    groups: dict[tuple[Any, ...], list[dict[str, Any]]] = {}
    for row in rows:
        groups.setdefault((row["gateways"], row["loss"], row["pauses"]), []).append(row)
    merged = []
    for group in groups.values():
        merged_row = dict(group[0])
        for key in ("member_hours", "gone_wrongly", "members_gone_wrongly", "slices_unsure"):
            merged_row[key] = round(sum(row[key] for row in group), 2)
        for key in ("messages_per_gateway_s", "bytes_per_gateway_s", "cpu_part_of_a_core"):
            merged_row[key] = round(statistics.mean(row[key] for row in group), 4)
        merged.append(merged_row)
    return merged
