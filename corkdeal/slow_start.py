"""How much work a server that started a short while ago may be sent: it falls over if all push it at once.

Each gateway sends a cold server at most a multiple of what it itself sends to a warm one and gets served.
What warm servers serve is no more than they can, and the gateways' parts of it add up whatever their number,
subsets and loads, so together they stay under the multiple without hearing of one another.
"""

from __future__ import annotations

import math
import random

from . import interface as t
from .state import Server

MARGIN = 0.6  # of the multiple that may be used; the rest is for credit saved up and for chance
MEMORY = 10.0  # s over which served work is averaged: while few are let in, less is served than could be
LEAST_SPAN = 2.0  # s, before which little can be said of a rate
START_CORES = 2.0  # trusted until enough was served to tell


class SlowStartBudget:
    """One gateway's part of what each cold server stands, counted as work (s of usual latency)."""

    def __init__(self, settings: t.Settings, rng: random.Random) -> None:
        self.s, self.rng = settings, rng
        self.work, self.at, self.since = 0.0, 0.0, math.inf  # served by one whole warm server, fading

    def warmth(self, server: Server, now: float) -> float:
        """Least share of its capacity that a just-started server has by now."""
        age = max(0.0, now - min(server.entry.started, server.met_at)) / self.s.warm_within
        return min(1.0, self.s.cold_share + (1 - self.s.cold_share) * age) if server.entry.started else 1.0

    def served(self, now: float, work: float, capacity: float) -> None:
        """Book work that was answered well; `capacity` is all preferred servers', in warm ones."""
        self.work *= math.exp((self.at - now) / MEMORY)
        self.at, self.since = now, min(now, self.since)
        if capacity > 0:
            self.work += work / capacity

    def rate(self, now: float) -> float:
        """Work a second that one whole warm server was served with, as far back as is known."""
        span = MEMORY * (1 - math.exp(-max(LEAST_SPAN, now - self.since) / MEMORY))
        return self.work * math.exp((self.at - now) / MEMORY) / span

    def room(self, server: Server, now: float, need: float, sharers: float) -> bool:
        """Whether it may be sent `need` more."""
        base = max(self.rate(now), START_CORES / max(1.0, sharers))
        rate = self.s.fall_multiple * self.warmth(server, now) * MARGIN * base
        if server.cold_at is None:  # gateways begin with credit of their own, so that not all send at once
            server.cold_at, server.cold_left = now, self.rng.random() * need
        most = max(need, rate * self.s.fall_window)
        server.cold_left = min(most, server.cold_left + rate * (now - server.cold_at))
        server.cold_at = now
        return server.cold_left >= need

    def spend(self, server: Server, work: float) -> None:
        """Book work that was sent."""
        server.cold_left -= work
