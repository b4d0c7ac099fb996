"""Detects that the process was stalled: stopped, swapped out, or its machine suspended."""

from __future__ import annotations

MIN_STALL = 0.75  # s; longer than a busy turn, less than the silence after which peers lend a share out


class StallDetector:
    """Measures the time between checks, which a running process makes ten times a second in any load."""

    def __init__(self, min_stall: float = MIN_STALL) -> None:
        """`min_stall` is in seconds."""
        self.min_stall = min_stall
        self.checked_at: float | None = None  # s

    def check(self, now: float) -> float:
        """Seconds for which the process was stalled before this moment; 0 if it was not."""
        elapsed = 0.0 if self.checked_at is None else now - self.checked_at
        self.checked_at = now
        return elapsed if elapsed >= self.min_stall else 0.0
