"""Simulates zone outages to measure the detector in `halls/loss.py`: false alarms and detection delay.

A simple model in virtual time of what the decisions observe: attempts at backends in three zones that are
answered after some time, get no reply, or fail to connect. It runs no gateway and opens no sockets.
"""

from __future__ import annotations

import random
from typing import Any

from ..halls.loss import Losses

CONNECT_LATE = 0.25  # s until a connection attempt to an unreachable backend fails
SILENT_TIMES = 4.0  # multiple of the mean response time after which an attempt counts as unanswered
HALLS = ("north-hall", "east-hall", "south-hall")
TROUBLES = ("calm", "slow quarter", "all slow", "dead server", "two dead in two halls")


class Day:
    """One simulated period: attempts at random backends at a constant mean rate, and their outcomes."""

    def __init__(self, seed: int, rate: float = 30.0, per_hall: int = 4, usual: float = 0.2) -> None:
        """`rate` is the attempts per second of one gateway, `usual` the mean response time in seconds."""
        self.chance, self.rate, self.usual = random.Random(seed), rate, usual
        self.losses, self.at = Losses(), 0.0
        self.pending: list[tuple[float, str, str, str, float]] = []
        self.servers = [(hall, f"{hall}-{i}") for hall in HALLS for i in range(per_hall)]
        self.losses.listed(dict.fromkeys(HALLS, per_hall))
        self.cut: set[str] = set()
        self.slow: dict[str, float] = {}
        self.dead: set[str] = set()
        self.declared: list[tuple[float, str]] = []

    def trouble(self, kind: str) -> None:
        """Start one of the conditions in `TROUBLES`."""
        names = [server for _, server in self.servers]
        if kind == "slow quarter":
            self.slow = {s: self.chance.uniform(3.5, 9) for s in self.chance.sample(names, len(names) // 4)}
        elif kind == "all slow":
            self.slow = dict.fromkeys(names, self.chance.uniform(1.4, 2.6))
        elif kind == "dead server":
            self.dead = {names[0]}
        elif kind == "two dead in two halls":
            self.dead = {names[0], names[-1]}

    def run(self, until: float) -> None:
        """Advance time to `until`; each attempt is reported when it is answered, fails or is overdue."""
        while self.at < until:
            self.at += self.chance.expovariate(self.rate)
            hall, server = self.chance.choice(self.servers)
            took = self.chance.gammavariate(2, self.usual / 2) * self.slow.get(server, 1.0)
            late = SILENT_TIMES * self.usual
            if hall in self.cut or server in self.dead:
                self.pending.append((self.at + CONNECT_LATE, "failed", hall, server, self.at))
            else:
                if took > late:
                    self.pending.append((self.at + late, "silent", hall, server, self.at))
                self.pending.append((self.at + took, "answered", hall, server, self.at))
            due = sorted(p for p in self.pending if p[0] <= self.at)
            self.pending = [p for p in self.pending if p[0] > self.at]
            for when, what, its_hall, its_server, sent in due:
                if what != "answered":
                    self.losses.failed(its_hall, its_server, when, what == "silent")
                elif its_hall not in self.cut:  # a reply in flight when the outage begins is lost
                    self.losses.answered(its_hall, its_server, sent, when)
                self.declared += [(when, h) for h in self.losses.look(when)]


def false_alarms(days: int, seconds: float, rate: float) -> list[dict[str, Any]]:
    """Count the outages declared on days without one, by condition."""
    rows = []
    for kind in TROUBLES:
        wrong = 0
        for seed in range(days):
            day = Day(seed, rate)
            day.run(10)
            day.trouble(kind)
            day.run(10 + seconds)
            wrong += len(day.declared)
        rows.append({"trouble": kind, "days": days, "hours": round(days * seconds / 3600, 2), "false": wrong})
    return rows


def delays(days: int, rate: float, trouble: str = "calm") -> dict[str, Any]:
    """Seconds from the start of an outage until it is declared, over many days."""
    took, missed, others = [], 0, 0
    for seed in range(days):
        day = Day(seed, rate)
        day.run(10)
        day.trouble(trouble)
        day.run(20)
        before = len(day.declared)
        day.cut = {HALLS[seed % 3]}
        day.run(26)
        mine = [when for when, hall in day.declared[before:] if hall in day.cut]
        others += sum(hall not in day.cut for _, hall in day.declared)
        missed += not mine
        took += [mine[0] - 20] if mine else []
    took.sort()
    return {
        "trouble": trouble,
        "rate": rate,
        "days": days,
        "missed": missed,
        "other_halls": others,
        "median_s": round(took[len(took) // 2], 2),
        "p95_s": round(took[int(len(took) * 0.95)], 2),
        "most_s": round(took[-1], 2),
    }
