"""Measures the cost of restarts with and without persisted state, on real gateways and fake backends.

A quarter of the backends are slow. Three variants receive the same requests for the same seed: `calm` without
restarts, `forgets` with restarts and without persisted state, `knows` with restarts and persisted state. The
cost of a restart is the worth that `calm` serves in time in a window after it and the variant does not. The
over-admission is the units beyond quotas that the variant admits in that window and `calm` does not.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import shutil
import subprocess
import sys
import tempfile
import time
from typing import Any

from ..standin import clients, fleet
from ..standin.backends import Arrival, BackendModel, FakeBackend, gamma_work
from ..standin.discovery import Discovery

VARIANTS = ("calm", "forgets", "knows")
GATEWAYS, SERVERS = 3, 12
LOADS = {"usual": 92.0, "high": 110.0}  # units per second within quotas
SLOW_AT, SLOW_FRACTION, SLOWDOWN_RANGE = 3.0, 0.25, (3.5, 9.0)  # s, part of the backends, factor of slowdown
RESTART_TIMES = (13.0, 17.0, 21.0, 25.0, 29.0, 33.0)  # s; each time the next gateway in turn is killed
DURATION = 44.5  # s
IN_FLIGHT_MARGIN = 2.0  # s before a kill; a request sent then may be lost with its gateway in every variant
STARTUP_TIME = 0.5  # s from the start of a process, by when it is ready, to the start of the window
WINDOW_LENGTHS = (5.0, 10.0)  # s after a restart


async def run_variant(
    seed: int,
    variant: str,
    folder: pathlib.Path,
    write_interval: float = 1.0,
    load: str = "usual",
    program: pathlib.Path | None = None,
) -> dict[str, Any]:
    """Run one variant once; returns its totals and those of each window after a restart."""
    rng = random.Random(seed)
    customers = clients.customers(rng, LOADS[load], GATEWAYS)
    requests = clients.arrivals(rng, customers, DURATION, GATEWAYS)
    downtimes = [rng.uniform(0.28, 1.4) for _ in RESTART_TIMES]
    restart_order = rng.sample(range(GATEWAYS), GATEWAYS) * (len(RESTART_TIMES) // GATEWAYS)
    arrivals: list[Arrival] = []
    backends = []
    for i in range(SERVERS):
        speed = rng.uniform(0.85, 1.1) if rng.random() < 0.7 else rng.uniform(0.64, 0.86)
        model = BackendModel(
            f"s-{rng.getrandbits(32):08x}",
            fleet.ZONES[i % 3],
            cell=i // 6,
            speed=speed,
            queue=rng.randint(45, 110),
        )
        backends.append(
            FakeBackend(
                model,
                gamma_work(random.Random(rng.random()), rng.uniform(0.16, 0.27), 0.9),
                arrivals.append,
            )
        )
    slowdowns = {
        backend: rng.uniform(*SLOWDOWN_RANGE)
        for backend in rng.sample(backends, round(SERVERS * SLOW_FRACTION))
    }
    for backend in backends:
        await backend.start()
    discovery = Discovery(lambda: [backend.entry() for backend in backends])
    await discovery.start()
    options = f'knowledge path="{folder}/state" every={write_interval}\n' if variant == "knows" else ""
    gateways = fleet.create_gateways(GATEWAYS, discovery.port, folder, clients.PLANS, options, program)
    load_generator = clients.Clients(gateways, requests, rng)
    start_durations, restart_durations = [], []
    try:
        for gateway in gateways:
            start_durations.append(await gateway.start(discovery.document()))
        started_at, wall_started_at = time.monotonic() + 0.3, time.time() + 0.3

        async def wait_until(moment: float) -> None:
            await asyncio.sleep(max(0.0, started_at + moment - time.monotonic()))

        async def restart_gateways() -> None:
            await wait_until(SLOW_AT)
            for backend, factor in slowdowns.items():
                backend.slow = factor
            for restart_at, downtime, gateway_index in zip(
                RESTART_TIMES, downtimes, restart_order, strict=True
            ):
                await wait_until(restart_at)
                if variant != "calm":
                    await gateways[gateway_index].stop()
                    load_generator.down_since[gateway_index] = time.monotonic()
                    await wait_until(restart_at + downtime)
                    restart_durations.append(await gateways[gateway_index].start(discovery.document()))

        await asyncio.gather(restart_gateways(), load_generator.run(started_at))
    finally:
        for gateway in gateways:
            await gateway.stop()
        for backend in backends:
            backend.crash()
    slow_names = {backend.model.name for backend in slowdowns}
    admissions = clients.classify_by_quota(arrivals, {c.id: c for c in customers})
    # Excludes, in every variant, requests for a gateway that is down or about to be killed.
    excluded = [
        (gateway_index, restart_at - IN_FLIGHT_MARGIN, restart_at + downtime + STARTUP_TIME)
        for restart_at, downtime, gateway_index in zip(RESTART_TIMES, downtimes, restart_order, strict=True)
    ]
    windows = []
    for restart_at, downtime, gateway_index in zip(RESTART_TIMES, downtimes, restart_order, strict=True):
        for length in WINDOW_LENGTHS:
            window_start = restart_at + downtime + STARTUP_TIME
            included = [
                request
                for request in requests
                if window_start <= request.at < window_start + length
                and not any(
                    request.gateway == index and begin <= request.at < end for index, begin, end in excluded
                )
            ]
            own = [request for request in included if request.gateway == gateway_index]
            windows.append(
                {
                    "restart": restart_at,
                    "length": length,
                    "asked": total_worth(included),
                    "served": total_worth(included, "served"),
                    "asked_there": total_worth(own),
                    "served_there": total_worth(own, "served"),
                    "beyond": sum(
                        is_over_quota
                        for at, is_over_quota, plan in admissions
                        if not plan and window_start <= at - wall_started_at < window_start + length
                    ),
                    "to_slow": sum(
                        1
                        for arrival in arrivals
                        if load_generator.gateway_of_attempt.get(arrival.request) == gateway_index
                        and arrival.server in slow_names
                        and window_start <= arrival.at - wall_started_at < window_start + length
                    ),
                }
            )
    return {
        "seed": seed,
        "arm": variant,
        "every": write_interval,
        "windows": windows,
        "starts": start_durations,
        "reborn": restart_durations,
        "asked": total_worth(requests),
        "served": total_worth(requests, "served"),
        "beyond": sum(is_over_quota for _, is_over_quota, plan in admissions if not plan),
        "outcomes": {
            outcome: sum(request.outcome == outcome for request in requests)
            for outcome in ("served", "late", "refused", "failed", "")
        },
        "fallen": sum(backend.has_crashed for backend in backends),
        "late": round(time.monotonic() - started_at - DURATION, 2),
    }


def total_worth(requests: list[clients.ClientRequest], outcome: str = "") -> float:
    """The total worth of the requests, or of those with that outcome."""
    return round(sum(request.worth for request in requests if not outcome or request.outcome == outcome), 3)


def run_in_temporary_folder(seed: int, variant: str, write_interval: float, load: str) -> dict[str, Any]:
    """Run one variant once in a temporary folder; the entry point of a child process."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="restarts-"))
    try:
        return asyncio.run(run_variant(seed, variant, folder, write_interval, load))
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def run_all(
    seeds: list[int], variants: list[str], write_interval: float, load: str, max_processes: int
) -> list[dict[str, Any]]:
    """Run every combination of seed and variant, each in a process, at most `max_processes` at a time."""
    jobs = [(seed, variant) for seed in seeds for variant in variants]
    running: list[tuple[int, str, subprocess.Popen[str]]] = []
    results = []
    while jobs or running:
        while jobs and len(running) < max_processes:
            seed, variant = jobs.pop(0)
            running.append(
                (
                    seed,
                    variant,
                    subprocess.Popen(
                        [sys.executable, "-m", __name__, str(seed), variant, str(write_interval), load],
                        stdout=subprocess.PIPE,
                        text=True,
                    ),
                )
            )
        seed, variant, process = running.pop(0)
        output, _ = process.communicate()
        if process.returncode:
            raise RuntimeError(
                f"run with seed {seed} of {variant} failed with exit code {process.returncode}"
            )
        results.append(json.loads(output))
    return results


if __name__ == "__main__":
    print(json.dumps(run_in_temporary_folder(int(sys.argv[1]), sys.argv[2], float(sys.argv[3]), sys.argv[4])))
