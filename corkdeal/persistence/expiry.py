"""Expires persisted state: pure functions of a record and its age in seconds.

With age each value of a record moves from the recorded one towards that of an unknown backend or fleet, and
never past it. Each kind of record has a half-life, in which the distance to the unknown value halves, and a
horizon, from which on the record is ignored. A backend therefore never looks better than both its record and
an unknown backend.

| kind | half-life | horizon | why |
| --- | --- | --- | --- |
| latency ratio of a backend | 20 s | 120 s | slow phases last 14 to 32 s |
| failures, ejections, class rejections | 15 s | 90 s | a trial costs a request; zone outages last 5 to 17 s |
| usual latency by class and size | 1 h | 1 day | it depends on the content, which changes slowly |
| pace | 1 h | 1 day | a property of the backends' machines |
| latency ratio of the fleet | 5 s | 30 s | faults common to all backends last 3 to 14 s |
| retry budget | 10 s | 60 s | it refills by itself |
| ledgers with peers | none | 30 s | a ledger is resumed whole or not at all |
| an account | by its refill | 1 h | a bucket that has refilled needs no record |
"""

from __future__ import annotations

import math
from typing import NamedTuple

from ..decisions.persisted_state import StoredAccount, StoredBackend


class ExpiryRule(NamedTuple):
    """The half-life and the horizon of one kind of record."""

    half_life: float  # seconds
    horizon: float  # seconds

    def weight(self, age: float) -> float:
        """Return 1 at age 0, 0.5 at the half-life, and 0 from the horizon on and for an age of NaN."""
        is_within_horizon = age < self.horizon
        if not is_within_horizon:
            return 0.0
        return math.pow(0.5, max(0.0, age) / self.half_life)


BACKEND_LATENCY_RATIO = ExpiryRule(20.0, 120.0)
BACKEND_FAILURES = ExpiryRule(15.0, 90.0)
USUAL_LATENCY = ExpiryRule(3600.0, 86400.0)
FLEET_LATENCY_RATIO = ExpiryRule(5.0, 30.0)
RETRY_BUDGET = ExpiryRule(10.0, 60.0)
LEDGER_HORIZON = 30.0  # seconds; see also restore.ROUND_LEAP
ACCOUNT_HORIZON = 3600.0  # seconds
DEMAND_TIME_CONSTANT = 2.0  # seconds; the decisions average demand with the same one
MIN_FAILURES = 0.5  # a weighted number of failures below this becomes 0


def interpolate(recorded: float, unknown: float, weight: float) -> float:
    """Return the average of both values, the recorded one at `weight`; it lies between the two."""
    low = min(recorded, unknown)
    high = max(recorded, unknown)
    between = unknown + (recorded - unknown) * weight  # rounding errors may exceed either bound
    return min(high, max(low, between))


def expire_backend(record: StoredBackend, age: float) -> StoredBackend | None:
    """Return a backend's record, weighted by age; None where nothing of it has weight.

    An ejected backend remains due for a trial, with its ejection time weighted; no record alone keeps it out.
    """
    latency_ratio_weight = BACKEND_LATENCY_RATIO.weight(age)
    failure_weight = BACKEND_FAILURES.weight(age)
    if not latency_ratio_weight and not failure_weight:
        return None
    failures = record.failures * failure_weight
    rejections = [
        rejection._replace(
            duration=rejection.duration * failure_weight, remaining=max(0.0, rejection.remaining - age)
        )
        for rejection in record.rejections
        if failure_weight
    ]
    return record._replace(
        latency_ratio=interpolate(record.latency_ratio, 1.0, latency_ratio_weight),
        failures=math.ceil(failures) if failures >= MIN_FAILURES else 0,
        is_ejected=record.is_ejected and failure_weight > 0,
        ejection_time=record.ejection_time * failure_weight,
        rejections=tuple(rejections),
    )


def unrecorded_spending(
    record: StoredAccount, rate: float, share: float, idle_time: float, unrecorded_time: float
) -> float:
    """Return an estimate of the units spent between the last write and the end of the process.

    The demand at the write is assumed to continue for `unrecorded_time` seconds, the longest time that the
    last snapshot may not cover. The estimate is bounded by what the bucket held and gained in that time,
    `rate` times `share` a second, so an account starts empty at worst, and in debt only if it was in debt
    before. `idle_time` is how many seconds before the write the record was made; no request came in
    between, or the record would be newer.
    """
    demand = record.demand * math.exp(-max(0.0, idle_time) / DEMAND_TIME_CONSTANT)
    available = max(0.0, record.level) + rate * share * unrecorded_time
    return min(available, max(0.0, demand) * unrecorded_time)
