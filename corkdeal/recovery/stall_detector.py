"""Detects that the process was stalled: it was stopped or swapped out, or its machine was suspended."""

from __future__ import annotations

# s; longer than a busy event-loop iteration, shorter than the silence after which peers use its quota share
MIN_STALL = 0.75


class StallDetector:
    """Measures the time between checks, which a running process makes ten times a second under any load."""

    def __init__(self, min_stall: float = MIN_STALL) -> None:
        """`min_stall` is in seconds."""
        self.min_stall = min_stall
        self.checked_at: float | None = None  # s

    def check(self, now: float) -> float:
        """Return for how many seconds the process was stalled until now; 0 if it was not."""
        elapsed = 0.0 if self.checked_at is None else now - self.checked_at
        self.checked_at = now
        return elapsed if elapsed >= self.min_stall else 0.0
