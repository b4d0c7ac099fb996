"""How much work a server that started a short while ago may be sent: it falls over if all push it at once.

Within a window T it stands A(N) = N + 2 sqrt(N) + 2 usual requests, N = multiple x warmth x T x a warm one's
load. Each of S gateways knows its part of N by what it gets served itself; such parts add up, whatever loads
and S are. The tier stays under A in that one of two ways which sends more (derived in docs/fleet.md):
- buckets: each may save `saved`, its largest request or more, and gains its part of SURE N in T, or of what
  S saved leaves of A(SURE N). No window holds more than A(SURE N), whatever comes when.
- draws: each saves what it gains in `held` windows and stakes it for a request, chance saved / request.
  A window has a mean of m = (1 + held) x the gain of T and a variance of m at most; its root deviates by 1/2.
  As sqrt(m) <= sqrt(N) - SHORT, A is 3.4 deviations off if all had saved. No more than SURE N is gained.
"""

from __future__ import annotations

import math
import random

from . import interface as t
from .state import FadingRate, Server

SURE = 0.7  # of the mean capacity, the smallest server's; what is served may come up to the mean
SAVED, LEAST, SHORT = 0.1, 0.25, 0.7  # parts of N, and what is taken off its root, as above
HELD = 0.2  # requests to a warm server, in whose time a part of one may be saved: with ten servers, two
FADE = 0.999  # a look, of the largest request known
MEMORY = 10.0  # s over which served work is averaged: while few are let in, less is served than could be
START_CORES, START_SPAN = 2.0, 0.5  # taken as served in the seconds before, until more is known


class SlowStartBudget:
    """One gateway's part of what each cold server stands, counted as work (s of usual latency)."""

    def __init__(self, settings: t.Settings, rng: random.Random, usual_work: float) -> None:
        self.s, self.rng, self.usual_work, self.largest = settings, rng, usual_work, usual_work
        self.served = FadingRate(MEMORY)  # work by one whole warm server

    def warmth(self, server: Server, now: float) -> float:
        """Least share of its capacity that a just-started server has by now."""
        age = max(0.0, now - min(server.entry.started, server.met_at)) / self.s.warm_within
        return min(1.0, self.s.cold_share + (1 - self.s.cold_share) * age) if server.entry.started else 1.0

    def part(self, server: Server, now: float, sharers: float) -> tuple[float, float]:
        """Work gained in a window for this server, and the most that may be saved."""
        one, rate = self.usual_work / sharers, self.served.rate(now, START_CORES / sharers, START_SPAN)
        allowed = self.s.fall_multiple * self.warmth(server, now) * rate * self.s.fall_window / one
        sure, saved = SURE * allowed, max(self.largest / one, SAVED * SURE * allowed)
        gain = min(sure, sure + 2 * math.sqrt(sure) + 2 - saved)
        held = min(1.0, HELD * self.usual_work / (rate * self.s.fall_window))
        drawn = max(LEAST * allowed, min(sure, max(0.0, math.sqrt(allowed) - SHORT) ** 2 / (1 + held)))
        return (gain * one, saved * one) if gain >= drawn else (drawn * one, drawn * one * held)

    def room(self, server: Server, now: float, need: float, sharers: float) -> bool:
        """Whether it may be sent `need` more, or a draw may be made for it."""
        self.largest = max(need, FADE * self.largest)
        gain, most = self.part(server, now, max(1.0, sharers))
        since = min(now, server.met_at) if server.cold_at is None else server.cold_at
        server.cold_left = min(most, server.cold_left + gain * (now - since) / self.s.fall_window)
        server.cold_at = now
        return server.cold_left >= need or most < need

    def takes(self, server: Server, need: float) -> bool:
        """Spend what a request needs that would go there, or stake what is saved; whether it goes."""
        goes = self.rng.random() * need < server.cold_left
        server.cold_left = max(0.0, server.cold_left - need)
        return goes
