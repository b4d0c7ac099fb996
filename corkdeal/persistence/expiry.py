"""What a record of some age still says: pure functions of a record and its age, in seconds.

Each kind has a half-life, by which its distance from "nothing known" halves, and a horizon, past which it
says nothing. A record never makes a server look better than the record did, nor than an unknown one beyond
it: every figure moves from the recorded one towards the unknown one and not past it.

| kind | half-life | horizon | why |
| --- | --- | --- | --- |
| a server's slowness | 20 s | 120 s | slow spells last 14 to 32 s |
| failures, ejections, shut-outs | 15 s | 90 s | a trial costs one request; a hall is away 5 to 17 s |
| usual work by class and size | 1 h | 1 day | it changes with the puzzles, not with the minute |
| pace | 1 h | 1 day | a property of the servers' machines |
| the fleet's slowness | 5 s | 30 s | shared troubles last 3 to 14 s |
| saved-up retries | 10 s | 60 s | they fill again by themselves |
| ledgers with peers | none | 30 s | peers go on with them, or they don't |
| an account | by its own refill | 1 h | a bucket that is full again needs no record |
"""

from __future__ import annotations

import math
from typing import NamedTuple

from ..decisions.persisted_state import AccountMemory, ServerMemory


class ExpiryRule(NamedTuple):
    """How one kind of knowledge fades."""

    half_life: float  # s
    horizon: float  # s

    def weight(self, age: float) -> float:
        """1 at no age, half at the half-life, 0 from the horizon on and for an age that is no number."""
        if not age < self.horizon:
            return 0.0
        return 0.5 ** (max(0.0, age) / self.half_life)


SERVER_SLOWNESS = ExpiryRule(20.0, 120.0)
SERVER_FAILURES = ExpiryRule(15.0, 90.0)
USUAL_LATENCY = ExpiryRule(3600.0, 86400.0)
FLEET_SLOWNESS = ExpiryRule(5.0, 30.0)
RETRY_BUDGET = ExpiryRule(10.0, 60.0)
LEDGER_HORIZON = 30.0  # s; also how far the round number is moved on, see recall.ROUND_LEAP
ACCOUNT_HORIZON = 3600.0  # s
DEMAND_TIME_CONSTANT = 2.0  # s, as the decisions average demand
MIN_FAILURES = 0.5  # a faded run of failures below this is none


def interpolate(recorded: float, unknown: float, weight: float) -> float:
    """The recorded figure as far as it still counts, for the rest the unknown one; never outside the two."""
    low, high = min(recorded, unknown), max(recorded, unknown)  # rounding could pass them
    return min(high, max(low, unknown + (recorded - unknown) * weight))


def expire_server(record: ServerMemory, age: float) -> ServerMemory | None:
    """A server's record after that time; None where nothing is left of it.

    An ejection stays one only as the need of a trial, with its length faded; it is never a verdict.
    """
    slowness, failing = SERVER_SLOWNESS.weight(age), SERVER_FAILURES.weight(age)
    if not slowness and not failing:
        return None
    failures = record.failures * failing
    shut = [s._replace(wait=s.wait * failing, left=max(0.0, s.left - age)) for s in record.shut if failing]
    return record._replace(
        slow=interpolate(record.slow, 1.0, slowness),
        failures=math.ceil(failures) if failures >= MIN_FAILURES else 0,
        ejected=record.ejected and failing > 0,
        out_for=record.out_for * failing,
        shut=tuple(shut),
    )


def unrecorded_spending(
    record: AccountMemory, rate: float, share: float, quiet: float, unseen: float
) -> float:
    """Units assumed spent between the last write and the death, `unseen` seconds at the most.

    The demand at the write goes on for that long. It is bounded by what the bucket held then and gained in
    the meantime, so an account begins at empty at the worst and never in debt that it did not have. `quiet`
    is how long before the write the record was made: nothing was asked in between, or it would be newer.
    """
    demand = record.demand * math.exp(-max(0.0, quiet) / DEMAND_TIME_CONSTANT)
    held = max(0.0, record.level) + rate * share * unseen
    return min(held, max(0.0, demand) * unseen)
