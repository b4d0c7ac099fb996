"""The gateway's timers: one heap, with one delayed call of the reactor for all of them.

Timers that are due together expire together, so that the decisions handle them in one batch. An attempt that
has ended needs no timer any more and is skipped.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any

from .backend_connection import Attempt

MIN_REPORTED_LATENESS = (
    0.01  # s; a smaller lateness isn't reported, since each report costs a reactor iteration
)
MIN_COMPACTED = 1024  # timers; a smaller heap is not searched for those without an effect


class Timers:
    """Tokens and attempts by when they are due, in s of the gateway's clock; `on_expired` receives both.

    Until the end of a reactor iteration, `lateness` is by how many s its timers, and so all of it, ran late.
    """

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], float],
        on_expired: Callable[[list[int], list[Attempt]], None],
        is_token_pending: Callable[[int], bool],
    ) -> None:
        """`is_token_pending` returns whether the expiry of a token still has an effect."""
        self.reactor, self.now, self.on_expired = reactor, now, on_expired
        self.is_token_pending = is_token_pending
        self.compact_at = MIN_COMPACTED  # timers in the heap
        self.heap: list[tuple[float, int, Any]] = []  # due, order, and a token or an attempt
        self.sequence = 0
        self.delayed_call: Any = None
        self.delayed_call_at = math.inf
        self.lateness = 0.0

    def add(self, due: float, target: int | Attempt) -> None:
        """Add a timer that returns a token or ends an attempt at `due`; `arm` must be called afterwards."""
        self.sequence += 1
        heapq.heappush(self.heap, (due, self.sequence, target))
        if len(self.heap) >= self.compact_at:
            self.compact()

    def compact(self) -> None:
        """Drop the timers without an effect; the next time at twice as many as are left."""
        self.heap = [timer for timer in self.heap if self.has_effect(timer[2])]
        heapq.heapify(self.heap)
        self.compact_at = max(MIN_COMPACTED, 2 * len(self.heap))

    def has_effect(self, target: int | Attempt) -> bool:
        """Return whether the expiry of a timer still ends an attempt or reaches the decisions."""
        if isinstance(target, Attempt):
            return not target.is_finished
        return self.is_token_pending(target)

    def arm(self) -> None:
        """Schedule the delayed call for the earliest timer; drop timers of attempts that have ended."""
        heap = self.heap
        while heap and type(heap[0][2]) is Attempt and heap[0][2].is_finished:
            heapq.heappop(heap)
        if heap and heap[0][0] < self.delayed_call_at:
            if self.delayed_call is not None:
                self.delayed_call.cancel()
            self.delayed_call_at = heap[0][0]
            self.delayed_call = self.reactor.callLater(
                max(0.0, self.delayed_call_at - self.now()), self.expire
            )

    def expire(self) -> None:
        """Expire all timers that are due, in one batch."""
        now = self.now()
        if (lateness := now - self.delayed_call_at) > MIN_REPORTED_LATENESS:
            self.lateness = lateness
            self.reactor.callLater(0, self.reset_lateness)
        self.delayed_call, self.delayed_call_at = None, math.inf
        tokens: list[int] = []
        expired: list[Attempt] = []
        while self.heap and self.heap[0][0] <= now:
            target = heapq.heappop(self.heap)[2]
            (expired if type(target) is Attempt else tokens).append(target)
        self.on_expired(tokens, expired)
        self.arm()

    def reset_lateness(self) -> None:
        """Reset the lateness: the late iteration and its socket events are over, and the next has begun."""
        self.lateness = 0.0
