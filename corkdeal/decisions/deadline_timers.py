"""Deadline timers: each expires at the last moment at which its request can be answered in time."""

from __future__ import annotations

from .actions import SetTimer


class DeadlineTimers:
    """Maps the tokens of pending timers to requests; token 0 is reserved for the scan."""

    def __init__(self) -> None:
        self.last_token = 0
        self.request_ids: dict[int, int] = {}

    def set(self, request_id: int, delay: float) -> SetTimer:
        """Return the action that sets a request's deadline timer to `delay` seconds from now."""
        self.last_token += 1
        self.request_ids[self.last_token] = request_id
        return SetTimer(max(0.0, delay), self.last_token)

    def expire(self, token: int) -> int | None:
        """Return the id of the timer's request; None if the timer has already expired."""
        return self.request_ids.pop(token, None)
