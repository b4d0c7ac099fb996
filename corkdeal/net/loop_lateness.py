"""How late the event loop runs: the delay with which a periodic timer fires."""

from __future__ import annotations

MIN_RETENTION = 10.0  # s for which the greatest lateness is reported, or up to twice as long
OVERLOAD_LATENESS = 0.1  # s; a loop that is this late twice in a row can't keep up with its work
# CPU time as a fraction of the time between two firings; a process that used less had to wait for the CPU, so
# its own work isn't the cause.
MIN_CPU_FRACTION = 0.3


class LoopLateness:
    """The lateness of the loop in the last seconds; times are in s, of any steady clock."""

    def __init__(self) -> None:
        self.last_fired_at = self.last_cpu_time = 0.0
        self.consecutive_late_firings = 0  # only those that are due to the process's own work
        self.period_start = 0.0  # of the present period of MIN_RETENTION s
        self.period_maximum = self.previous_maximum = 0.0  # greatest lateness in this period and the last

    def record_firing(self, due: float, now: float, cpu_time: float) -> None:
        """Record that the timer due at `due` fired at `now`; `cpu_time` is the process's CPU time so far."""
        lateness = max(0.0, now - due)
        is_cpu_bound = cpu_time - self.last_cpu_time >= MIN_CPU_FRACTION * (now - self.last_fired_at)
        self.consecutive_late_firings = (
            self.consecutive_late_firings + 1 if lateness >= OVERLOAD_LATENESS and is_cpu_bound else 0
        )
        self.last_fired_at, self.last_cpu_time = now, cpu_time
        if now - self.period_start >= MIN_RETENTION:
            is_consecutive_period = now - self.period_start < 2 * MIN_RETENTION
            self.previous_maximum, self.period_maximum = (
                self.period_maximum if is_consecutive_period else 0.0,
                0.0,
            )
            self.period_start = now
        self.period_maximum = max(self.period_maximum, lateness)

    @property
    def max_lateness(self) -> float:
        """The greatest lateness in the last MIN_RETENTION to 2 * MIN_RETENTION seconds."""
        return max(self.period_maximum, self.previous_maximum)

    @property
    def is_overloaded(self) -> bool:
        """Whether the loop can't keep up. One late firing may be due to events that piled up in a stall."""
        return self.consecutive_late_firings >= 2
