"""Turns the decisions' state into a document, a few accounts a turn, so that no turn of the reactor waits.

Records carry their own times, so they need not all be of one moment. Only accounts that moved since the last
document are packed anew; the others' bytes are kept.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from itertools import islice
from typing import Any

from .. import memory
from ..memory import FleetMemory, ServerMemory
from .clock import Reading
from .document import Head, entry, pack_account, page
from .recall import Recall

BATCH = 128  # accounts looked at between two looks at the clock
TURN = 0.001  # s that one step may take before it yields
PAGE = 5000  # accounts in a page


class Collector:
    """Makes documents of one gateway's decisions."""

    def __init__(self, decisions: Any, name: str, program: str, recall: Recall | None = None) -> None:
        self.decisions, self.name, self.program, self.recall = decisions, name, program, recall
        self.packed: dict[int, bytes] = {}
        self.marks: dict[int, float] = {}
        self.unclaimed: dict[int, bytes] | None = None
        # entries of accounts that nobody had asked for when this document was begun
        self.rest: list[bytes] = []

    def steps(self, now: Callable[[], float], clock: Callable[[], Reading], tick: Callable[[], float],
              ) -> Iterator[None]:
        """Bring the packed accounts up to date; yields whenever `tick` says that `TURN` has passed."""
        # Taken first and written first: one that is asked for meanwhile may stand twice, and the later
        # counts.
        self.rest = list(self.left_over(now(), clock()).values())
        accounts, packed, marks = self.decisions.accounts, self.packed, self.marks
        keys, began = iter(list(accounts)), tick()
        shift = clock().boot - now()
        while batch := list(islice(keys, BATCH)):
            for key in batch:
                a = accounts.get(key)
                if a is not None and (a.open or marks.get(key) != memory.moved_at(a)):
                    packed[key] = entry(key, pack_account(memory.account_of(a, shift)))
                    # What is open will end, which moves nothing else: it is packed once more after that.
                    marks[key] = math.nan if a.open else memory.moved_at(a)
            if tick() - began > TURN:
                yield
                began, shift = tick(), clock().boot - now()
        yield
        for key in marks.keys() - accounts.keys() if len(marks) > len(accounts) else ():
            del marks[key], packed[key]

    def left_over(self, now: float, clock: Reading) -> dict[int, bytes]:
        """Accounts of the earlier life that nobody has asked for yet."""
        if self.recall is None:
            return {}
        then = self.recall.head.clock
        if self.unclaimed is None:
            same = bool(clock.boot_id) and clock.boot_id == then.boot_id and self.recall.age < math.inf
            self.unclaimed = self.recall.unclaimed(now, same, clock.boot)
        else:
            for key in self.unclaimed.keys() - self.recall.raw.keys():
                del self.unclaimed[key]
        if not self.recall.raw:
            self.recall = None
        return self.unclaimed

    def pages(self) -> Iterator[bytes]:
        """The accounts' pages, one a step."""
        for entries in (self.rest, list(self.packed.values())):
            rest = iter(entries)
            while batch := list(islice(rest, PAGE)):
                yield page(batch, len(batch))

    def head(self, now: float, clock: Reading, every: float, clean: bool,
             addresses: dict[str, str]) -> Head:
        """All but the accounts, as it stands."""
        d, shift = self.decisions, clock.boot - now
        servers: list[ServerMemory] = []
        for s in d.servers.values():
            made = memory.server_of(s, d.s.classes, now, shift)
            servers.append(made._replace(address=addresses.get(made.server, "")))
        fleet: FleetMemory = d.learned()
        fleet = fleet._replace(work=tuple([w._replace(at=clock.boot) for w in fleet.work]))
        return Head(self.name, self.program, clock, every, clean, fleet, tuple(servers))
