"""The process's memory budget for buffered long values; it does no I/O and reads no clock.

Each holder (the body of a command until its reply, an answer that its client has not read yet, or one
that is being collected, see `answer_reservations`) reports how many bytes it holds. Above the high mark only
the oldest incomplete body may grow, and no new long value is begun; above the limit none may. At the low mark
the waiting holders resume, in the order in which they began to wait. Among incomplete bodies the oldest can
always be received completely, since the high mark is one longest value below the limit, and complete ones
are freed by their deadlines. So there is always progress, and the total never exceeds the limit by more than
two pieces.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from .answer_reservations import AnswerReservations
from .resp import MAX_INLINE_VALUE, MAX_VALUE

LOW_MARK_FRACTION = 0.75  # of the high mark; waiting holders resume at or below it
MIN_BUDGET = 2 * MAX_VALUE  # bytes; with less, one long value would block all others
BASE_MEMORY = 48 << 20  # bytes that the process uses without long values, at usual loads
ACCOUNT_MEMORY = 800  # bytes of one customer's account, with its place in tables
ACCOUNT_FRACTION = 0.25  # of the budget; for customers' accounts
LONG_VALUE_FRACTION = 0.5  # of the rest of the limit; the allocator and transports need some, too


def budget_for(limit: int) -> int:
    """The budget in bytes, given the memory limit of the process."""
    return max(MIN_BUDGET, int((limit - BASE_MEMORY) * LONG_VALUE_FRACTION))


def max_accounts(limit: int) -> int:
    """The number of customers' accounts to keep, given the memory limit of the process."""
    return int(budget_for(limit) * ACCOUNT_FRACTION / ACCOUNT_MEMORY)


class Holder(Protocol):
    """Something that holds a part of the budget."""

    held_bytes: int


class Waiter(Holder, Protocol):
    """A holder that may have to wait for free space."""

    def pause_for_space(self) -> None:
        """Stop growing for now."""

    def resume_with_space(self) -> None:
        """Resume: there is free space again."""


class Budget:
    """Keeps track of what is held, of incomplete bodies and of waiting holders."""

    def __init__(self, limit: int) -> None:
        self.limit, self.high_mark = limit, limit - MAX_VALUE
        self.low_mark = int(self.high_mark * LOW_MARK_FRACTION)
        self.total = 0
        self.incomplete_bodies: dict[Waiter, None] = {}  # the oldest first
        self.waiting: deque[Waiter] = deque()
        self.answers = AnswerReservations(self)

    @property
    def is_full(self) -> bool:
        """Whether the total is above the high mark."""
        return self.total > self.high_mark

    def add_body(self, body: Waiter) -> None:
        """Add a body that is beginning to arrive; without free space it has to wait."""
        self.incomplete_bodies[body] = None
        if self.is_full:
            self.make_wait(body)

    def remove_body(self, body: Waiter) -> None:
        """Remove a body that is complete or no longer wanted; the next oldest one may then grow."""
        if body in self.incomplete_bodies:
            del self.incomplete_bodies[body]
            self.stop_waiting(body)
            self.resume_oldest()

    def set_held(self, holder: Holder, size: int) -> None:
        """Set the number of bytes that a holder has."""
        was_full, added = self.is_full, size - holder.held_bytes
        self.total += added
        holder.held_bytes = size
        if self.is_full and not was_full:
            for body in list(self.incomplete_bodies):
                self.make_wait(body)
        elif self.is_full and holder in self.incomplete_bodies:
            self.make_wait(holder)
        while self.waiting and self.total <= self.low_mark:
            self.waiting.popleft().resume_with_space()
        if added < 0:
            self.resume_oldest()
            self.answers.wake()

    def make_wait(self, holder: Waiter) -> None:
        """Make a holder wait for free space, unless it is the oldest body and within the limit."""
        if holder not in self.waiting and not self._is_oldest_within_limit(holder):
            self.waiting.append(holder)
            holder.pause_for_space()

    def _is_oldest_within_limit(self, holder: Waiter) -> bool:
        """Return whether a holder is the oldest body and may take one more piece.

        When the oldest began to grow alone, the total may have been one piece above the high mark.
        """
        is_oldest = bool(self.incomplete_bodies) and holder is next(iter(self.incomplete_bodies))
        return is_oldest and self.total <= self.limit + MAX_INLINE_VALUE

    def resume_oldest(self) -> None:
        """Resume the oldest body, if it is waiting and within the limit."""
        if self.waiting and self.incomplete_bodies and self.total <= self.limit:
            self.resume(next(iter(self.incomplete_bodies)))

    def resume(self, holder: Waiter) -> None:
        """Resume a holder, if it is waiting."""
        if holder in self.waiting:
            self.waiting.remove(holder)
            holder.resume_with_space()

    def stop_waiting(self, holder: Waiter) -> None:
        """Stop a holder's wait without resuming it."""
        if holder in self.waiting:
            self.waiting.remove(holder)
