"""How late the process's loop runs: by how much a timer that is set again and again fires after its time."""

from __future__ import annotations

KEPT = 10.0  # s that the greatest lateness is kept at the least, and twice as long at the most
OVERLOAD = 0.1  # s; a loop that is so late twice in a row has more to do than it gets done
OWN_PART = 0.3  # of the time between; a process that used less of it waited for others, and work is not why


class LoopLateness:
    """The lateness of the loop in the last seconds; times are in s, of any clock that goes evenly."""

    def __init__(self) -> None:
        self.fired_at = self.cpu_time = 0.0
        self.late_by_work = 0  # how many times in a row the timer was late by the process's own work
        self.period_began = 0.0
        self.most_now = self.most_before = 0.0  # in this period of `KEPT`, and in the one before it

    def fired(self, due: float, now: float, cpu_time: float) -> None:
        """The timer that was due then has fired now; `cpu_time` is what the process has used so far."""
        late = max(0.0, now - due)
        is_own = cpu_time - self.cpu_time >= OWN_PART * (now - self.fired_at)
        self.late_by_work = self.late_by_work + 1 if late >= OVERLOAD and is_own else 0
        self.fired_at, self.cpu_time = now, cpu_time
        if now - self.period_began >= KEPT:
            is_next = now - self.period_began < 2 * KEPT
            self.most_before, self.most_now = self.most_now if is_next else 0.0, 0.0
            self.period_began = now
        self.most_now = max(self.most_now, late)

    @property
    def most(self) -> float:
        """The greatest lateness of the last `KEPT` to twice `KEPT`."""
        return max(self.most_now, self.most_before)

    @property
    def is_overloaded(self) -> bool:
        """Whether the loop runs late by its own work. Once may be what came together during a pause."""
        return self.late_by_work >= 2
