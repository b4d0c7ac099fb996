"""Admission control: whether a request is within its customer's quota, and the reason if it is rejected.

A request beyond the quota is rejected at once, whatever backends could serve: a quota is what a customer is
promised and what its plan allows it.

For an account shared in a ring, a gateway admits requests against its own bucket and, as credit, against the
levels that its neighbours reported recently. The credit bridges the time until the exchange has moved the
share. The overrun is bounded, since at most two gateways spend the same level.

The members of an aggregated account all see one level. There a gateway admits each request with a
probability that falls with the level: at FULL_RATE_LEVEL of the burst, the members together admit the rate
of the plan out of the total demand.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable

from .accounts import Account
from .aggregation_tree import AggregationScheduler

PEER_STATE_LIFETIME = 2.5  # s for which a reported level of a neighbour is used as credit
FULL_RATE_LEVEL = 0.25  # fraction of the burst at which an aggregated account admits exactly its rate
MAX_RATE_FACTOR = 1.6  # times its rate; the most that an aggregated account admits
IN_FLIGHT_UTILIZATION = 0.3  # mean use of a concurrency limit; a higher mean exceeds the limit too often
MIN_RATE = 1e-6  # units/s, added to divisors


class RejectionReason(enum.StrEnum):
    """Why a request was not served; the values are parts of metric names."""

    QUOTA = "quota"  # beyond the quota
    NO_CAPACITY = "opening"  # beyond the plan's hard limit or the admission ramp after a start
    NO_BACKEND = "no_server"  # no usable backend
    LATE = "late"  # the wait would be too long for its caller, or for most; rejected early
    ATTEMPTS_FAILED = "tried"  # all attempts failed, and no further retry is permitted
    DEADLINE = "deadline"
    TOO_MANY_ACCOUNTS = "accounts"  # no room for one more customer's account


class Admission:
    """Admission control of one gateway."""

    def __init__(
        self,
        rng: random.Random,
        scheduler: AggregationScheduler,
        is_silent: Callable[[int, float], bool],
        attempt_time: Callable[[], float],
    ) -> None:
        """`is_silent(peer, now)` is for ring neighbours; `attempt_time()` is the usual latency, s."""
        self.rng = rng
        self.scheduler = scheduler
        self.is_silent = is_silent
        self.attempt_time = attempt_time

    def rate(self, account: Account) -> float:
        """Return the plan's rate in units/s; for a plan that limits only concurrency, in attempts/s."""
        plan = account.plan
        return plan.rate or IN_FLIGHT_UTILIZATION * plan.max_in_flight / self.attempt_time()

    def record_demand(self, customer: int, account: Account, units: float) -> None:
        """Count a request as demand, also if it will be rejected or is a client's retry."""
        account.add_demand(units)
        if account.is_aggregated:
            self.scheduler.mark_pending(customer, account)

    def is_within_quota(self, account: Account, units: float, share: float, now: float) -> bool:
        """Return whether the units fit into the quota, as far as this gateway knows."""
        if account.is_aggregated:
            return self._is_within_aggregated_quota(account, units)
        plan = account.plan
        credit = self._credit(account, now)
        if plan.rate and account.level < min(units, plan.burst * share) and account.level + credit < units:
            return False
        if not plan.max_in_flight:
            return True
        free = plan.max_in_flight * share - account.in_flight + (0 if plan.rate else credit)
        return free >= (1.0 if account.in_flight else 0.5)  # a whole slot would starve small shares

    def rejection_reason(
        self, account: Account, units: float, is_inside_quota: bool
    ) -> RejectionReason | None:
        """Return why the account's plan excludes a request, or None if it does not."""
        if not is_inside_quota:
            return RejectionReason.QUOTA
        if account.plan.hard_limit_rate and account.hard_limit_level < units:
            return RejectionReason.NO_CAPACITY
        return None

    def retry_after(self, account: Account, units: float, share: float) -> float:
        """Return the time in seconds until the bucket holds the units."""
        return (units - account.level) / (self.rate(account) * share + MIN_RATE)

    def _credit(self, account: Account, now: float) -> float:
        """Return the units, or free concurrency slots, that ring neighbours reported recently."""
        return sum(
            max(0.0, ledger.peer_level)
            for peer, ledger in account.ledgers.items()
            if now - ledger.peer_state_at < PEER_STATE_LIFETIME and not self.is_silent(peer, now)
        )

    def _is_within_aggregated_quota(self, account: Account, units: float) -> bool:
        plan = account.plan
        sampled_demand = self.rng.random() * account.demand
        if plan.rate:
            free = account.level - units
            fill = account.level / plan.burst
        else:
            free = plan.max_in_flight - account.in_flight - 1
            fill = FULL_RATE_LEVEL
        return free >= 0 and sampled_demand < self.rate(account) * min(
            MAX_RATE_FACTOR, fill / FULL_RATE_LEVEL
        )
