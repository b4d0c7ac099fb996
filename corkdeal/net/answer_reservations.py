"""Reservations of memory for large answers that are collected whole; no I/O.

An answer with further requests behind it is forwarded only once all of it has been received. Its memory is
reserved before, so that what has been begun can be completed; without room it waits, with its backend paused.
Answers that are next on their connections may use all of the room, others only a part of it, since they can
not be forwarded before those that are next.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from .resp import MAX_VALUE

if TYPE_CHECKING:
    from .budget import Budget

ANSWER_SHARE = 0.5  # of the budget's high mark
AHEAD_SHARE = 0.5  # of the room for answers; for those that are not next on their connections


class CollectedAnswer(Protocol):
    """An answer that reserves memory."""

    held_bytes: int

    def is_next(self) -> bool:
        """Return whether all earlier answers of its connection have been written."""

    def proceed(self) -> None:
        """Try to reserve again: there is free space."""


class AnswerReservations:
    """The part of the memory budget that is reserved for answers, and the answers that wait for it."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.update_limits()
        self.total = 0  # bytes reserved
        # The answers that wait for room, in order: those that are next on their connections, and the others.
        # The values are the sizes in bytes that they have asked for.
        self.waiting_next: dict[CollectedAnswer, int] = {}
        self.waiting_ahead: dict[CollectedAnswer, int] = {}
        self.is_waking = False

    def update_limits(self) -> None:
        """Set the limits in bytes that follow from the budget's."""
        self.limit = max(MAX_VALUE, int(self.budget.high_mark * ANSWER_SHARE))
        self.ahead_limit = int(self.limit * AHEAD_SHARE)

    def reserve(self, answer: CollectedAnswer, size: int) -> bool:
        """Reserve `size` bytes in all for an answer; without room it waits, and False is returned."""
        if self._has_room(answer, size):
            self._end_wait(answer)
            self.set_held(answer, size)
            return True
        if answer.is_next():
            self.waiting_ahead.pop(answer, None)
            self.waiting_next[answer] = size
            self.budget.update_body_pause()
        else:
            self.waiting_ahead[answer] = size
        return False

    @property
    def wanted(self) -> int:
        """The bytes that bodies have to leave for the first answer that is next on its connection.

        That is 0 if the answer waits for others that are collected, and not for bodies, and if it is larger
        than the budget.
        """
        size = next(iter(self.waiting_next.values()), 0)
        has_room = size <= self.budget.limit and self._is_within_limit(self.total, size)
        return size if has_room else 0

    def _has_room(self, answer: CollectedAnswer, size: int) -> bool:
        """Return whether an answer may hold `size` bytes; one that is next may if no other one holds any."""
        others = self.total - answer.held_bytes
        if not self._fits_budget(
            self.budget.total - answer.held_bytes, size, answer.is_next() and not others
        ):
            return False
        if answer.is_next():
            return self._is_within_limit(others, size)
        return others + size <= self.ahead_limit

    def _is_within_limit(self, others: int, size: int) -> bool:
        """Return whether the answers' part has room besides `others`; any value fits an empty one."""
        return not others or others + size <= self.limit

    def _fits_budget(self, others: int, size: int, is_only: bool) -> bool:
        """Return whether the budget has room besides what `others` hold; any value fits an empty one.

        The only one may take the budget to its limit, so that there is progress whatever waits.
        """
        return not others or others + size <= (self.budget.limit if is_only else self.budget.high_mark)

    def _end_wait(self, answer: CollectedAnswer) -> None:
        self.waiting_next.pop(answer, None)
        self.waiting_ahead.pop(answer, None)

    def set_held(self, answer: CollectedAnswer, size: int) -> None:
        """Set the number of bytes that an answer has reserved, or still holds."""
        self.total += size - answer.held_bytes
        self.budget.set_held(answer, size)

    def discard(self, answer: CollectedAnswer) -> None:
        """End an answer's wait, and free what it holds."""
        self._end_wait(answer)
        self.set_held(answer, 0)

    @property
    def has_waiting(self) -> bool:
        """Whether an answer waits for room."""
        return bool(self.waiting_next or self.waiting_ahead)

    @property
    def waiting_count(self) -> int:
        """The number of answers that wait for room."""
        return len(self.waiting_next) + len(self.waiting_ahead)

    def wake(self) -> None:
        """Have waiting answers try again, in their order, until one has to wait longer."""
        if self.is_waking:
            return
        self.is_waking = True
        try:
            for queue in (self.waiting_next, self.waiting_ahead):
                while queue:
                    first = next(iter(queue))
                    first.proceed()
                    if first in queue:
                        break
        finally:
            self.is_waking = False
