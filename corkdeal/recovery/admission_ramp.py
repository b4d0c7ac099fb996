"""No stampede after a pause or a start: what a gateway sends in its first seconds, out of one budget.

*After a pause* its usual rate r_i is known. What clients sent meanwhile is read in one turn. Each gateway
sends at most TIMES its own usual rate, and at most TIMES x r_i x SPAN at once, so over any SPAN all that
woke together send at most 2 x TIMES x SPAN x sum(r_i), and over longer times TIMES x sum(r_i).

*After a start* it is not known, so the attempts out are bounded: at first by the gateway's part of what
all servers surely take at once, CORES each, and OUT_LEAST. Over G gateways and S servers that is at most
max(OUT_LEAST x G, CORES x S) together, whatever share of them started. Each good answer opens it by one,
so it doubles in the time of an answer, be that 1 ms or 0.2 s, unless servers turn out to be full.

What exceeds the budget is refused at once, with a time to come again. It ends with the state `full`.
"""

from __future__ import annotations

TIMES = 1.25  # of the usual rate
SPAN = 0.25  # s over which a peak is looked for
LEAST = 4.0  # sends a second that are always open: a gateway with next to no traffic pushes nobody over
CORES = 2.0  # of a server that count as sure, as for cold servers
OUT_LEAST = 4.0  # attempts out that are always open at a start
FEW = 0.1  # given up on for each good answer, above which servers are full
MEMORY = 5.0  # s over which the usual rate is averaged


class Usual:
    """A gateway's usual rate of sends, from their running number."""

    def __init__(self) -> None:
        self.rate, self.at, self.count = 0.0, None, 0

    def look(self, now: float, count: int) -> None:
        """So many were sent by now."""
        if self.at is not None and now > self.at:
            part = min(1.0, (now - self.at) / MEMORY)
            self.rate += part * ((count - self.count) / (now - self.at) - self.rate)
        self.at, self.count = now, count


class AfterPause:
    """The budget from a wake until the gateway is in full service, in sends."""

    def __init__(self, now: float, usual: float) -> None:
        self.rate = TIMES * max(usual, LEAST)
        self.most = max(1.0, self.rate * SPAN)
        self.at, self.left = now, self.most

    def allows(self, now: float, out: int) -> bool:
        """Whether one more may be sent now; it is booked."""
        self.left = min(self.most, self.left + self.rate * (now - self.at))
        self.at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True

    def answered(self, good: bool) -> None:
        """An attempt ended; the usual rate is no more for that."""


class AfterStart:
    """The budget from a start until the gateway is in full service, in attempts out."""

    def __init__(self, servers: int, gateways: int) -> None:
        self.most = max(OUT_LEAST, CORES * servers / max(1, gateways))
        self.good = self.bad = 0

    def allows(self, now: float, out: int) -> bool:
        """Whether one more may be sent while `out` are out."""
        return out < self.most

    def answered(self, good: bool) -> None:
        """An attempt ended, well or not: each good answer opens it by one while bad ones are few."""
        self.good, self.bad = self.good + good, self.bad + (not good)
        if good and self.bad <= FEW * self.good + 1:
            self.most += 1.0
