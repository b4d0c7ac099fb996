"""Measures what membership adds to the CPU time of a request in the decision module.

PYTHONPATH=. python -O benchmarks/members.py [--out FILE]

One gateway of a ring of three, with valid leases, handles requests and replies with and without membership,
in pairs within one run; no sockets are used. Compare ratios, as times depend on the machine.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import statistics
import time

from corkdeal.decisions.actions import StartAttempt
from corkdeal.decisions.events import AttemptEnded, Request, Status
from corkdeal.experiment.membership import Simulation

PAIRS, REQUESTS = 30, 3000


def measure_cpu(simulation: Simulation) -> float:
    """Returns one gateway's CPU seconds for REQUESTS requests, right after its leases are renewed."""
    simulation.run(1.0)
    gateway = simulation.running[0]
    cpu_before = time.process_time()
    for _ in range(REQUESTS):
        simulation.last_id += 1
        actions = gateway.handle(simulation.now, [Request(simulation.last_id, 7, 0, 0, 0.001, 0, 3, 3.0)])
        for action in actions:
            if isinstance(action, StartAttempt):
                gateway.handle(
                    simulation.now, [AttemptEnded(action.id, 0, action.backend, Status.OK, 0.1, True)]
                )
    return time.process_time() - cpu_before


def make_simulation(is_membership_on: bool) -> Simulation:
    """Returns three gateways that share one ring, with membership on or off."""
    simulation = Simulation(3, 3, 1)
    for g in simulation.running.values():
        g.membership = g.membership if is_membership_on else None
    for me in simulation.running:
        simulation.send_request(me, 0)
    simulation.run(5.0)
    return simulation


def main() -> None:
    """Runs the pairs in alternating order."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out")
    args = parser.parse_args()
    with_membership, without_membership = make_simulation(True), make_simulation(False)
    ratios = []
    for pair in range(PAIRS):
        first, second = (
            (with_membership, without_membership) if pair % 2 else (without_membership, with_membership)
        )
        cpu_times = {id(first): measure_cpu(first), id(second): measure_cpu(second)}
        ratios.append(cpu_times[id(with_membership)] / cpu_times[id(without_membership)])
    low, _, high = statistics.quantiles(ratios, n=4)
    results = {
        "pairs": PAIRS,
        "requests": REQUESTS,
        "on_to_off": round(statistics.median(ratios), 3),
        "quartiles": [round(low, 3), round(high, 3)],
    }
    if args.out:
        pathlib.Path(args.out).write_text(json.dumps(results, indent=1) + "\n")
    print(json.dumps(results))


if __name__ == "__main__":
    main()
