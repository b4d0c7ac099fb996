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
from ..standin.discovery import Discovery
from ..standin.servers import Arrival, Model, Server, work_drawer

ARMS = ("calm", "forgets", "knows")
GATEWAYS, SERVERS = 3, 12
LOADS = {"usual": 92.0, "high": 110.0}  # units per second within quotas
SLOW_AT, SLOW_PART, SLOW_TIMES = 3.0, 0.25, (3.5, 9.0)  # s, part of the backends, factor of slowdown
RESTARTS = (13.0, 17.0, 21.0, 25.0, 29.0, 33.0)  # s; each time the next gateway in turn is killed
SECONDS = 44.5
IN_HAND = 2.0  # s before a kill; a request sent then may be lost with its gateway in every variant
STARTED = 0.5  # s from the start of a process, by when it is ready, to the start of the window
WINDOWS = (5.0, 10.0)  # s after a restart


async def play(
    seed: int,
    arm: str,
    folder: pathlib.Path,
    every: float = 1.0,
    load: str = "usual",
    program: pathlib.Path | None = None,
) -> dict[str, Any]:
    """Run one variant once; returns its totals and those of each window after a restart."""
    chance = random.Random(seed)
    who = clients.customers(chance, LOADS[load], GATEWAYS)
    asks = clients.arrivals(chance, who, SECONDS, GATEWAYS)
    downs = [chance.uniform(0.28, 1.4) for _ in RESTARTS]
    order = chance.sample(range(GATEWAYS), GATEWAYS) * (len(RESTARTS) // GATEWAYS)
    seen: list[Arrival] = []
    servers = []
    for i in range(SERVERS):
        speed = chance.uniform(0.85, 1.1) if chance.random() < 0.7 else chance.uniform(0.64, 0.86)
        model = Model(
            f"s-{chance.getrandbits(32):08x}",
            fleet.HALLS[i % 3],
            cell=i // 6,
            speed=speed,
            queue=chance.randint(45, 110),
        )
        servers.append(
            Server(
                model,
                work_drawer(random.Random(chance.random()), chance.uniform(0.16, 0.27), 0.9),
                seen.append,
            )
        )
    slow = {s: chance.uniform(*SLOW_TIMES) for s in chance.sample(servers, round(SERVERS * SLOW_PART))}
    for s in servers:
        await s.start()
    discovery = Discovery(lambda: [s.entry() for s in servers])
    await discovery.start()
    options = f'knowledge path="{folder}/state" every={every}\n' if arm == "knows" else ""
    gateways = fleet.tier(GATEWAYS, discovery.port, folder, clients.PLANS, options, program)
    front = clients.Clients(gateways, asks, chance)
    starts, reborn = [], []
    try:
        for g in gateways:
            starts.append(await g.start(discovery.document()))
        began, wall = time.monotonic() + 0.3, time.time() + 0.3

        async def at(moment: float) -> None:
            await asyncio.sleep(max(0.0, began + moment - time.monotonic()))

        async def script() -> None:
            await at(SLOW_AT)
            for s, times in slow.items():
                s.slow = times
            for moment, down, number in zip(RESTARTS, downs, order, strict=True):
                await at(moment)
                if arm != "calm":
                    await gateways[number].end()
                    front.down_since[number] = time.monotonic()
                    await at(moment + down)
                    reborn.append(await gateways[number].start(discovery.document()))

        await asyncio.gather(script(), front.run(began))
    finally:
        for g in gateways:
            await g.end()
        for s in servers:
            s.die()
    names = {s.model.name for s in slow}
    booked = clients.books(seen, {c.id: c for c in who})
    # Excludes, in every variant, requests for a gateway that is down or about to be killed.
    away = [
        (number, moment - IN_HAND, moment + down + STARTED)
        for moment, down, number in zip(RESTARTS, downs, order, strict=True)
    ]
    windows = []
    for moment, down, number in zip(RESTARTS, downs, order, strict=True):
        for length in WINDOWS:
            low = moment + down + STARTED
            inside = [
                a
                for a in asks
                if low <= a.at < low + length
                and not any(a.gateway == n and begin <= a.at < end for n, begin, end in away)
            ]
            mine = [a for a in inside if a.gateway == number]
            windows.append(
                {
                    "restart": moment,
                    "length": length,
                    "asked": worth(inside),
                    "served": worth(inside, "served"),
                    "asked_there": worth(mine),
                    "served_there": worth(mine, "served"),
                    "beyond": sum(
                        over for t, over, plan in booked if not plan and low <= t - wall < low + length
                    ),
                    "to_slow": sum(
                        1
                        for a in seen
                        if front.sent_to.get(a.request) == number
                        and a.server in names
                        and low <= a.at - wall < low + length
                    ),
                }
            )
    return {
        "seed": seed,
        "arm": arm,
        "every": every,
        "windows": windows,
        "starts": starts,
        "reborn": reborn,
        "asked": worth(asks),
        "served": worth(asks, "served"),
        "beyond": sum(over for _, over, plan in booked if not plan),
        "outcomes": {
            o: sum(a.outcome == o for a in asks) for o in ("served", "late", "refused", "failed", "")
        },
        "fallen": sum(s.fallen for s in servers),
        "late": round(time.monotonic() - began - SECONDS, 2),
    }


def worth(asks: list[clients.Ask], outcome: str = "") -> float:
    """The total worth of the requests, or of those with that outcome."""
    return round(sum(a.worth for a in asks if not outcome or a.outcome == outcome), 3)


def play_alone(seed: int, arm: str, every: float, load: str) -> dict[str, Any]:
    """Run one variant once in a temporary folder; the entry point of a child process."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="restarts-"))
    try:
        return asyncio.run(play(seed, arm, folder, every, load))
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def play_all(
    seeds: list[int], arms: list[str], every: float, load: str, together: int
) -> list[dict[str, Any]]:
    """Run every combination of seed and variant, each in its own process, at most `together` at a time."""
    jobs = [(seed, arm) for seed in seeds for arm in arms]
    running: list[tuple[int, str, subprocess.Popen[str]]] = []
    results = []
    while jobs or running:
        while jobs and len(running) < together:
            seed, arm = jobs.pop(0)
            running.append(
                (
                    seed,
                    arm,
                    subprocess.Popen(
                        [sys.executable, "-m", __name__, str(seed), arm, str(every), load],
                        stdout=subprocess.PIPE,
                        text=True,
                    ),
                )
            )
        seed, arm, process = running.pop(0)
        said, _ = process.communicate()
        if process.returncode:
            raise RuntimeError(f"run with seed {seed} of {arm} failed with exit code {process.returncode}")
        results.append(json.loads(said))
    return results


if __name__ == "__main__":
    print(json.dumps(play_alone(int(sys.argv[1]), sys.argv[2], float(sys.argv[3]), sys.argv[4])))
