"""Client connections without work in hand, in the order in which they are to end; no I/O.

Each connection stands in at most one queue by what it is waited for (see `Awaited`), from which it expires,
and in at most one by how much it was used (see `Use`), from which it can be evicted for another one. A
queue is in the order of its times, because a connection that joins one does so with the present time.
So each change and each look at a head is O(1), however many connections are open.
"""

from __future__ import annotations

import enum
import itertools
from collections import OrderedDict
from typing import Any, Protocol


class Awaited(enum.Enum):
    """What a connection is waited for, and from when on."""

    FIRST_COMMAND = enum.auto()  # since it was accepted
    REST_OF_COMMAND = enum.auto()  # since the first byte of a command that has not come whole
    NEXT_COMMAND = enum.auto()  # since it fell idle


class Use(enum.IntEnum):
    """How many requests a connection has brought; the lower, the sooner it is evicted."""

    NEVER_ASKED = 0
    ASKED_ONCE = 1
    ASKED_OFTEN = 2


class Parsing(Protocol):
    """What is asked of a connection's parser."""

    @property
    def midway(self) -> bool:
        """Whether part of a command has come."""


class Connection(Protocol):
    """What is asked of a client connection."""

    waiting: Any  # answers that are owed; true where there are any
    body: Any  # a long value on its way in, which has time limits of its own, or None
    parser: Parsing
    refused: bool  # whether it gets no more answers and ends
    half_closed: bool  # whether its client sends no more
    closing: bool  # whether it ends once it is idle
    spoke: bool  # whether a whole command has come
    asked: int  # requests so far
    since: float  # s; when it was accepted or last fell idle
    begun: float  # s; when the first byte of a command that has not come whole was seen


class TimeOrderedQueue:
    """A set of connections in the order of their times; times of those that join must not decrease."""

    def __init__(self) -> None:
        self.times: OrderedDict[Connection, float] = OrderedDict()

    def put(self, connection: Connection, time: float) -> None:
        """Move to the end, unless it stands here with that time already."""
        if self.times.get(connection) != time:
            self.times[connection] = time
            self.times.move_to_end(connection)

    def discard(self, connection: Connection) -> None:
        """Take it out, if it is here."""
        self.times.pop(connection, None)

    def until(self, latest: float) -> list[Connection]:
        """Those with this time or an earlier one, the earliest first."""
        return list(itertools.takewhile(lambda connection: self.times[connection] <= latest, self.times))

    def head_until(self, latest: float) -> Connection | None:
        """The first one, if its time is this or an earlier one."""
        head = next(iter(self.times), None)
        return head if head is not None and self.times[head] <= latest else None


class IdleConnections:
    """The queues of all idle client connections; `update` has to be called after each change of one."""

    def __init__(self) -> None:
        self.expiring = {awaited: TimeOrderedQueue() for awaited in Awaited}
        self.evictable = {use: TimeOrderedQueue() for use in Use}

    def update(self, connection: Connection) -> None:
        """Put a connection where it belongs by its present state."""
        awaited, use = awaited_of(connection), evictable_as(connection)
        for awaited_here, queue in self.expiring.items():
            if awaited_here is not awaited:
                queue.discard(connection)
            elif awaited is Awaited.REST_OF_COMMAND:
                queue.put(connection, connection.begun)
            else:
                queue.put(connection, connection.since)
        for use_here, queue in self.evictable.items():
            if use_here is use:
                queue.put(connection, connection.since)
            else:
                queue.discard(connection)

    def discard(self, connection: Connection) -> None:
        """It has got work or has ended."""
        for queue in self.expiring.values():
            queue.discard(connection)
        for queue in self.evictable.values():
            queue.discard(connection)

    def next_to_evict(self, latest: dict[Use, float]) -> Connection | None:
        """The least used one, idle for longest among those, that has been so since `latest` of its use."""
        for use, queue in self.evictable.items():
            if (connection := queue.head_until(latest[use])) is not None:
                return connection
        return None

    def keep_until_read(self, connection: Connection) -> None:
        """It has bytes to be read: it is not evicted before they were, which updates it."""
        for queue in self.evictable.values():
            queue.discard(connection)


def awaited_of(connection: Connection) -> Awaited | None:
    """What a connection is waited for; None for one that has work, ends, or has other time limits."""
    if connection.waiting or connection.refused or connection.half_closed or connection.body is not None:
        return None
    if connection.parser.midway:
        return Awaited.REST_OF_COMMAND
    if not connection.spoke:  # also while it is closing: one accepted on standby is so from its start
        return Awaited.FIRST_COMMAND
    return None if connection.closing else Awaited.NEXT_COMMAND


def evictable_as(connection: Connection) -> Use | None:
    """Its use, or None for one that is not evicted. Half a command is no work before the first whole one."""
    if awaited_of(connection) is None:
        return None
    if connection.spoke if connection.parser.midway else connection.closing:
        return None
    return Use(min(connection.asked, Use.ASKED_OFTEN))
