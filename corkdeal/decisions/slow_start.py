"""How much work a server that started a short while ago may be sent: it falls over if all push it at once.

Within a window T it stands A(N) = N + 2 sqrt(N) + 2 usual requests, N = multiple x warmth x T x a warm one's
load. Each of S gateways knows its part of N by what it gets served itself; such parts add up (docs/fleet.md):
- few have buckets: each gains MARGIN of its part and saves a window's gain, its largest request at least.
  That all rush after a lull, with S over A(N) - MARGIN N, is not excluded; the judge tells how seldom it is.
- many draw: each stakes what it saves, its gain in `held` windows, for a request. A window has a mean of
  m = (1 + held) x the gain, and a variance under m; as sqrt(m) <= sqrt(N) - SHORT, A is 3.4 deviations off.
"""

from __future__ import annotations

import math
import random

from .backends import BackendRecord
from .records import FadingRate
from .settings import Settings

FEW, MARGIN = 40, 0.6  # sharers, and the part of N that they gain; the rest is for what each saves
SURE = 0.7  # of the mean capacity, the smallest server's; what is served may come up to the mean
LEAST, SHORT = 0.25, 0.7  # part of N, and what is taken off its root, as above
HELD = 0.2  # requests to a warm server, in whose time a part of one may be saved: with ten servers, two
MEMORY = 10.0  # s over which served work is averaged: while few are let in, less is served than could be
START_CORES, START_SPAN = 2.0, 0.5  # taken as served in the seconds before, until more is known


class SlowStartBudget:
    """One gateway's part of what each cold server stands, counted as work (s of usual latency)."""

    def __init__(self, settings: Settings, rng: random.Random, usual_work: float) -> None:
        self.s, self.rng, self.usual_work, self.largest = settings, rng, usual_work, usual_work
        self.served = FadingRate(MEMORY)  # work by one whole warm server

    def warmth(self, server: BackendRecord, now: float) -> float:
        """Least share of its capacity that a just-started server has by now."""
        age = max(0.0, now - min(server.endpoint.started, server.first_seen_at)) / self.s.warm_up_time
        return (
            min(1.0, self.s.initial_capacity + (1 - self.s.initial_capacity) * age)
            if server.endpoint.started
            else 1.0
        )

    def part(self, server: BackendRecord, now: float, sharers: float) -> tuple[float, float]:
        """Work gained in a window for this server, and the most that may be saved."""
        rate = self.served.rate(now, START_CORES / sharers, START_SPAN) * self.s.overload_window
        allowed = self.s.overload_multiple * self.warmth(server, now) * rate
        if sharers <= FEW:
            return MARGIN * allowed, max(self.largest, MARGIN * allowed)
        one, held = self.usual_work / sharers, min(1.0, HELD * self.usual_work / rate)
        drawn = max(0.0, math.sqrt(allowed / one) - SHORT) ** 2 * one / (1 + held)
        gain = max(LEAST * allowed, min(SURE * allowed, drawn))
        return gain, gain * held

    def room(self, server: BackendRecord, now: float, need: float, sharers: float) -> bool:
        """Whether it may be sent `need` more, or a draw may be made for it."""
        self.largest = max(need, self.largest)
        gain, most = self.part(server, now, max(1.0, sharers))
        if server.slow_start_credit_at is None:  # by chance, so that not all send at once
            server.slow_start_credit_at, server.slow_start_credit = now, self.rng.random() * need
        server.slow_start_credit = min(
            most,
            server.slow_start_credit + gain * (now - server.slow_start_credit_at) / self.s.overload_window,
        )
        server.slow_start_credit_at = now
        return server.slow_start_credit >= need or most < need

    def takes(self, server: BackendRecord, need: float) -> bool:
        """Spend what a request needs that would go there, or stake what is saved; whether it goes."""
        goes = self.rng.random() * need < server.slow_start_credit
        server.slow_start_credit = max(0.0, server.slow_start_credit - need)
        return goes
