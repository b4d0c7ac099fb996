"""Admission: whether a request is within its customer's quota, and why one is rejected if it is not.

In a ring, a gateway admits what its bucket has units for, and what its neighbours' buckets have as far as
they told lately: until the exchange has moved the share, that credit stands in for it. What it can cost is
bounded by what two gateways take from one level.

An aggregated account has one level for all members, so each of them sees the same level. A gateway admits at
random there, and the lower the level the less: as much as is asked in all, at the rate of the plan when the
level is AMPLE_LEVEL of the burst.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable

from .accounts import Account
from .aggregation_tree import AggregationScheduler

PEER_STATE_LIFETIME = 2.5  # s that a neighbour's level counts after it was told
AMPLE_LEVEL = 0.25  # of the burst, at which an aggregated account admits its rate
MAX_OVER_RATE = 1.6  # times its rate that an aggregated account admits at most
IN_FLIGHT_UTILIZATION = 0.3  # of a limit on attempts; a higher mean passes the limit too often
MIN_RATE = 1e-6  # units a second, added where a wait is divided by a rate


class RejectionReason(enum.StrEnum):
    """Why a request was not served; the values are names of metrics."""

    QUOTA = "quota"  # beyond the quota, and worth less there than it costs
    NO_ROOM = "opening"  # beyond the plan's hard limit, or that of the first seconds after a start
    NO_BACKEND = "no_server"  # that may be used
    LATE = "late"  # expected too late, so rejected early
    ATTEMPTS_FAILED = "tried"  # and no retry is permitted
    DEADLINE = "deadline"


class Admission:
    """Decides on requests of one gateway by their accounts."""

    def __init__(
        self,
        chance: random.Random,
        scheduler: AggregationScheduler,
        is_silent: Callable[[int, float], bool],
        attempt_time: Callable[[], float],
    ) -> None:
        """`is_silent` is asked of ring neighbours; `attempt_time` is what an attempt usually takes, s."""
        self.random = chance
        self.scheduler = scheduler
        self.is_silent = is_silent
        self.attempt_time = attempt_time

    def rate(self, account: Account) -> float:
        """Units a second of the account's plan; of one that limits attempts alone, attempts a second."""
        plan = account.plan
        return plan.rate or IN_FLIGHT_UTILIZATION * plan.max_in_flight / self.attempt_time()

    def record_demand(self, customer: int, account: Account, units: float, is_retry: bool) -> None:
        """Count what a client asks; in a ring a rejected client's retry is no new demand."""
        if account.is_aggregated:
            account.add_demand(units)
            self.scheduler.mark_pending(customer, account)
        elif not is_retry:
            account.add_demand(units)

    def is_within_quota(self, account: Account, units: float, share: float, now: float) -> bool:
        """Whether the quota has room for the units, as far as this gateway knows."""
        if account.is_aggregated:
            return self._is_within_aggregated_quota(account, units)
        plan = account.plan
        credit = self._credit(account, now)
        if plan.rate and account.level < min(units, plan.burst * share) and account.level + credit < units:
            return False
        if not plan.max_in_flight:
            return True
        free = plan.max_in_flight * share - account.in_flight + (0 if plan.rate else credit)
        return free >= (1.0 if account.in_flight else 0.5)  # whole places would starve small shares

    def rejection_reason(
        self, account: Account, units: float, is_inside_quota: bool
    ) -> RejectionReason | None:
        """Why the account's plan rules a request out, or None."""
        if not is_inside_quota and not may_exceed_quota(account):
            return RejectionReason.QUOTA
        if account.plan.hard_limit_rate and account.hard_limit_level < units:
            return RejectionReason.NO_ROOM
        return None

    def retry_after(self, account: Account, units: float, share: float) -> float:
        """Seconds until the bucket has the units."""
        return (units - account.level) / (self.rate(account) * share + MIN_RATE)

    def _credit(self, account: Account, now: float) -> float:
        """Units, or free places, of ring neighbours that told of them lately."""
        return sum(
            max(0.0, ledger.peer_level)
            for peer, ledger in account.ledgers.items()
            if now - ledger.peer_state_at < PEER_STATE_LIFETIME and not self.is_silent(peer, now)
        )

    def _is_within_aggregated_quota(self, account: Account, units: float) -> bool:
        plan = account.plan
        drawn = self.random.random() * account.demand
        if plan.rate:
            room = account.level - units
            fill = account.level / plan.burst
        else:
            room = plan.max_in_flight - account.in_flight - 1
            fill = AMPLE_LEVEL
        return room >= 0 and drawn < self.rate(account) * min(MAX_OVER_RATE, fill / AMPLE_LEVEL)


def may_exceed_quota(account: Account) -> bool:
    """Whether requests beyond the quota are worth more than they cost."""
    return account.plan.over_quota_weight > account.plan.over_quota_cost
