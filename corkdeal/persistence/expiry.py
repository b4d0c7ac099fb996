"""How far a record of some age still counts: pure functions of a record and its age, in seconds.

Each kind has a half-life, by which its distance from an unknown record halves, and a horizon, from which on
it counts for nothing. A record never makes a server look better than it did when recorded, nor better than an
unknown one: every figure moves from the recorded one towards the unknown one and not past it.

| kind | half-life | horizon | why |
| --- | --- | --- | --- |
| a server's slowness | 20 s | 120 s | slow spells last 14 to 32 s |
| failures, ejections, shut-outs | 15 s | 90 s | a trial costs one request; a zone outage lasts 5 to 17 s |
| usual latency by class and size | 1 h | 1 day | it changes with the content, not with the minute |
| pace | 1 h | 1 day | a property of the servers' machines |
| the fleet's slowness | 5 s | 30 s | shared faults last 3 to 14 s |
| retry budget | 10 s | 60 s | it refills by itself |
| ledgers with peers | none | 30 s | peers resume them, or they don't |
| an account | by its own refill | 1 h | a bucket that is full again needs no record |
"""

from __future__ import annotations

import math
from typing import NamedTuple

from ..decisions.persisted_state import StoredAccount, StoredBackend


class ExpiryRule(NamedTuple):
    """How one kind of record loses its weight."""

    half_life: float  # seconds
    horizon: float  # seconds

    def weight(self, age: float) -> float:
        """Return 1 at no age, half at the half-life, 0 from the horizon on and for an age that is NaN."""
        is_within_horizon = age < self.horizon
        if not is_within_horizon:
            return 0.0
        return math.pow(0.5, max(0.0, age) / self.half_life)


SERVER_SLOWNESS = ExpiryRule(20.0, 120.0)
SERVER_FAILURES = ExpiryRule(15.0, 90.0)
USUAL_LATENCY = ExpiryRule(3600.0, 86400.0)
FLEET_SLOWNESS = ExpiryRule(5.0, 30.0)
RETRY_BUDGET = ExpiryRule(10.0, 60.0)
LEDGER_HORIZON = 30.0  # seconds; see also restore.ROUND_LEAP
ACCOUNT_HORIZON = 3600.0  # seconds
DEMAND_TIME_CONSTANT = 2.0  # seconds, as the decisions average demand
MIN_FAILURES = 0.5  # a weighted run of failures below this counts as none


def interpolate(recorded: float, unknown: float, weight: float) -> float:
    """Return the recorded figure at its weight, the unknown one for the rest; never outside the two."""
    low = min(recorded, unknown)
    high = max(recorded, unknown)
    between = unknown + (recorded - unknown) * weight  # rounding could pass either end
    return min(high, max(low, between))


def expire_server(record: StoredBackend, age: float) -> StoredBackend | None:
    """Return a server's record as it counts at that age; None where nothing of it does.

    An ejection stays only as the need of a trial, its length weighted; it is never a verdict.
    """
    slowness_weight = SERVER_SLOWNESS.weight(age)
    failure_weight = SERVER_FAILURES.weight(age)
    if not slowness_weight and not failure_weight:
        return None
    failures = record.failures * failure_weight
    shut = [
        shut_out._replace(
            duration=shut_out.duration * failure_weight, remaining=max(0.0, shut_out.remaining - age)
        )
        for shut_out in record.rejections
        if failure_weight
    ]
    return record._replace(
        slowness=interpolate(record.slowness, 1.0, slowness_weight),
        failures=math.ceil(failures) if failures >= MIN_FAILURES else 0,
        is_ejected=record.is_ejected and failure_weight > 0,
        ejection_time=record.ejection_time * failure_weight,
        rejections=tuple(shut),
    )


def unrecorded_spending(
    record: StoredAccount, rate: float, share: float, quiet: float, unseen: float
) -> float:
    """Return the units assumed spent between the last write and the process's end.

    The demand at the write continues for `unseen` seconds, the longest that no write may have seen. It is
    bounded by what the bucket held and gained meanwhile, `rate` times `share` a second, so an account starts
    empty at the worst and never in debt that it did not have. `quiet` is how many seconds before the write
    the record was made: nothing was asked in between, or it would be newer.
    """
    demand = record.demand * math.exp(-max(0.0, quiet) / DEMAND_TIME_CONSTANT)
    available = max(0.0, record.level) + rate * share * unseen
    return min(available, max(0.0, demand) * unseen)
