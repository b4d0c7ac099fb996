"""Divides a gateway's limits on memory and descriptors between its processes during an upgrade; no I/O.

The rules count all processes of a gateway as one. Each process claims what it may come to use, and counts on
nothing that another one has claimed. An older process lowers its claim for those that have started after it:
by the least that a process needs while that loads its program, then to equal parts. It takes back what a
process had that has ended. A draining process claims no more than its open requests need, so that its
successor grows as it shrinks. What an older process can't give up at once, such as open connections, stays in
its claim until it is free.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ..persistence.claim_table import Claim
from .budget import (
    HELD_FRACTION,
    IDLE_MEMORY,
    MEMORY_RESERVE,
    MIN_SHARED_BUDGET,
    budget_for,
)
from .descriptors import RESERVED

MIN_CONNECTIONS = 8  # of clients and backends, that a process may open whatever the others hold
LEAST_MEMORY = int(MIN_SHARED_BUDGET / HELD_FRACTION)  # bytes beyond `IDLE_MEMORY` for the smallest budget
# Limits of a gateway from which on two processes keep within them.
MIN_MEMORY_FOR_UPGRADE = MEMORY_RESERVE + 2 * (IDLE_MEMORY + LEAST_MEMORY)  # bytes
MIN_DESCRIPTORS_FOR_UPGRADE = 2 * (RESERVED + MIN_CONNECTIONS)


@dataclass(frozen=True, slots=True)
class GatewayLimits:
    """The limits that all processes of a gateway share."""

    memory: int  # bytes
    descriptors: int


@dataclass(frozen=True, slots=True)
class Usage:
    """What this process uses now, in bytes and descriptors."""

    anonymous_memory: int
    held_by_names_and_connections: int  # part of the budget that no request frees
    committed: int  # part of the budget that is held, or will be by commands that are being received
    connections: int


@dataclass(frozen=True, slots=True)
class Allowance:
    """What this process may use."""

    budget: int  # bytes
    connections: int


@dataclass(frozen=True, slots=True)
class OtherProcesses:
    """The claims of the other processes that run. One that states none counts as claiming everything."""

    older: Sequence[Claim] = ()
    younger: Sequence[Claim] = ()

    def __bool__(self) -> bool:
        """Whether there are any."""
        return bool(self.older or self.younger)


def whole_claim(limits: GatewayLimits) -> Claim:
    """Return the claim of a process that uses all of the limits."""
    return Claim(True, max(limits.memory - MEMORY_RESERVE, 0), limits.descriptors)


def first_claim() -> Claim:
    """Return the claim of a process that is loading its program."""
    return Claim(False, IDLE_MEMORY + LEAST_MEMORY, RESERVED + MIN_CONNECTIONS)


def fits(limits: GatewayLimits, claims: Sequence[Claim]) -> bool:
    """Return whether these claims are within the limits together."""
    memory = MEMORY_RESERVE + sum(claim.memory for claim in claims)
    return memory <= limits.memory and sum(claim.descriptors for claim in claims) <= limits.descriptors


def allow(
    limits: GatewayLimits, usage: Usage, others: OtherProcesses, previous: Allowance, is_draining: bool
) -> Allowance:
    """Return what this process may use beside the others; `previous` is what it was allowed before."""
    if not others:
        return Allowance(budget_for(limits.memory), limits.descriptors - RESERVED)
    started_count = sum(claim.is_started for claim in others.younger)
    starting_count = len(others.younger) - started_count
    memory = _part(
        limits.memory - MEMORY_RESERVE - IDLE_MEMORY,
        [claim.memory for claim in others.older],
        [claim.memory for claim in others.younger],
        starting_count * (IDLE_MEMORY + LEAST_MEMORY) + started_count * IDLE_MEMORY,
        1 + started_count,
    )
    connections = _part(
        limits.descriptors - RESERVED,
        [claim.descriptors for claim in others.older],
        [claim.descriptors for claim in others.younger],
        starting_count * (RESERVED + MIN_CONNECTIONS) + started_count * RESERVED,
        1 + started_count,
    )
    least_budget = MIN_SHARED_BUDGET + usage.held_by_names_and_connections
    budget = min(int(memory * HELD_FRACTION), budget_for(limits.memory))
    if is_draining and started_count:
        budget = min(budget, previous.budget, usage.committed + MIN_SHARED_BUDGET)
        connections = min(connections, previous.connections, usage.connections)
    return Allowance(max(budget, least_budget), max(connections, MIN_CONNECTIONS))


def _part(free: int, older: list[int], younger: list[int], needed: int, part_count: int) -> int:
    """Return this process's part of what is free.

    `needed` is what the younger processes need before it is divided into `part_count` parts. Without younger
    ones, a process gets all that the others leave.
    """
    left = free - sum(older) - sum(younger)
    if not younger:
        return left
    # A younger process keeps what it has taken beyond its part until it has ended.
    return min((free - sum(older) - needed) // part_count, max(left, 0))


def claim_of(allowance: Allowance, usage: Usage) -> Claim:
    """Return the claim of a started process: what it may use, or what it still uses if that is more."""
    memory = IDLE_MEMORY + int(allowance.budget / HELD_FRACTION)
    connections = max(allowance.connections, usage.connections)
    return Claim(True, max(memory, usage.anonymous_memory), RESERVED + connections)
