"""Admission ramps: limits on the attempts that a gateway starts in the seconds after a stall or a start.

*After a stall* the gateway's average rate r_i is known, and what clients sent during the stall is read in one
event-loop iteration. Each gateway sends at most RATE_FACTOR times its own average rate, and at most
RATE_FACTOR x r_i x BURST_TIME at once. So in any BURST_TIME all gateways that resumed together send at most
2 x RATE_FACTOR x BURST_TIME x sum(r_i), and over longer times RATE_FACTOR x sum(r_i).

*After a start* the rate is unknown, so the attempts in flight are limited: at first to the gateway's part of
what all backends can certainly handle at once, SAFE_CONCURRENCY each, but no less than MIN_IN_FLIGHT. Over G
gateways and B backends that is at most max(MIN_IN_FLIGHT x G, SAFE_CONCURRENCY x B), whatever fraction of the
gateways started. Each successful reply raises the limit by one, so unless backends turn out to be overloaded
it doubles with each round trip, whether that takes 1 ms or 0.2 s.

Requests beyond the limit are rejected immediately with a Retry-After. A ramp is removed when the readiness
state becomes `full`.
"""

from __future__ import annotations

RATE_FACTOR = 1.25  # of the average rate
BURST_TIME = 0.25  # s
MIN_RATE = 4.0  # attempts per second; a gateway with almost no traffic cannot overload a backend
SAFE_CONCURRENCY = 2.0  # concurrent attempts that any backend can handle, as for one in slow start
MIN_IN_FLIGHT = 4.0  # attempts
MAX_FAILURE_RATIO = 0.1  # failed attempts per successful one; above it backends count as overloaded
RATE_TIME_CONSTANT = 5.0  # s over which the rate is averaged


class RateEstimator:
    """Moving average of the rate of attempts, computed from their running total."""

    def __init__(self) -> None:
        self.rate = 0.0  # attempts per second
        self.total = 0
        self.updated_at: float | None = None  # s

    def update(self, now: float, total: int) -> None:
        """Update the average; `total` attempts have been started by now."""
        if self.updated_at is not None and now > self.updated_at:
            elapsed = now - self.updated_at
            weight = min(1.0, elapsed / RATE_TIME_CONSTANT)
            self.rate += weight * ((total - self.total) / elapsed - self.rate)
        self.updated_at = now
        self.total = total


class StallRamp:
    """Limit after a stall: a token bucket of attempts, refilled slightly faster than the average rate."""

    def __init__(self, now: float, average_rate: float) -> None:
        """`average_rate` is the average rate before the stall, in attempts per second."""
        self.rate = RATE_FACTOR * max(average_rate, MIN_RATE)  # attempts per second
        self.capacity = max(1.0, self.rate * BURST_TIME)
        self.tokens = self.capacity
        self.refilled_at = now  # s

    def try_admit(self, now: float, in_flight: int) -> bool:
        """Take a token and return True if one more attempt may start now."""
        self.tokens = min(self.capacity, self.tokens + self.rate * (now - self.refilled_at))
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def record_outcome(self, is_success: bool) -> None:
        """Ignore the end of an attempt; the rate depends on no outcome."""


class StartRamp:
    """Limit after a start: a number of attempts in flight, which successful replies raise."""

    def __init__(self, backends: int, gateways: int) -> None:
        """`gateways` is the size of the tier."""
        self.limit = max(MIN_IN_FLIGHT, SAFE_CONCURRENCY * backends / max(1, gateways))
        self.successes = 0
        self.failures = 0

    def try_admit(self, now: float, in_flight: int) -> bool:
        """Return whether one more attempt may start with `in_flight` attempts in flight."""
        return in_flight < self.limit

    def record_outcome(self, is_success: bool) -> None:
        """Record the end of an attempt; a success raises the limit by one while failures are rare."""
        if not is_success:
            self.failures += 1
            return
        self.successes += 1
        if self.failures <= MAX_FAILURE_RATIO * self.successes + 1:
            self.limit += 1.0
