"""Admission ramps: limits on what a gateway sends in its first seconds after a stall or a start.

*After a stall* its usual rate r_i is known. What clients sent meanwhile is read in one turn. Each gateway
sends at most RATE_FACTOR times its own usual rate, and at most RATE_FACTOR x r_i x BURST_TIME at once, so in
any BURST_TIME all that resumed together send at most 2 x RATE_FACTOR x BURST_TIME x sum(r_i), and over longer
times RATE_FACTOR x sum(r_i).

*After a start* it is not known, so the attempts in flight are bounded: at first by the gateway's part of what
all backends surely take at once, SAFE_CONCURRENCY each, and MIN_IN_FLIGHT. Over G gateways and B backends
that is at most max(MIN_IN_FLIGHT x G, SAFE_CONCURRENCY x B) together, whatever share of them started. Each
successful answer raises the limit by one, so it doubles in the time of an answer, be that 1 ms or 0.2 s,
unless backends turn out to be full.

What exceeds the limit is rejected at once, with a Retry-After. A ramp ends with the readiness state `full`.
"""

from __future__ import annotations

RATE_FACTOR = 1.25  # of the usual rate
BURST_TIME = 0.25  # s
MIN_RATE = 4.0  # attempts a second; a gateway with next to no traffic overloads nobody
SAFE_CONCURRENCY = 2.0  # attempts that any backend takes at once, as for one that warms up
MIN_IN_FLIGHT = 4.0  # attempts
MAX_FAILURE_RATIO = 0.1  # failed attempts for each successful one, above which backends are full
RATE_TIME_CONSTANT = 5.0  # s over which the usual rate is averaged


class RateEstimator:
    """The average rate of attempts, from their running total."""

    def __init__(self) -> None:
        self.rate = 0.0  # attempts a second
        self.total = 0
        self.updated_at: float | None = None  # s

    def update(self, now: float, total: int) -> None:
        """So many attempts were started by now."""
        if self.updated_at is not None and now > self.updated_at:
            elapsed = now - self.updated_at
            weight = min(1.0, elapsed / RATE_TIME_CONSTANT)
            self.rate += weight * ((total - self.total) / elapsed - self.rate)
        self.updated_at = now
        self.total = total


class StallRamp:
    """After a stall: a token bucket on attempts, refilled a little faster than the usual rate."""

    def __init__(self, now: float, usual_rate: float) -> None:
        """`usual_rate` is in attempts a second."""
        self.rate = RATE_FACTOR * max(usual_rate, MIN_RATE)  # attempts a second
        self.capacity = max(1.0, self.rate * BURST_TIME)
        self.tokens = self.capacity
        self.refilled_at = now  # s

    def try_admit(self, now: float, in_flight: int) -> bool:
        """Whether one more attempt may start now; if so it takes a token."""
        self.tokens = min(self.capacity, self.tokens + self.rate * (now - self.refilled_at))
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def record_outcome(self, is_success: bool) -> None:
        """An attempt ended; that does not change the usual rate."""


class StartRamp:
    """After a start: a limit on attempts in flight, which successful answers raise."""

    def __init__(self, backends: int, gateways: int) -> None:
        """`gateways` is the tier's size."""
        self.limit = max(MIN_IN_FLIGHT, SAFE_CONCURRENCY * backends / max(1, gateways))
        self.successes = 0
        self.failures = 0

    def try_admit(self, now: float, in_flight: int) -> bool:
        """Whether one more attempt may start while so many are in flight."""
        return in_flight < self.limit

    def record_outcome(self, is_success: bool) -> None:
        """An attempt ended; a success raises the limit by one while failures are few."""
        if not is_success:
            self.failures += 1
            return
        self.successes += 1
        if self.failures <= MAX_FAILURE_RATIO * self.successes + 1:
            self.limit += 1.0
