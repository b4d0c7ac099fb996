"""Simulates cold starts of a backend behind 5 to 1,100 gateways: overloads, and the work that it did.

PYTHONPATH=. python -O benchmarks/slow_start.py [--starts N] [--first N] [--sizes N,N] [--out FILE]

For each fleet size, `--starts` cold starts are drawn, each from its number, which counts from `--first`; two
revisions thus simulate the same ones. The simulation is in `corkdeal/experiment/slow_start.py`. `--out`
appends rows to a JSON file, with `--name` as their revision.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import random
import time
from typing import Any

from corkdeal.experiment.slow_start import SlowStartSimulation, Verdict, draw_cold_start


def summarize(verdicts: list[Verdict]) -> dict[str, Any]:
    """Returns counts over all cold starts, and mean shares over those that did not overload the backend."""

    def mean(shares: list[float]) -> float:
        return round(sum(shares) / max(1, len(shares)), 3)

    survived = [v for v in verdicts if not v.overloaded]
    return {
        "starts": len(verdicts),
        "broken": sum(v.broken for v in verdicts),
        "fell_by_untold": sum(v.overloaded and not v.broken for v in verdicts),
        "sent_of_allowed": mean([v.sent / v.allowed for v in survived]),
        "done_of_due": mean([min(1.0, v.done / v.expected_work) for v in survived]),
        "done_of_able": mean([v.done / v.capacity_work for v in survived]),
        "worst": round(max((v.peak_ratio for v in verdicts), default=0.0), 2),
    }


def main() -> None:
    """Runs the cold starts of each fleet size and prints a JSON line for each size."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--starts", type=int, default=2500)
    parser.add_argument("--first", type=int, default=0, help="number of the first cold start")
    parser.add_argument("--sizes", default="5,30,200,1100")
    parser.add_argument("--name", default="now")
    parser.add_argument("--out", type=pathlib.Path)
    args = parser.parse_args()
    rows, numbers = [], range(args.first, args.first + args.starts)
    for size in map(int, args.sizes.split(",")):
        cpu_before = time.process_time()
        verdicts = [
            SlowStartSimulation(draw_cold_start(size, random.Random(f"{size} {number}")), number).run()
            for number in numbers
        ]
        row = {"revision": args.name, "gateways": size, **summarize(verdicts)}
        row["cpu_s"] = round(time.process_time() - cpu_before)
        rows.append(row)
        print(json.dumps(row), flush=True)
    if args.out:
        earlier = json.loads(args.out.read_text()) if args.out.exists() else []
        args.out.write_text("[\n" + ",\n".join(json.dumps(row) for row in earlier + rows) + "\n]\n")


if __name__ == "__main__":
    main()
