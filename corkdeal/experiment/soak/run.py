"""Runs one seed of the soak, or many in processes of their own, and reports what broke."""

from __future__ import annotations

import asyncio
import concurrent.futures
import multiprocessing
import os
import pathlib
import shutil
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from ...standin import fleet
from ...standin.history import Quota, Violation
from .. import measure
from . import rules
from .clients import CLASSES, METERED, METERED_CUSTOMERS, OPEN, Clients
from .plan import DEDUPLICATION_WINDOW, MAX_STARTS, Plan, draw_plan
from .processes import Gateways
from .records import SoakRecord
from .services import WARM_UP_TIME, Services

LATENESS_INTERVAL = 0.01  # s between measurements of the harness's own lateness
MAX_USEFUL_LATENESS = 0.25  # s; beyond it, bounds on times show little
MICROSECONDS = 1_000_000


@dataclass(frozen=True)
class SoakResult:
    """The outcome of one seed."""

    seed: int
    duration: float  # s
    plan: Plan
    violations: tuple[Violation, ...]
    request_count: int
    answer_count: int
    process_count: int
    max_lateness: float  # s, of the harness
    folder: str  # of the logs, if they were kept

    def summary(self) -> str:
        """Return one line."""
        plan = self.plan
        state = "broken" if self.violations else "ok"
        late = ", harness too late to judge times" if self.max_lateness > MAX_USEFUL_LATENESS else ""
        return (
            f"seed {self.seed}: {state}, {plan.gateway_count} gateways in {self.process_count} processes, "
            f"{plan.memory_mb} MB, {plan.client_count} clients, pipeline {plan.pipeline}, "
            f"crowd {plan.crowd}, "
            f"{'connections kept, ' if plan.keeps_connections else ''}"
            f"long answers {100 * plan.long_values.answers:.0f}%, "
            f"of which {100 * plan.long_values.broken_answers:.0f}% broken off, "
            f"{self.answer_count} answers to {self.request_count} requests, "
            f"harness late by {1000 * self.max_lateness:.0f} ms{late}"
        )


class SoakRun:
    """One run of a plan."""

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        self.plan, self.folder = plan, folder
        self.record = SoakRecord()
        self.began_at = time.monotonic()
        self.services = Services(plan, self.record, self.clock, plan.gateway_count * MAX_STARTS)
        self.gateways = Gateways(plan, self.record, self.services, self.settings, folder, self.clock)
        self.clients = Clients(plan, self.record, self.gateways, self.clock)

    def clock(self) -> float:
        """Return the s since the run began."""
        return time.monotonic() - self.began_at

    def settings(self, gateway: int) -> dict[str, Any]:
        """Return the settings of one gateway."""
        plans = [
            {"name": plan.name, "quota_rate": plan.rate, "store_size": plan.burst} for plan in (METERED, OPEN)
        ]
        settings = fleet.settings(self.plan.gateway_count, gateway, plans)
        settings["classes"] = [
            {
                "name": each.name,
                "aim_us": int(each.timeout / 2 * MICROSECONDS),
                "deadline_us": int(each.timeout * MICROSECONDS),
                "semantics": each.effect.value,
                "points": 1,
                "group": "cell",
                "window_us": int(DEDUPLICATION_WINDOW * MICROSECONDS),
            }
            for each in CLASSES
        ]
        settings["rules"]["warm_within_us"] = int(WARM_UP_TIME * MICROSECONDS)
        settings["telemetry"]["how"] = "inline"
        return settings

    def quotas(self) -> dict[int, Quota]:
        """Return the quotas of the metered customers, with what starts and upgrades may add.

        Each process may admit one unit more for an account whose part holds less than one request.
        """
        starts = len(self.record.processes)
        bound = measure.over_admission_bound(METERED.burst, self.plan.gateway_count, starts) + starts
        return {customer: Quota(METERED.rate, METERED.burst, bound) for customer in METERED_CUSTOMERS}

    async def run(self) -> list[Violation]:
        """Run the plan, end everything, and check the record."""
        lateness_task = asyncio.ensure_future(self.measure_lateness())
        try:
            await self.services.start()
            await self.gateways.start_all()
            self.clients.start()
            events = asyncio.gather(self.gateways.run_events(), self.services.run_events())
            await asyncio.sleep(max(0.0, self.plan.duration - self.clock()))
            await events
            await self.gateways.terminate_all()
        finally:
            self.record.ended_at = self.clock()
            await self.clients.stop()
            await self.gateways.close()
            self.services.close()
            lateness_task.cancel()
        return rules.check(self.record, self.quotas(), self.plan.sockets, self.plan.memory_mb << 20)

    async def measure_lateness(self) -> None:
        """Measure by how much this process's own timers are late."""
        while True:
            due = self.clock() + LATENESS_INTERVAL
            await asyncio.sleep(LATENESS_INTERVAL)
            now = self.clock()
            self.record.lateness.append((now, max(0.0, now - due)))


def run_seed(seed: int, duration: float, out: str) -> SoakResult:
    """Run one seed; the logs are kept in a folder of `out` if a rule was broken."""
    plan = draw_plan(seed, duration)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    run = SoakRun(plan, folder)
    violations = tuple(asyncio.run(run.run()))
    kept = ""
    if violations:
        kept = os.path.join(out, f"seed-{seed}")
        shutil.rmtree(kept, ignore_errors=True)
        shutil.copytree(folder, kept)
        text = "\n".join("\n  ".join((violation.rule, *violation.lines)) for violation in violations)
        pathlib.Path(kept, "violations.txt").write_text(text + "\n")
    shutil.rmtree(folder, ignore_errors=True)
    requests = [request for connection in run.record.connections for request in connection.requests]
    return SoakResult(
        seed=seed,
        duration=duration,
        plan=plan,
        violations=violations,
        request_count=len(requests),
        answer_count=sum(request.answered_at is not None for request in requests),
        process_count=len(run.record.processes),
        max_lateness=rules.max_lateness(run.record),
        folder=kept,
    )


def run_seeds(seeds: list[int], duration: float, together: int, out: str) -> Iterator[SoakResult]:
    """Run seeds, each in a process of its own, `together` at a time; yields results in their order."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(
        together, mp_context=context, initializer=fleet.die_with_parent, max_tasks_per_child=1
    ) as pool:
        yield from pool.map(run_seed, seeds, [duration] * len(seeds), [out] * len(seeds))
