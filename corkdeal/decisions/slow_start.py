"""Slow start: how much work a backend that started a short while ago may be sent while it warms up.

A backend that warms up falls over if all gateways send it what a warm one gets. In a window T it can take
A(N) = N + 2 sqrt(N) + 2 usual requests, N = overload multiple x warmth x T x the load of a warm backend.
Each of S gateways that share it knows its part of N by what its own requests get served, and these parts add
up (docs/fleet.md). What a gateway may send is credit, counted as work (s of usual latency):

- Few gateways have a bucket each. It gains BUCKET_FRACTION of its part and holds a window's gain, or the
  largest request if that is more. All of them sending a full bucket at once could still pass A(N) where S is
  over A(N) - BUCKET_FRACTION N; `corkdeal/experiment/slow_start.py` measures how seldom that happens.
- Many gateways draw. Each stakes its credit, at most `saved` windows' gain, for a request. The requests of a
  window have a mean of m = (1 + saved) x the gain, and a variance under m; as sqrt(m) <= sqrt(N) -
  ROOT_REDUCTION, A(N) is 3.4 standard deviations above the mean.

`now` is the clock of the gateway in seconds, warmth is the part of its capacity that a backend has by now.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from .backends import BackendRecord
from .settings import Settings

MAX_BUCKET_SHARERS = 40  # gateways
BUCKET_FRACTION = 0.6  # of N; the rest is for what each bucket holds
MAX_DRAW_FRACTION = 0.7  # of N; the smallest backend has this part of the mean capacity
MIN_DRAW_FRACTION = 0.25  # of N
ROOT_REDUCTION = 0.7  # taken off the root of N, as above
SAVED_REQUESTS = 0.2  # requests to a warm backend, in whose time credit may be saved
SERVED_RATE_TIME = 10.0  # s over which the served work is averaged
ASSUMED_RATE = 2.0  # s of work a second, taken as served until more is known
ASSUMED_TIME = 0.5  # s


@dataclass(slots=True)
class FadingRate:
    """Amount a second, averaged over the last seconds and right from the first ones."""

    time_constant: float  # s in which the weight of what was added falls to 1 / e
    total: float = 0.0
    updated_at: float = 0.0
    started_at: float = math.inf

    def add(self, now: float, amount: float) -> None:
        """Book an amount; the first one only starts the clock, else it would count as a whole rate."""
        self.total *= math.exp((self.updated_at - now) / self.time_constant)
        self.total += amount if self.started_at < now else 0.0
        self.updated_at, self.started_at = now, min(now, self.started_at)

    def rate(self, now: float, assumed: float = 0.0, span: float = 0.0) -> float:
        """The rate, averaged with one that is assumed for `span` seconds."""
        known = self.time_constant * (1 - math.exp(min(0.0, self.started_at - now) / self.time_constant))
        total = self.total * math.exp((self.updated_at - now) / self.time_constant) + assumed * span
        return total / (known + span) if total else 0.0


class SlowStartBudget:
    """One gateway's part of what each backend that warms up may be sent."""

    def __init__(self, settings: Settings, rng: random.Random, usual_work: float) -> None:
        self.settings = settings
        self.rng = rng
        self.usual_work = usual_work  # s
        self.largest_work = usual_work  # s
        self.served = FadingRate(SERVED_RATE_TIME)  # work by one whole warm backend

    def warmth(self, backend: BackendRecord, now: float) -> float:
        """The least part of its capacity that a backend has by now; 1 once it has warmed up."""
        started = backend.endpoint.started
        if not started:
            return 1.0
        age = max(0.0, now - min(started, backend.first_seen_at)) / self.settings.warm_up_time
        initial = self.settings.initial_capacity
        return min(1.0, initial + (1 - initial) * age)

    def window_credit(self, backend: BackendRecord, now: float, sharers: float) -> tuple[float, float]:
        """Work gained in a window for this backend, and the most that may be saved."""
        assumed_rate = ASSUMED_RATE / sharers
        served = self.served.rate(now, assumed_rate, ASSUMED_TIME) * self.settings.overload_window
        allowed = self.settings.overload_multiple * self.warmth(backend, now) * served
        if sharers <= MAX_BUCKET_SHARERS:
            gain = BUCKET_FRACTION * allowed
            return gain, max(self.largest_work, gain)
        one = self.usual_work / sharers
        saved = min(1.0, SAVED_REQUESTS * self.usual_work / served)
        drawn = max(0.0, math.sqrt(allowed / one) - ROOT_REDUCTION) ** 2 * one / (1 + saved)
        gain = max(MIN_DRAW_FRACTION * allowed, min(MAX_DRAW_FRACTION * allowed, drawn))
        return gain, gain * saved

    def has_credit(self, backend: BackendRecord, now: float, work: float, sharers: float) -> bool:
        """Whether the backend may be sent this work, or credit may be staked for it."""
        self.largest_work = max(work, self.largest_work)
        gain, most = self.window_credit(backend, now, max(1.0, sharers))
        if backend.slow_start_credit_at is None:  # by chance, so that not all gateways send at once
            backend.slow_start_credit = self.rng.random() * work
            backend.slow_start_credit_at = now
        gained = gain * (now - backend.slow_start_credit_at) / self.settings.overload_window
        backend.slow_start_credit = min(most, backend.slow_start_credit + gained)
        backend.slow_start_credit_at = now
        return backend.slow_start_credit >= work or most < work

    def spend_credit(self, backend: BackendRecord, work: float) -> bool:
        """Spend the work of a request that would go there, or stake the credit; whether the request goes."""
        has_won = self.rng.random() * work < backend.slow_start_credit
        backend.slow_start_credit = max(0.0, backend.slow_start_credit - work)
        return has_won
