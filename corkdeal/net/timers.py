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

LATE_LEAST = 0.01  # s; a smaller lateness isn't reported, since each report costs a reactor iteration


class Timers:
    """Tokens and attempts, ordered by when they are due on the gateway's clock; `due` is called with both.

    Until the end of a reactor iteration, `late` is by how many s its timers, and so all of it, ran late.
    """

    def __init__(
        self, reactor: Any, now: Callable[[], float], due: Callable[[list[int], list[Attempt]], None]
    ) -> None:
        self.reactor, self.now, self.due = reactor, now, due
        self.heap: list[tuple[float, int, Any]] = []  # due, order, and a token or an attempt
        self.number = 0
        self.wake: Any = None
        self.wake_at = math.inf
        self.late = 0.0

    def at(self, due: float, what: int | Attempt) -> None:
        """Add a timer that returns a token or ends an attempt at `due`; `arm` must be called afterwards."""
        self.number += 1
        heapq.heappush(self.heap, (due, self.number, what))

    def arm(self) -> None:
        """Schedule the delayed call for the earliest timer; drop timers of attempts that have ended."""
        heap = self.heap
        while heap and type(heap[0][2]) is Attempt and heap[0][2].over:
            heapq.heappop(heap)
        if heap and heap[0][0] < self.wake_at:
            if self.wake is not None:
                self.wake.cancel()
            self.wake_at = heap[0][0]
            self.wake = self.reactor.callLater(max(0.0, self.wake_at - self.now()), self.ring)

    def ring(self) -> None:
        """Expire all timers that are due, in one batch."""
        now = self.now()
        if (late := now - self.wake_at) > LATE_LEAST:
            self.late = late
            self.reactor.callLater(0, self.turn_over)
        self.wake, self.wake_at = None, math.inf
        tokens: list[int] = []
        expired: list[Attempt] = []
        while self.heap and self.heap[0][0] <= now:
            what = heapq.heappop(self.heap)[2]
            (expired if type(what) is Attempt else tokens).append(what)
        self.due(tokens, expired)
        self.arm()

    def turn_over(self) -> None:
        """Reset the lateness: the late iteration and its socket events are over, and the next has begun."""
        self.late = 0.0
