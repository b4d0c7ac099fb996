"""Shares the event loop among client connections: how long each may handle commands before the others' turn.

A connection handles what was read at once, for a slice of time. What is left, and what is read while all of
them together have used up their part of the loop, waits in a queue, of which each reactor iteration handles a
part in turn. So timers, backends and short commands of others wait for a few slices only.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

SLICE_TIME = 0.002  # s for which one connection handles commands
TURN_TIME = 0.01  # s for which the queue is handled in one reactor iteration, or commands within a window
WINDOW = 0.02  # s


class Connection(Protocol):
    """A connection whose input waits."""

    def parse_commands(self) -> None:
        """Handle commands for one slice; call `add` if some are left."""


class ParsingQueue:
    """The connections with unparsed input, in the order of their turns; `now` returns the time in s."""

    def __init__(self, reactor: Any, now: Callable[[], float]) -> None:
        self.reactor, self.now = reactor, now
        self.waiting: dict[Connection, None] = {}
        self.is_scheduled = False
        self.window_ends_at = 0.0  # s
        self.used_time = 0.0  # s for which commands were handled at once in the present window

    def has_time(self) -> bool:
        """Return whether input that was just read may be handled at once."""
        now = self.now()
        if now >= self.window_ends_at:
            self.window_ends_at, self.used_time = now + WINDOW, 0.0
        return self.used_time < TURN_TIME

    def record_use(self, seconds: float) -> None:
        """Record that input was handled at once."""
        self.used_time += seconds

    def add(self, connection: Connection) -> None:
        """Queue a connection for its turn."""
        self.waiting[connection] = None
        self._schedule()

    def discard(self, connection: Connection) -> None:
        """Remove a connection that has ended."""
        self.waiting.pop(connection, None)

    def _schedule(self) -> None:
        if not self.is_scheduled:
            self.is_scheduled = True
            self.reactor.callLater(0, self._run)

    def _run(self) -> None:
        """Give the connections their turns, until the time of this iteration is used up."""
        self.is_scheduled = False
        ends_at = self.now() + TURN_TIME
        turns = len(self.waiting)
        while self.waiting and turns and self.now() < ends_at:
            connection = next(iter(self.waiting))
            del self.waiting[connection]
            connection.parse_commands()
            turns -= 1
        if self.waiting:
            self._schedule()
