"""How late the event loop runs: the delay with which a periodic timer fires."""

from __future__ import annotations

KEPT = 10.0  # s for which the greatest lateness is reported at least; it is reported twice as long at most
OVERLOAD = 0.1  # s; a loop that is this late twice in a row can't keep up with its work
# CPU time as a fraction of the time between two firings; a process that used less had to wait for the CPU, so
# its own work isn't the cause.
OWN_PART = 0.3


class LoopLateness:
    """The lateness of the loop in the last seconds; times are in s, of any steady clock."""

    def __init__(self) -> None:
        self.fired_at = self.cpu_time = 0.0
        self.late_by_work = 0  # consecutive firings that were late because of the process's own work
        self.period_began = 0.0
        self.most_now = self.most_before = 0.0  # greatest lateness in this period of `KEPT` s and the last

    def fired(self, due: float, now: float, cpu_time: float) -> None:
        """Record that the timer due at `due` fired at `now`; `cpu_time` is the process's CPU time so far."""
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
        """The greatest lateness in the last `KEPT` to 2 * `KEPT` seconds."""
        return max(self.most_now, self.most_before)

    @property
    def is_overloaded(self) -> bool:
        """Whether the loop can't keep up. One late firing may be due to events that piled up in a stall."""
        return self.late_by_work >= 2
