"""The process's memory budget: whatever clients and backends make it hold; no I/O and no clock.

Each holder reports how many bytes it holds: a client connection (itself, unparsed input, pending requests,
answers that its client has not taken), a backend connection within a reply, the body of a command, a long
answer (see `answer_reservations`), and the customers' accounts. Pressure grows in three steps:

- Above the crowded mark connections may have few pending requests, and read less at once.
- Above the high mark only the oldest incomplete body may grow, and no new long value is begun; of what else
  clients send little is read at once. At the low mark the waiting holders resume, in the order in which they
  began to wait. While a long answer waits for room, both marks are lower for bodies, by its size.
- Above the limit no body may grow, new requests are rejected, those with a long value by their heads, and
  answers are not kept for clients that do not take them.

Among incomplete bodies the oldest can be received completely, since the high mark is one longest value below
the limit, and complete ones are freed by their deadlines. A budget that is too small for the longest value
(see `process_limits`) takes bodies up to a shorter length.
"""

from __future__ import annotations

import enum
from collections import deque
from typing import Protocol

from .answer_reservations import AnswerReservations
from .resp import MAX_INLINE_VALUE, MAX_VALUE

LOW_MARK_FRACTION = 0.75  # of the high mark; waiting holders resume at or below it
CROWDED_FRACTION = 0.5  # of the limit
WAITING_ANSWERS_FRACTION = 0.35  # of the limit; for answers that wait for their turn or for their clients
MIN_BUDGET = 2 * MAX_VALUE  # bytes; with less, one long value would block all others
LONGEST_BODY_FRACTION = 0.75  # of a budget; a body that is longer is rejected by its head
MIN_SHARED_BUDGET = 1 << 20  # bytes; the least while processes share a limit, besides names and connections
IDLE_MEMORY = 30 << 20  # bytes that one process uses before its first client
MEMORY_RESERVE = 10 << 20  # bytes of the limit that are in no budget, however many processes there are
PROCESS_MEMORY = IDLE_MEMORY + MEMORY_RESERVE
HELD_FRACTION = 0.55  # of the rest of the limit; the allocator and objects of short life need some, too
CONNECTION_MEMORY = 5 << 10  # bytes of a client connection that is idle
ITEM_MEMORY = 200  # bytes of one item of an incomplete command, without its content
REQUEST_MEMORY = 3 << 10  # bytes of a pending request without its command, with its records and timers
ACCOUNT_MEMORY = 800  # bytes of one customer's account, with its place in tables
ACCOUNT_FRACTION = 0.2  # of the budget; for customers' accounts
ID_MEMORY = 200  # bytes of the id of a request that has ended
ID_FRACTION = 0.03  # of the budget; for such ids
MIN_READ_SIZE = 8 << 10  # bytes read at once from one client, and of a reply that begins
MIN_READ_SIZE_WHEN_FULL = 1 << 10  # bytes; the head of a message, and little of the value behind it
MAX_READ_SIZE = 64 << 10
READ_ROOM_FRACTION = 1 / 8  # of the free bytes; for one read of each incomplete body


def budget_for(limit: int) -> int:
    """The budget in bytes, given the memory limit of the process."""
    return max(MIN_BUDGET, int((limit - PROCESS_MEMORY) * HELD_FRACTION))


def max_accounts(limit: int) -> int:
    """The number of customers' accounts to keep, given the memory limit of the process."""
    return int(budget_for(limit) * ACCOUNT_FRACTION / ACCOUNT_MEMORY)


def max_kept_ids(limit: int) -> int:
    """The number of ids of ended requests to keep, given the memory limit of the process."""
    return int(budget_for(limit) * ID_FRACTION / ID_MEMORY)


def max_open_ids(limit: int) -> int:
    """The number of ids that may be open or kept, given the memory limit of the process."""
    return budget_for(limit) // REQUEST_MEMORY + max_kept_ids(limit)


class Pressure(enum.StrEnum):
    """How much of the budget is used; the values are field values of the log."""

    NONE = "none"
    CROWDED = "crowded"
    FULL = "full"
    EXHAUSTED = "exhausted"


class Holder(Protocol):
    """Something that holds a part of the budget."""

    held_bytes: int


class Waiter(Holder, Protocol):
    """A holder that may have to wait for free space."""

    def pause_for_space(self) -> None:
        """Stop growing for now."""

    def resume_with_space(self) -> None:
        """Resume: there is free space again."""


class Body(Waiter, Protocol):
    """The long value of a command that is being received."""

    remaining_bytes: int  # still to be received

    def evict(self) -> None:
        """End it and free what it holds, because the budget has become smaller."""


class Budget:
    """Keeps track of what is held, of incomplete bodies and of waiting holders."""

    def __init__(self, limit: int) -> None:
        self._set_marks(limit, 0)
        self.total = 0
        self.waiting_answers = 0  # bytes, a part of the total
        self.incomplete_bodies: dict[Body, None] = {}  # the oldest first
        self.waiting_bodies: deque[Waiter] = deque()
        self.waiting: deque[Waiter] = deque()  # other holders
        self.are_bodies_paused = False  # whether the total is above the mark for bodies
        self.answers = AnswerReservations(self)

    def _set_marks(self, limit: int, fixed: int) -> None:
        """Set the limit in bytes, and the marks that follow from it.

        `fixed` is the part of the limit for what requests neither use nor free: names and connections.
        """
        self.limit = limit
        self.longest_body = min(MAX_VALUE, int((limit - fixed) * LONGEST_BODY_FRACTION))
        self.high_mark = limit - self.longest_body
        self.low_mark = int(self.high_mark * LOW_MARK_FRACTION)
        self.crowded_mark = int(limit * CROWDED_FRACTION)
        self.max_waiting_answers = int(limit * WAITING_ANSWERS_FRACTION)

    def change_limit(self, limit: int, fixed: int) -> None:
        """Change the limit; `_set_marks` has the arguments.

        The newest bodies end until there is room for short requests beside the others.
        """
        self._set_marks(limit, fixed)
        self.answers.update_limits()
        for body in reversed(list(self.incomplete_bodies)):
            if self.total <= limit - MIN_SHARED_BUDGET:
                break
            body.evict()
        self.update_body_pause()
        self.resume_waiting()
        self.resume_oldest()
        self.answers.wake()

    @property
    def committed(self) -> int:
        """The bytes that are held, and those that bodies which are being received will hold as well."""
        return self.total + sum(body.remaining_bytes for body in self.incomplete_bodies)

    @property
    def is_full(self) -> bool:
        """Whether the total is above the high mark."""
        return self.total > self.high_mark

    @property
    def body_mark(self) -> int:
        """The total in bytes above which only the oldest body may grow: bodies leave room for an answer."""
        return self.high_mark - self.answers.wanted

    @property
    def is_crowded(self) -> bool:
        """Whether the total is above the crowded mark."""
        return self.total > self.crowded_mark

    @property
    def is_exhausted(self) -> bool:
        """Whether the total has reached the limit."""
        return self.total >= self.limit

    @property
    def pressure(self) -> Pressure:
        """The step that the total has reached."""
        if self.is_exhausted:
            return Pressure.EXHAUSTED
        if self.is_full:
            return Pressure.FULL
        return Pressure.CROWDED if self.is_crowded else Pressure.NONE

    def may_keep_answer(self, size: int) -> bool:
        """Return whether an answer of that size may wait for its turn or for its client."""
        return self.waiting_answers + size <= self.max_waiting_answers and self.total + size <= self.limit

    def command_read_size(self) -> int:
        """Return how many bytes to read at once from a client that is not sending a body."""
        return MIN_READ_SIZE_WHEN_FULL if self.is_full else MIN_READ_SIZE

    def reply_read_size(self) -> int:
        """Return how many bytes to read of a reply that begins: it may have to wait for room."""
        return MIN_READ_SIZE_WHEN_FULL if self.is_crowded else MIN_READ_SIZE

    def value_read_size(self) -> int:
        """Return how many bytes to read at once of a reply's long value."""
        return MIN_READ_SIZE if self.is_crowded else MAX_READ_SIZE

    def body_read_size(self) -> int:
        """Return how many bytes of a body to read at once: less where many bodies share little room."""
        room = (self.limit - self.total) * READ_ROOM_FRACTION / max(1, len(self.incomplete_bodies))
        return int(max(MIN_READ_SIZE, min(MAX_READ_SIZE, room)))

    def add_body(self, body: Body) -> None:
        """Add a body that is beginning to arrive; without free space it has to wait."""
        self.incomplete_bodies[body] = None
        if self.total > self.body_mark:
            self.make_wait(body)

    def remove_body(self, body: Body) -> None:
        """Remove a body that is complete or no longer wanted; the next oldest one may then grow."""
        if body in self.incomplete_bodies:
            self.stop_waiting(body)
            del self.incomplete_bodies[body]
            self.resume_oldest()

    def set_held(self, holder: Holder, size: int) -> None:
        """Set the number of bytes that a holder has."""
        added = size - holder.held_bytes
        self.total += added
        holder.held_bytes = size
        if not (self.are_bodies_paused or self.has_waiting or self.total > self.high_mark):
            return  # nobody is to wait, or to be resumed
        if not self.update_body_pause() and holder in self.incomplete_bodies and self.are_bodies_paused:
            self.make_wait(holder)
        self.resume_waiting()
        if added < 0:
            self.resume_oldest()
            self.answers.wake()

    @property
    def has_waiting(self) -> bool:
        """Whether a body, an answer or another holder waits for free space."""
        return bool(self.waiting or self.waiting_bodies or self.answers.has_waiting)

    def update_body_pause(self) -> bool:
        """Make bodies wait if the total is above their mark now; return whether that is new."""
        were_paused, self.are_bodies_paused = self.are_bodies_paused, self.total > self.body_mark
        if were_paused or not self.are_bodies_paused:
            return False
        for body in list(self.incomplete_bodies):
            self.make_wait(body)
        return True

    def resume_waiting(self) -> None:
        """Resume waiting holders while the total is at or below the low mark."""
        while self.waiting and self.total <= self.low_mark:
            self.waiting.popleft().resume_with_space()
        while self.waiting_bodies and self.total <= self.body_mark * LOW_MARK_FRACTION:
            self.waiting_bodies.popleft().resume_with_space()

    def make_wait(self, holder: Waiter) -> None:
        """Make a holder wait for free space, unless it is the oldest body and within the limit."""
        queue = self.queue_of(holder)
        if holder not in queue and not self._is_oldest_within_limit(holder):
            queue.append(holder)
            holder.pause_for_space()

    def queue_of(self, holder: Waiter) -> deque[Waiter]:
        """Return the queue in which a holder would wait."""
        return self.waiting_bodies if holder in self.incomplete_bodies else self.waiting

    def _is_oldest_within_limit(self, holder: Waiter) -> bool:
        """Return whether a holder is the oldest body and may take one more piece.

        When the oldest began to grow alone, the total may have been one piece above the high mark.
        """
        is_oldest = bool(self.incomplete_bodies) and holder is next(iter(self.incomplete_bodies))
        return is_oldest and self.total <= self.limit + MAX_INLINE_VALUE

    def resume_oldest(self) -> None:
        """Resume the oldest body, if it is waiting and within the limit."""
        if self.waiting_bodies and self.total <= self.limit:
            oldest = next(iter(self.incomplete_bodies))
            if oldest in self.waiting_bodies:
                self.waiting_bodies.remove(oldest)
                oldest.resume_with_space()

    def stop_waiting(self, holder: Waiter) -> None:
        """Stop a holder's wait without resuming it."""
        queue = self.queue_of(holder)
        if holder in queue:
            queue.remove(holder)
