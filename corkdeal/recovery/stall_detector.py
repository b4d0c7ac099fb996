"""Notices that the process stood still: stopped, swapped out, or its machine suspended."""

from __future__ import annotations

LEAST = 0.75  # s; under the second after which a silent one's slices go on loan, over a busy turn


class Pulse:
    """The time since the last beat. A running process beats ten times a second, whatever else it does."""

    def __init__(self, least: float = LEAST) -> None:
        self.least = least
        self.last: float | None = None

    def beat(self, now: float) -> float:
        """Seconds for which the process stood still before this moment; 0 if it did not."""
        past, self.last = now - (now if self.last is None else self.last), now
        return past if past >= self.least else 0.0
