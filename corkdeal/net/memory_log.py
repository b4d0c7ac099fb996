"""Logs what clients and backends make the process hold, when the pressure on the memory budget changes."""

from __future__ import annotations

from collections.abc import Callable

from .. import logs
from .budget import Budget, Pressure

MIN_INTERVAL = 1.0  # s between two log lines


class MemoryLog:
    """Writes the log event `memory`.

    `now` returns the time in s, and `name_bytes` how many bytes are held for names that clients choose.
    """

    def __init__(self, budget: Budget, now: Callable[[], float], name_bytes: Callable[[], int]) -> None:
        self.budget, self.now, self.name_bytes = budget, now, name_bytes
        self.logged = Pressure.NONE
        self.next_at = 0.0  # s

    def update(self) -> None:
        """Log the pressure, if it has changed."""
        pressure = self.budget.pressure
        if pressure is self.logged or self.now() < self.next_at:
            return
        self.next_at = self.now() + MIN_INTERVAL
        logs.event(
            "memory",
            pressure=pressure.value,
            before=self.logged.value,
            held=self.budget.total,
            limit=self.budget.limit,
            answers=self.budget.waiting_answers,
            collected=self.budget.answers.total,
            bodies=len(self.budget.incomplete_bodies),
            names=self.name_bytes(),
        )
        self.logged = pressure
