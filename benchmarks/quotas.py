"""Measures how much a fleet admits beyond its customers' quotas, in virtual time.

PYTHONPATH=. python -O benchmarks/quotas.py [--sizes 40,200] [--seeds 2] [--against CHECKOUT] [--out FILE]

There are two mixes of plans. In `dear` every over-quota unit has a high cost; it has four plans, one of which
limits only the attempts in flight. In `cheap` the cost is lower, and over-quota units of one plan have a
value. The fault `third` kills 30% of the gateways at 8 s and restarts them at 12 s; `collectors` does so to
the roots of the customers' aggregation trees, up to 30% of the gateways. `corkdeal/experiment/quotas.py`
simulates the fleet and counts. With `--against`, each simulation also runs with the revision in CHECKOUT.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import importlib.util
import json
import os
import pathlib
import subprocess
import sys
from typing import Any

SIMULATOR = pathlib.Path(__file__).parents[1] / "corkdeal" / "experiment" / "quotas.py"
KILL_AT, RESTART_AT = 8.0, 12.0  # s


def fleets(size: int, simulator: Any) -> dict[str, Any]:
    """Returns the simulated fleets by name."""
    plan, scale = simulator.Plan, size / 200
    dear = (
        plan(rate=1.3, burst=6.0, price=0.5, over_quota_cost=0.8),
        plan(rate=2.7, burst=11.0, price=0.8, over_quota_cost=1.2),
        plan(max_in_flight=6, price=1.3, over_quota_cost=1.2),
        plan(rate=20.0, burst=40.0, price=1.6, over_quota_cost=0.8),
    )
    cheap = (
        plan(rate=1.4, burst=5.6, price=1.1, over_quota_cost=0.5),
        plan(rate=9.5, burst=16.0, price=1.4, over_quota_weight=0.3),
    )

    def customers(*per_200_gateways: int) -> tuple[int, ...]:
        return tuple(max(1, round(n * scale)) for n in per_200_gateways)

    return {
        "dear": simulator.Fleet(dear, customers(560, 170, 50, 45), size),
        "cheap": simulator.Fleet(cheap, customers(800, 70), size, intake=60.0, units=(1.0,)),
    }


def run_simulation(mix: str, size: int, seed: int, fault: str) -> dict[str, Any]:
    """Runs one simulation of the revision on PYTHONPATH, with the simulator of this checkout."""
    spec = importlib.util.spec_from_file_location("corkdeal.experiment.quotas", SIMULATOR)
    simulator = sys.modules["corkdeal.experiment.quotas"] = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(simulator)
    simulation = simulator.Simulation(fleets(size, simulator)[mix], seed)
    if fault != "none":
        simulation.run(KILL_AT)
        killed = (
            simulation.rng.sample(range(size), round(0.3 * size))
            if fault == "third"
            else [
                me
                for me, g in simulation.gateways.items()
                if any(a.is_aggregated and a.tree_edges and a.parent is None for a in g.accounts.values())
            ]
        )
        for me in killed[: round(0.3 * size)]:
            simulation.kill(me)
        simulation.run(RESTART_AT)
        for me in killed[: round(0.3 * size)]:
            simulation.start(me)
    return simulation.run()


def main() -> None:
    """Runs all simulations, each in its own process, and prints a JSON line for each."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="40,200")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--faults", default="none,third")
    parser.add_argument("--against", type=pathlib.Path)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--out", type=pathlib.Path)
    parser.add_argument("--play", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.play:
        mix, size, seed, fault = args.play.split(",")
        return print(json.dumps(run_simulation(mix, int(size), int(seed), fault)))

    def run_in_process(simulation: tuple[str, str]) -> str:
        checkout = str(args.against if simulation[0] == "before" else SIMULATOR.parents[2])
        run = subprocess.run(
            [sys.executable, "-O", __file__, "--play", simulation[1]],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONPATH": checkout},
            timeout=600,
        )
        return run.stdout

    simulations = [
        (revision, f"{mix},{size},{seed},{fault}")
        for size in args.sizes.split(",")
        for mix in ("dear", "cheap")
        for fault in args.faults.split(",")
        for seed in range(1, args.seeds + 1)
        for revision in (["before"] if args.against else []) + ["now"]
    ]
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        rows = [
            {"revision": revision, "play": name, **json.loads(text)}
            for (revision, name), text in zip(simulations, pool.map(run_in_process, simulations), strict=True)
        ]
    for row in rows:
        print(json.dumps(row))
    if args.out:
        args.out.write_text("[\n" + ",\n".join(json.dumps(row) for row in rows) + "\n]\n")


if __name__ == "__main__":
    main()
