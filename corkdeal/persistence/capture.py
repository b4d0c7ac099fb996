"""Turns the decisions' state into a document, a few accounts a turn, so that no turn of the reactor waits.

Records carry their own times, so they need not all be of one moment. Only accounts that were met since the
last document, or had attempts out then, are packed anew; the others' bytes are kept.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from itertools import islice
from typing import Any

from ..decisions import persisted_state
from ..decisions.persisted_state import FleetMemory, ServerMemory
from .clock import Reading
from .document import Head, entry, pack_account, page
from .restore import Recall

BATCH = 32  # accounts packed between two looks at the clock
TURN = 0.0007  # s that one step may take before it yields
PAGE = 1000  # accounts in a page


class Collector:
    """Makes documents of one gateway's decisions."""

    def __init__(self, decisions: Any, name: str, program: str, recall: Recall | None = None) -> None:
        self.decisions, self.name, self.program, self.recall = decisions, name, program, recall
        decisions.changed_customers = None  # the first document holds all accounts
        self.packed: dict[int, bytes] = {}
        self.open: set[int] = set()  # accounts packed while attempts of theirs were out
        self.unclaimed: dict[int, bytes] | None = None
        # entries of accounts that nobody had asked for when this document was begun
        self.rest: list[bytes] = []

    def steps(
        self,
        now: Callable[[], float],
        clock: Callable[[], Reading],
        tick: Callable[[], float],
    ) -> Iterator[None]:
        """Bring the packed accounts up to date; yields whenever `tick` says that `TURN` has passed."""
        # Taken first and written first: one that is asked for meanwhile may stand twice, and the later
        # counts.
        self.rest = list(self.left_over(now(), clock()).values())
        d, packed, began = self.decisions, self.packed, tick()
        keys = iter(list(d.accounts if d.changed_customers is None else d.changed_customers | self.open))
        d.changed_customers, self.open, shift = set(), set(), clock().boot - now()
        while batch := list(islice(keys, BATCH)):
            for key in batch:
                a = d.accounts.get(key)
                if a is not None:
                    packed[key] = entry(
                        key, pack_account(persisted_state.account_of(a, shift, d.peer_incarnations))
                    )
                    if a.in_flight:  # will end, of which nothing else tells
                        self.open.add(key)
            if tick() - began > TURN:
                yield
                began, shift = tick(), clock().boot - now()
        yield
        for key in packed.keys() - d.accounts.keys() if len(packed) > len(d.accounts) else ():
            del packed[key]

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
        if not self.recall.raw and not self.recall.servers:
            self.recall = None
        return self.unclaimed

    def pages(self) -> Iterator[bytes]:
        """The accounts' pages, one a step."""
        for entries in (self.rest, list(self.packed.values())):
            rest = iter(entries)
            while batch := list(islice(rest, PAGE)):
                yield page(batch, len(batch))

    def head(self, now: float, clock: Reading, every: float, clean: bool, addresses: dict[str, str]) -> Head:
        """All but the accounts, as it stands."""
        d, shift = self.decisions, clock.boot - now
        servers: list[ServerMemory] = []
        for s in d.backends.records.values():
            made = persisted_state.server_of(s, d.settings.classes, now, shift)
            servers.append(made._replace(address=addresses.get(made.server, "")))
        if self.recall is not None:
            servers += self.recall.unlisted(now, clock.boot)
        fleet: FleetMemory = d.learned()
        fleet = fleet._replace(work=tuple([w._replace(at=clock.boot) for w in fleet.work]))
        return Head(self.name, self.program, clock, every, clean, fleet, tuple(servers))
