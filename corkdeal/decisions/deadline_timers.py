"""Deadline timers: each expires at the last moment at which its request can be answered in time."""

from __future__ import annotations

from .actions import SetTimer


class DeadlineTimers:
    """Maps the tokens of pending timers to requests; token 0 is reserved for the scan."""

    def __init__(self) -> None:
        self.last_token = 0
        self.request_ids: dict[int, int] = {}  # by token
        self.tokens: dict[int, int] = {}  # by request id

    def set(self, request_id: int, delay: float) -> SetTimer:
        """Return the action that sets a request's deadline timer to `delay` seconds from now."""
        self.last_token += 1
        self.request_ids[self.last_token] = request_id
        self.tokens[request_id] = self.last_token
        return SetTimer(max(0.0, delay), self.last_token)

    def expire(self, token: int) -> int | None:
        """Return the id of the timer's request; None if the timer has expired or was cancelled."""
        request_id = self.request_ids.pop(token, None)
        if request_id is not None:
            del self.tokens[request_id]
        return request_id

    def cancel(self, request_id: int) -> None:
        """Forget the timer of a request that has ended; the host may still let its token expire."""
        token = self.tokens.pop(request_id, None)
        if token is not None:
            del self.request_ids[token]

    def is_pending(self, token: int) -> bool:
        """Return whether a timer has neither expired nor been cancelled."""
        return token in self.request_ids
