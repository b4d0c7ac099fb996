"""What the decisions ask of optional subsystems, as Protocols; the subsystems are made by the host."""

from __future__ import annotations

from typing import Protocol


class AdmissionRamp(Protocol):
    """A limit on first attempts in the first seconds after a start or a stall."""

    def try_admit(self, now: float, in_flight: int) -> bool:
        """Whether one more attempt may start while so many are in flight; if so it is counted."""

    def record_outcome(self, is_success: bool) -> None:
        """An attempt ended."""
