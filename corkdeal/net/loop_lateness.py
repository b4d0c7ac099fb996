"""How late the process's loop runs: by how much a timer that is set again and again fires after its time."""

from __future__ import annotations

KEPT = 10.0  # s that the greatest lateness is kept at the least, and twice as long at the most
OVERLOAD = 0.1  # s; a loop that is so late twice in a row has more to do than it gets done


class LoopLateness:
    """The lateness of the loop in the last seconds; times are in s, of any clock that goes evenly."""

    def __init__(self) -> None:
        self.latest = self.before = 0.0
        self.period_began = 0.0
        self.most_now = self.most_before = 0.0  # in this period of `KEPT`, and in the one before it

    def fired(self, due: float, now: float) -> None:
        """The timer that was due then has fired now."""
        if now - self.period_began >= KEPT:
            is_next = now - self.period_began < 2 * KEPT
            self.most_before, self.most_now = self.most_now if is_next else 0.0, 0.0
            self.period_began = now
        self.before, self.latest = self.latest, max(0.0, now - due)
        self.most_now = max(self.most_now, self.latest)

    @property
    def most(self) -> float:
        """The greatest lateness of the last `KEPT` to twice `KEPT`."""
        return max(self.most_now, self.most_before)

    @property
    def is_overloaded(self) -> bool:
        """Whether the loop runs late by its own work. One look that is late may be a pause of the process."""
        return min(self.latest, self.before) >= OVERLOAD
