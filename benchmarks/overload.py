"""Plays loads on a service in virtual time and prints who was answered in the callers' time.

PYTHONPATH=. python -O benchmarks/overload.py [--seeds N] [--first N]

Each load is played with the same calls and work for every revision (`corkdeal/experiment/overload.py`).
"""

from __future__ import annotations

import argparse
import dataclasses
import itertools
import json
import random

from corkdeal.decisions.settings import DeduplicationScope, Effect, Plan, RequestClass, Settings
from corkdeal.experiment.overload import BackendModel, LoadPhase, Play, Summary, draw_calls

CLASSES = (
    RequestClass(latency_objective=1.5, deadline=4.0, name="read"),
    RequestClass(
        latency_objective=2.0,
        deadline=5.0,
        name="write",
        effect=Effect.IDEMPOTENCY_KEY,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window=10.0,
    ),
)
WORK = (0.16, 0.27)  # s
# speeds; a service does about 5 * 2 * 0.86 / 0.215 = 40 requests a second
SPEEDS = (1.0, 1.0, 1.0, 1.0, 0.3)
CORES = 2
LOADS = {
    "burst": (LoadPhase(15.0, 24.0), LoadPhase(8.0, 80.0), LoadPhase(17.0, 24.0)),
    "lasting": (LoadPhase(5.0, 24.0), LoadPhase(60.0, 56.0)),
    "heavy": (LoadPhase(5.0, 24.0), LoadPhase(40.0, 120.0)),
    "usual": (LoadPhase(40.0, 26.0),),
}
UNLIMITED = Plan(rate=1e6, burst=1e6)


def make_settings(index: int, gateways: int) -> Settings:
    """Return the settings of one gateway."""
    return Settings(
        gateway_index=index,
        gateway_count=gateways,
        classes=CLASSES,
        plans=(UNLIMITED,),
        max_attempts=4,
        may_cancel=True,
        may_send_retry_after=True,
        max_retry_after=1.0,
    )


def play(load: str, gateways: int, seed: int, repeat_delay: float | None) -> Summary:
    """Play one load once."""
    settings = [make_settings(index, gateways) for index in range(gateways)]
    rng = random.Random(seed)
    backends = [BackendModel(f"b{n}", CORES, speed) for n, speed in enumerate(SPEEDS)]
    calls = draw_calls(rng, settings[0], LOADS[load], WORK)
    service = Play(settings, backends, calls, seed, repeat_delay)
    service.run()
    return service.summary()


def mean_summary(load: str, gateways: int, seeds: range, repeat_delay: float | None) -> dict[str, float]:
    """Return the mean of each figure over the seeds."""
    rows = [dataclasses.asdict(play(load, gateways, seed, repeat_delay)) for seed in seeds]
    return {key: round(sum(row[key] for row in rows) / len(rows), 3) for key in rows[0]}


def main() -> None:
    """Play each load and print a JSON line of means over the seeds."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    args = parser.parse_args()
    seeds = range(args.first, args.first + args.seeds)
    for gateways, load, repeat_delay in itertools.product((1, 3), LOADS, (None, 0.2)):
        means = mean_summary(load, gateways, seeds, repeat_delay)
        print(json.dumps({"gateways": gateways, "load": load, "repeats": repeat_delay, **means}), flush=True)


if __name__ == "__main__":
    main()
