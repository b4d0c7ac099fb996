"""No stampede after a pause: what a gateway sends in the first seconds, out of one budget.

What clients sent while a gateway stood still is read in one turn. Each gateway sends at most TIMES its
own usual rate r_i, and at most TIMES x r_i x SPAN at once, so over any SPAN all that woke together send
at most 2 x TIMES x SPAN x sum(r_i), and over longer times TIMES x sum(r_i), whatever their number and
without asking anyone; what exceeds that is refused at once, with a time to come again. The budget ends
with the state `full`.
"""

from __future__ import annotations

TIMES = 1.25  # of the usual rate
SPAN = 0.25  # s over which a peak is looked for
LEAST = 4.0  # sends a second that are always open: a gateway with next to no traffic pushes nobody over
CORES = 2.0  # of a server that count as sure, as for cold servers
GAIN = 1.0  # sends a second more for each good answer: what is served doubles in about a second
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


def at_start(servers: int, gateways: int, work: float) -> float:
    """A gateway's part of what all servers can surely do, in sends a second; `work` is s a request."""
    return servers * CORES / (max(1, gateways) * work)


class Opening:
    """The budget from a wake or a start until the gateway is in full service."""

    def __init__(self, now: float, usual: float) -> None:
        self.rate = TIMES * max(usual, LEAST)
        self.most = max(1.0, self.rate * SPAN)
        self.at, self.left = now, self.most

    def served(self, answers: int, given_up: int) -> None:
        """What was answered well, and given up on inside quotas for want of servers, since last told.

        Each good answer opens it by GAIN, as long as servers are not the reason for which others got none.
        """
        if given_up <= FEW * answers:
            self.rate += GAIN * answers
            self.most = max(1.0, self.rate * SPAN)

    def allows(self, now: float) -> bool:
        """Whether one more may be sent now; it is booked."""
        self.left = min(self.most, self.left + self.rate * (now - self.at))
        self.at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
