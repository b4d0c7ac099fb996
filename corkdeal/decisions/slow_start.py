"""Slow start: limits the work sent to a recently started backend while it warms up.

A backend that is warming up fails if all gateways send it the load of a warm backend. In an overload window T
it can take A(N) = N + 2 sqrt(N) + 2 usual requests, where N = overload multiple x capacity fraction x T x
the load of a warm backend. Each of the S gateways that share the backend derives its part of N from the rate
at which its own requests are served, and these parts add up to N (docs/fleet.md). What a gateway may send is
credit, measured as work (s of usual latency):

- Up to MAX_BUCKET_SHARERS gateways use a token bucket each. It gains BUCKET_FRACTION of the gateway's part
  and holds the gain of one window, or the largest request if that is more. If all of them send a full bucket
  at once, the sum can exceed A(N) where S is over A(N) - BUCKET_FRACTION N;
  `corkdeal/experiment/slow_start.py` measures how rarely that happens.
- More gateways use random draws. A request is sent with probability credit / work and uses up credit either
  way; at most `saved` windows' gain is saved. The requests of a window have a mean of
  m = (1 + saved) x the gain and a variance below m; as sqrt(m) <= sqrt(N) - SQRT_MARGIN, A(N) is
  3.4 standard deviations above the mean.

`now` is the clock of the gateway in seconds; the capacity fraction is the fraction of its full capacity that
a backend has now.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from .backends import BackendRecord
from .settings import Settings

MAX_BUCKET_SHARERS = 40  # gateways that use buckets; more use random draws
BUCKET_FRACTION = 0.6  # of N; the rest allows for the content of the buckets
# of N; a started backend may be that much smaller than the mean, and no list gives its capacity for certain
MAX_DRAW_FRACTION = 0.5
MIN_DRAW_FRACTION = 0.25  # of N, lower bound on the gain
SQRT_MARGIN = 0.7  # subtracted from sqrt(N), as above
SAVED_REQUESTS = 0.2  # credit is saved for the time in which a warm backend gets this many requests
SERVED_RATE_TIME = 10.0  # s, time constant of the average of served work
ASSUMED_RATE = 2.0  # s of work per second, assumed as served until more is known
ASSUMED_TIME = 0.5  # s, weight of that assumption


@dataclass(slots=True)
class DecayingRate:
    """An exponentially decaying average rate that is unbiased from the first seconds on."""

    time_constant: float  # s until the weight of an added amount decays to 1 / e
    total: float = 0.0
    updated_at: float = 0.0
    started_at: float = math.inf

    def add(self, now: float, amount: float) -> None:
        """Add an amount; the first one only starts the clock, since it has no time span for a rate."""
        self.total *= math.exp((self.updated_at - now) / self.time_constant)
        self.total += amount if self.started_at < now else 0.0
        self.updated_at, self.started_at = now, min(now, self.started_at)

    def rate(self, now: float, assumed: float = 0.0, span: float = 0.0) -> float:
        """Return the rate, averaged with a rate `assumed` for `span` seconds."""
        known = self.time_constant * (1 - math.exp(min(0.0, self.started_at - now) / self.time_constant))
        total = self.total * math.exp((self.updated_at - now) / self.time_constant) + assumed * span
        return total / (known + span) if total else 0.0


class SlowStartBudget:
    """One gateway's part of the work that each backend in slow start may be sent."""

    def __init__(self, settings: Settings, rng: random.Random, usual_work: float) -> None:
        self.settings = settings
        self.rng = rng
        self.usual_work = usual_work  # s
        self.largest_work = usual_work  # s
        self.served = DecayingRate(SERVED_RATE_TIME)  # work served per warm backend

    def capacity_fraction(self, backend: BackendRecord, now: float) -> float:
        """Return the fraction of its capacity that a backend has at least; 1 once it has warmed up."""
        started = backend.endpoint.started
        if not started:
            return 1.0
        age = max(0.0, now - min(started, backend.first_seen_at)) / self.settings.warm_up_time
        initial = self.settings.initial_capacity
        return min(1.0, initial + (1 - initial) * age)

    def window_credit(self, backend: BackendRecord, now: float, sharers: float) -> tuple[float, float]:
        """Return the credit gained per window for this backend, and the maximum credit."""
        assumed_rate = ASSUMED_RATE / sharers
        served = self.served.rate(now, assumed_rate, ASSUMED_TIME) * self.settings.overload_window
        allowed = self.settings.overload_multiple * self.capacity_fraction(backend, now) * served
        if sharers <= MAX_BUCKET_SHARERS:
            gain = BUCKET_FRACTION * allowed
            return gain, max(self.largest_work, gain)
        work_share = self.usual_work / sharers
        saved = min(1.0, SAVED_REQUESTS * self.usual_work / served)
        draw_gain = max(0.0, math.sqrt(allowed / work_share) - SQRT_MARGIN) ** 2 * work_share / (1 + saved)
        gain = max(MIN_DRAW_FRACTION * allowed, min(MAX_DRAW_FRACTION * allowed, draw_gain))
        return gain, gain * saved

    def has_credit(self, backend: BackendRecord, now: float, work: float, sharers: float) -> bool:
        """Return whether the backend may be sent this work, with certainty or by a random draw."""
        self.largest_work = max(work, self.largest_work)
        gain, max_credit = self.window_credit(backend, now, max(1.0, sharers))
        if backend.slow_start_credit_at is None:  # random, so that gateways do not all send at once
            backend.slow_start_credit = self.rng.random() * work
            backend.slow_start_credit_at = now
        new_credit = gain * (now - backend.slow_start_credit_at) / self.settings.overload_window
        backend.slow_start_credit = min(max_credit, backend.slow_start_credit + new_credit)
        backend.slow_start_credit_at = now
        return backend.slow_start_credit >= work or max_credit < work

    def spend_credit(self, backend: BackendRecord, work: float) -> bool:
        """Spend the credit for a request; returns whether the request may be sent.

        Credit below the work is a random draw: the request is sent with probability credit / work.
        """
        is_sent = self.rng.random() * work < backend.slow_start_credit
        backend.slow_start_credit = max(0.0, backend.slow_start_credit - work)
        return is_sent
