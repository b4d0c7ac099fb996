"""Simulates zone outages to measure the detector in `zones/loss.py`: false alarms and detection delay.

A simple model in virtual time of what the decisions observe: attempts at backends in three zones that are
answered after some time, get no reply, or fail to connect. It runs no gateway and opens no sockets.
"""

from __future__ import annotations

import random
from typing import Any

from ..zones.loss import LostZoneDetector

CONNECT_TIMEOUT = 0.25  # s until a connection attempt to an unreachable backend fails
UNANSWERED_MULTIPLE = 4.0  # multiple of the mean response time after which an attempt counts as unanswered
ZONES = ("north-hall", "east-hall", "south-hall")
CONDITIONS = ("calm", "slow quarter", "all slow", "dead server", "two dead in two halls")


class OutageSimulation:
    """One simulated period: attempts at random backends at a constant mean rate, and their outcomes."""

    def __init__(
        self, seed: int, rate: float = 30.0, backends_per_zone: int = 4, mean_response_time: float = 0.2
    ) -> None:
        """`rate` is the attempts per second of one gateway; `mean_response_time` is in seconds."""
        self.rng, self.rate, self.mean_response_time = random.Random(seed), rate, mean_response_time
        self.detector, self.now = LostZoneDetector(), 0.0
        self.pending: list[tuple[float, str, str, str, float]] = []
        self.backends = [(zone, f"{zone}-{i}") for zone in ZONES for i in range(backends_per_zone)]
        self.detector.set_backend_counts(dict.fromkeys(ZONES, backends_per_zone))
        self.zones_down: set[str] = set()
        self.slow: dict[str, float] = {}
        self.dead: set[str] = set()
        self.declared_outages: list[tuple[float, str]] = []

    def start_condition(self, kind: str) -> None:
        """Start one of the conditions in `CONDITIONS`."""
        names = [backend for _, backend in self.backends]
        if kind == "slow quarter":
            self.slow = {s: self.rng.uniform(3.5, 9) for s in self.rng.sample(names, len(names) // 4)}
        elif kind == "all slow":
            self.slow = dict.fromkeys(names, self.rng.uniform(1.4, 2.6))
        elif kind == "dead server":
            self.dead = {names[0]}
        elif kind == "two dead in two halls":
            self.dead = {names[0], names[-1]}

    def run(self, until: float) -> None:
        """Advance time to `until`; each attempt is reported when it is answered, fails or is overdue."""
        while self.now < until:
            self.now += self.rng.expovariate(self.rate)
            zone, backend = self.rng.choice(self.backends)
            response_time = self.rng.gammavariate(2, self.mean_response_time / 2) * self.slow.get(
                backend, 1.0
            )
            unanswered_after = UNANSWERED_MULTIPLE * self.mean_response_time
            if zone in self.zones_down or backend in self.dead:
                self.pending.append((self.now + CONNECT_TIMEOUT, "failed", zone, backend, self.now))
            else:
                if response_time > unanswered_after:
                    self.pending.append((self.now + unanswered_after, "silent", zone, backend, self.now))
                self.pending.append((self.now + response_time, "answered", zone, backend, self.now))
            due = sorted(report for report in self.pending if report[0] <= self.now)
            self.pending = [report for report in self.pending if report[0] > self.now]
            for reported_at, outcome, its_zone, its_backend, sent in due:
                if outcome != "answered":
                    self.detector.record_failure(its_zone, its_backend, reported_at, outcome == "silent")
                elif its_zone not in self.zones_down:  # a reply in flight when the outage begins is lost
                    self.detector.record_reply(its_zone, its_backend, sent, reported_at)
                self.declared_outages += [(reported_at, h) for h in self.detector.declare_lost(reported_at)]


def false_alarms(days: int, seconds: float, rate: float) -> list[dict[str, Any]]:
    """Count the outages declared on days without one, by condition."""
    rows = []
    for kind in CONDITIONS:
        alarm_count = 0
        for seed in range(days):
            simulation = OutageSimulation(seed, rate)
            simulation.run(10)
            simulation.start_condition(kind)
            simulation.run(10 + seconds)
            alarm_count += len(simulation.declared_outages)
        rows.append(
            {"trouble": kind, "days": days, "hours": round(days * seconds / 3600, 2), "false": alarm_count}
        )
    return rows


def detection_delays(days: int, rate: float, trouble: str = "calm") -> dict[str, Any]:
    """Seconds from the start of an outage until it is declared, over many days."""
    measured_delays, missed, other_zones = [], 0, 0
    for seed in range(days):
        simulation = OutageSimulation(seed, rate)
        simulation.run(10)
        simulation.start_condition(trouble)
        simulation.run(20)
        before = len(simulation.declared_outages)
        simulation.zones_down = {ZONES[seed % 3]}
        simulation.run(26)
        detection_times = [
            reported_at
            for reported_at, zone in simulation.declared_outages[before:]
            if zone in simulation.zones_down
        ]
        other_zones += sum(zone not in simulation.zones_down for _, zone in simulation.declared_outages)
        missed += not detection_times
        measured_delays += [detection_times[0] - 20] if detection_times else []
    measured_delays.sort()
    return {
        "trouble": trouble,
        "rate": rate,
        "days": days,
        "missed": missed,
        "other_halls": other_zones,
        "median_s": round(measured_delays[len(measured_delays) // 2], 2),
        "p95_s": round(measured_delays[int(len(measured_delays) * 0.95)], 2),
        "most_s": round(measured_delays[-1], 2),
    }
