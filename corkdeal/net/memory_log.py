"""Logs the memory of the process, and what clients and backends make it hold."""

from __future__ import annotations

from collections.abc import Callable

from .. import logs
from .budget import Budget, Pressure
from .process_memory import ProcessMemory

MIN_INTERVAL = 1.0  # s between two log lines
PEAK_STEP = 1 / 16  # of the first resident size; growth of the peak that is logged


class MemoryLog:
    """Writes the log event `memory`.

    `now` returns the time in s, `name_bytes` how many bytes are held for names that clients choose, and
    `measure` the memory of the process.
    """

    def __init__(
        self,
        budget: Budget,
        now: Callable[[], float],
        name_bytes: Callable[[], int],
        backend_buffer_bytes: Callable[[], int],
        measure: Callable[[], ProcessMemory],
    ) -> None:
        self.budget, self.now, self.name_bytes = budget, now, name_bytes
        self.backend_buffer_bytes = backend_buffer_bytes
        self.measure = measure
        self.logged_peak = 0  # resident bytes
        self.logged = Pressure.NONE
        self.next_at = 0.0  # s

    def update(self) -> None:
        """Log the pressure if it has changed, and a peak of the process that is higher by a step."""
        pressure, memory = self.budget.pressure, self.measure()
        resident = memory.resident
        if not self.logged_peak:
            self.logged_peak = resident
        is_new_peak = resident > self.logged_peak * (1 + PEAK_STEP)
        if not (is_new_peak or pressure is not self.logged) or self.now() < self.next_at:
            return
        self.logged_peak = max(self.logged_peak, resident)
        self.next_at = self.now() + MIN_INTERVAL
        logs.event(
            "memory",
            pressure=pressure.value,
            before=self.logged.value,
            held=self.budget.total,
            limit=self.budget.limit,
            answers=self.budget.waiting_answers,
            collected=self.budget.answers.total,
            answers_waiting=self.budget.answers.waiting_count,
            backend_buffers=self.backend_buffer_bytes(),
            bodies=len(self.budget.incomplete_bodies),
            names=self.name_bytes(),
            resident=resident,
            anonymous=memory.anonymous,
        )
        self.logged = pressure
