"""Queues of idle client connections, in the order in which they expire or are evicted; no I/O.

A connection is in at most one queue by what is awaited on it (see `Awaited`), from which it expires, and in
at most one by how much it was used (see `Use`), from which it can be evicted in favour of another connection.
Queues are ordered by time, because a connection always joins one with the current time. So each change and
each access to a head is O(1), however many connections are open.
"""

from __future__ import annotations

import enum
import itertools
from collections import OrderedDict
from typing import Any, Protocol


class Awaited(enum.IntEnum):
    """What the gateway awaits on a connection, and since when."""

    FIRST_COMMAND = 0  # since it was accepted
    REST_OF_COMMAND = 1  # since the first byte of an incomplete command
    NEXT_COMMAND = 2  # since it became idle


class Use(enum.IntEnum):
    """How many requests a connection has sent so far; the fewer, the sooner it is evicted."""

    NO_REQUEST = 0
    ONE_REQUEST = 1
    SEVERAL_REQUESTS = 2


Placement = tuple[Awaited, Use | None]  # None if it can't be evicted
USES = tuple(Use)
# one shared object for each placement, so that placements compare by identity
PLACEMENTS: dict[Placement, Placement] = {(a, use): (a, use) for a in Awaited for use in (*Use, None)}


class ParserState(Protocol):
    """The part of a connection's parser that is used here."""

    @property
    def has_partial_frame(self) -> bool:
        """Whether part of a command was received."""


class Connection(Protocol):
    """The part of a client connection that is used here."""

    pending_replies: Any  # pending replies; true if there are any
    has_unparsed_input: bool  # whether commands that were read wait for their turn
    body: Any  # a large value being received, which has its own timeouts, or None
    parser: ParserState
    terminating: bool  # whether it is being closed and gets no further replies
    half_closed: bool  # whether its client has sent its FIN
    closing: bool  # whether it is closed once idle
    has_sent_command: bool  # whether a complete command was read
    request_count: int  # RPCs so far
    idle_since: float  # s; when it was accepted or last became idle
    command_started_at: float  # s; when the first byte of an incomplete command was read


class TimeOrderedQueue:
    """A set of connections ordered by time; the times of connections added must not decrease."""

    def __init__(self) -> None:
        self.times: OrderedDict[Connection, float] = OrderedDict()

    def put(self, connection: Connection, time: float) -> None:
        """Add a connection at the end, or move it there; keep its position if its time is the same."""
        if self.times.get(connection) != time:
            self.times[connection] = time
            self.times.move_to_end(connection)

    def discard(self, connection: Connection) -> None:
        """Remove a connection, if it is in the queue."""
        self.times.pop(connection, None)

    def all_until(self, latest: float) -> list[Connection]:
        """Return the connections with a time up to `latest`, the earliest first."""
        return list(itertools.takewhile(lambda connection: self.times[connection] <= latest, self.times))

    def head_until(self, latest: float) -> Connection | None:
        """Return the first connection, if its time is `latest` or before."""
        head = next(iter(self.times), None)
        return head if head is not None and self.times[head] <= latest else None


class IdleConnections:
    """The queues of all idle client connections; call `update` after each change of a connection."""

    def __init__(self) -> None:
        self.expiring = {awaited: TimeOrderedQueue() for awaited in Awaited}
        self.evictable = {use: TimeOrderedQueue() for use in Use}
        self.placements: dict[Connection, Placement] = {}

    def update(self, connection: Connection) -> None:
        """Move a connection to the queues for its current state."""
        placement = placement_of(connection)
        if placement is None:
            return self.discard(connection)
        previous = self.placements.get(connection)
        if previous is not placement:
            self.placements[connection] = placement
            if previous is not None:
                self.leave_queues(connection, previous, placement)
        awaited, use = placement
        has_partial_command = awaited is Awaited.REST_OF_COMMAND
        self.expiring[awaited].put(
            connection, connection.command_started_at if has_partial_command else connection.idle_since
        )
        if use is not None:
            self.evictable[use].put(connection, connection.idle_since)

    def leave_queues(self, connection: Connection, previous: Placement, placement: Placement) -> None:
        """Remove a connection from its former queues; in queues that it stays in, it keeps its position."""
        if previous[0] is not placement[0]:
            self.expiring[previous[0]].discard(connection)
        if previous[1] is not None and previous[1] is not placement[1]:
            self.evictable[previous[1]].discard(connection)

    def discard(self, connection: Connection) -> None:
        """Remove a connection that has got work or is closed."""
        if (previous := self.placements.pop(connection, None)) is None:
            return
        awaited, use = previous
        self.expiring[awaited].discard(connection)
        if use is not None:
            self.evictable[use].discard(connection)

    def next_to_evict(self, latest: dict[Use, float]) -> Connection | None:
        """Return the least used connection, idle for longest among those, or None.

        Only connections idle since `latest[use]` or before are considered.
        """
        for use, queue in self.evictable.items():
            if (connection := queue.head_until(latest[use])) is not None:
                return connection
        return None

    def defer_eviction(self, connection: Connection) -> None:
        """Do not evict a connection with bytes to be read or written; doing that will call `update`."""
        for queue in self.evictable.values():
            queue.discard(connection)


def placement_of(connection: Connection) -> Placement | None:
    """Return what is awaited on a connection, and its use if it can be evicted; None if it is in no queue.

    A connection that has work or is being closed is in no queue. Nor is one that is receiving a large value,
    which has its own timeouts. A partial command counts as work only after a complete one. A closing
    connection that has sent nothing still expires: those accepted on standby are closing from the start.
    """
    if (
        connection.pending_replies
        or connection.terminating
        or connection.half_closed
        or connection.body is not None
        or connection.has_unparsed_input
    ):
        return None
    if connection.parser.has_partial_frame:
        awaited, is_evictable = Awaited.REST_OF_COMMAND, not connection.has_sent_command
    elif not connection.has_sent_command:
        awaited, is_evictable = Awaited.FIRST_COMMAND, not connection.closing
    elif connection.closing:
        return None
    else:
        awaited, is_evictable = Awaited.NEXT_COMMAND, True
    return PLACEMENTS[
        awaited, USES[min(connection.request_count, Use.SEVERAL_REQUESTS)] if is_evictable else None
    ]
