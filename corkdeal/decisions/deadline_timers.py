"""Timers that announce the last moment at which a request can be answered in time."""

from __future__ import annotations

from .actions import SetTimer


class DeadlineTimers:
    """Tokens of timers that are set, by the request that each is for; token 0 is never used here."""

    def __init__(self) -> None:
        self.last_token = 0
        self.request_ids: dict[int, int] = {}

    def set(self, request_id: int, delay: float) -> SetTimer:
        """The action that has the request's deadline announced after `delay` seconds."""
        self.last_token += 1
        self.request_ids[self.last_token] = request_id
        return SetTimer(max(0.0, delay), self.last_token)

    def expire(self, token: int) -> int | None:
        """The request that a timer was for; each timer expires once."""
        return self.request_ids.pop(token, None)
