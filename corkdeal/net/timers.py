"""The gateway's timers: one heap and one call of the reactor's for all of them.

What is due together is told together, so the decisions hear of it in one call. An attempt that is over needs
no timer any more and is passed over.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any

from .backend_connection import Attempt

LATE_LEAST = 0.01  # s by which a turn has to be late to be told of; less would cost one more turn each time


class Timers:
    """Tokens and attempts by when they are due, in s of the gateway's clock; `due` hears of both.

    `late` tells for the rest of a turn of the reactor by how many s its timers, and so the turn, came late.
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
        """Have a token announced, or an attempt ended, at a time; `arm` has to follow."""
        self.number += 1
        heapq.heappush(self.heap, (due, self.number, what))

    def arm(self) -> None:
        """Wake for the earliest timer; attempts that are over need none."""
        heap = self.heap
        while heap and type(heap[0][2]) is Attempt and heap[0][2].over:
            heapq.heappop(heap)
        if heap and heap[0][0] < self.wake_at:
            if self.wake is not None:
                self.wake.cancel()
            self.wake_at = heap[0][0]
            self.wake = self.reactor.callLater(max(0.0, self.wake_at - self.now()), self.ring)

    def ring(self) -> None:
        """Tell all that is due, at once."""
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
        """The next turn has begun, after the sockets that were ready in the last one."""
        self.late = 0.0
