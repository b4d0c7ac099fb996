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
from corkdeal.experiment.members import World

PAIRS, REQUESTS = 30, 3000


def cost(world: World) -> float:
    """Returns one gateway's CPU seconds for REQUESTS requests, right after its leases are renewed."""
    world.run(1.0)
    one = world.up[0]
    began = time.process_time()
    for _ in range(REQUESTS):
        world.number += 1
        actions = one.handle(world.now, [Request(world.number, 7, 0, 0, 0.001, 0, 3, 3.0)])
        for a in actions:
            if isinstance(a, StartAttempt):
                one.handle(world.now, [AttemptEnded(a.id, 0, a.backend, Status.OK, 0.1, True)])
    return time.process_time() - began


def world(with_members: bool) -> World:
    """Returns three gateways that share one ring, with membership on or off."""
    made = World(3, 3, 1)
    for g in made.up.values():
        g.membership = g.membership if with_members else None
    for me in made.up:
        made.ask(me, 0)
    made.run(5.0)
    return made


def main() -> None:
    """Runs the pairs in alternating order."""
    asked = argparse.ArgumentParser(description=__doc__)
    asked.add_argument("--out")
    given = asked.parse_args()
    on, off = world(True), world(False)
    ratios = []
    for pair in range(PAIRS):
        first, second = (on, off) if pair % 2 else (off, on)
        spent = {id(first): cost(first), id(second): cost(second)}
        ratios.append(spent[id(on)] / spent[id(off)])
    low, _, high = statistics.quantiles(ratios, n=4)
    seen = {
        "pairs": PAIRS,
        "requests": REQUESTS,
        "on_to_off": round(statistics.median(ratios), 3),
        "quartiles": [round(low, 3), round(high, 3)],
    }
    if given.out:
        pathlib.Path(given.out).write_text(json.dumps(seen, indent=1) + "\n")
    print(json.dumps(seen))


if __name__ == "__main__":
    main()
