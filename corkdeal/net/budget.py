"""One budget of memory a process, for what long values keep waiting here; it does no I/O and reads no clock.

Each holder (a command's body that comes, or an answer that its client has not taken yet) says what it
holds. Past the high mark nobody grows but the oldest body, and no new long value is begun; below the low
mark those that wait go on, in the order in which they had to. The oldest body may always come whole, for
the high mark lies one whole value below the budget: so somebody moves at any time, and the total never
passes the budget by more than a piece.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from .resp import MOST_VALUE

LOW_PART = 0.75  # of the high mark, below which those that wait go on
LEAST = 2 * MOST_VALUE  # bytes; with less than that one long value would keep all others out
OWN = 48 << 20  # bytes that the process takes without any long value, at usual loads
PART = 0.5  # of the rest of the limit, for long values; the allocator and transports need some


def budget_for(limit: int) -> int:
    """Bytes for long values under a limit on the whole process."""
    return max(LEAST, int((limit - OWN) * PART))


class Holder(Protocol):
    """What may hold some of the budget."""

    kept: int


class Waiter(Holder, Protocol):
    """What may have to wait for room."""

    def hold_back(self) -> None:
        """Grow no further for now."""

    def go_on(self) -> None:
        """There is room again."""


class Budget:
    """Who holds how much, who comes, and who waits."""

    def __init__(self, most: int) -> None:
        self.most, self.high = most, most - MOST_VALUE
        self.low = int(self.high * LOW_PART)
        self.total = 0
        self.coming: dict[Waiter, None] = {}  # bodies that are not whole yet, the oldest first
        self.waiting: deque[Waiter] = deque()

    @property
    def full(self) -> bool:
        """Whether the high mark is passed."""
        return self.total > self.high

    def join(self, body: Waiter) -> None:
        """A body begins to come; where there is no room it waits."""
        self.coming[body] = None
        if self.full:
            self.keep_out(body)

    def whole(self, body: Waiter) -> None:
        """It comes no further: all is there, or nobody wants the rest. The next one is the oldest now."""
        if body in self.coming:
            del self.coming[body]
            self.forget(body)
            if self.coming:
                self.let_on(next(iter(self.coming)))

    def hold(self, holder: Holder, size: int) -> None:
        """That is what it holds from now on."""
        was, self.total = self.full, self.total + size - holder.kept
        holder.kept = size
        if self.full and not was:
            for body in list(self.coming):
                self.keep_out(body)
        elif self.full and holder in self.coming:
            self.keep_out(holder)
        while self.waiting and self.total <= self.low:
            self.waiting.popleft().go_on()

    def keep_out(self, holder: Waiter) -> None:
        """It waits for room, unless it is the oldest body."""
        if holder not in self.waiting and not (self.coming and holder is next(iter(self.coming))):
            self.waiting.append(holder)
            holder.hold_back()

    def let_on(self, holder: Waiter) -> None:
        """It need not wait any more."""
        if holder in self.waiting:
            self.waiting.remove(holder)
            holder.go_on()

    def forget(self, holder: Waiter) -> None:
        """It waits no more, and does not go on either."""
        if holder in self.waiting:
            self.waiting.remove(holder)
