"""Finds client connections whose clients have stopped reading their replies; no I/O of its own.

A connection is watched while its transport buffers bytes that the socket did not accept. Nothing else ends
such a connection, since closing it waits until all is written.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

CLIENT_STALL_TIMEOUT = 5.0  # s without a byte taken by the client, after which its connection is closed
CHECK_INTERVAL = 1.0  # s between checks of the watched connections


class Connection(Protocol):
    """The part of a client connection that is used here, or by callers of `StalledReaders`."""

    @property
    def is_awaiting_reply(self) -> bool:
        """Whether a reply is pending and not received yet; it has a deadline of its own."""

    def unsent_bytes(self) -> int:
        """Return the number of bytes written but not yet accepted by the socket."""

    def untaken_bytes(self) -> int:
        """Return the number of bytes written that the client's side has not acknowledged."""

    def close_unread(self) -> None:
        """Close, and discard what the client has not taken."""


@dataclass(slots=True)
class Progress:
    """What a client had not taken at a check, and since when that is so."""

    untaken_bytes: int
    since: float  # s, of the caller's clock


class StalledReaders:
    """The connections with buffered bytes, and the progress of their clients."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.watched: dict[Connection, Progress] = {}
        self.next_check_at = 0.0

    def watch(self, connection: Connection) -> None:
        """Watch a connection until its buffer is empty."""
        if connection not in self.watched:
            self.watched[connection] = Progress(connection.untaken_bytes(), self.now())

    def discard(self, connection: Connection) -> None:
        """Stop watching a connection."""
        self.watched.pop(connection, None)

    def find_stalled(self) -> list[Connection]:
        """Return the connections whose clients took no byte for `CLIENT_STALL_TIMEOUT`."""
        now = self.now()
        if now < self.next_check_at:
            return []
        self.next_check_at = now + CHECK_INTERVAL
        return [connection for connection in list(self.watched) if self._is_stalled(connection, now)]

    def _is_stalled(self, connection: Connection, now: float) -> bool:
        progress = self.watched[connection]
        if not connection.unsent_bytes():
            self.discard(connection)
            return False
        untaken_bytes = connection.untaken_bytes()
        if untaken_bytes != progress.untaken_bytes or connection.is_awaiting_reply:
            self.watched[connection] = Progress(untaken_bytes, now)
            return False
        return now - progress.since >= CLIENT_STALL_TIMEOUT
