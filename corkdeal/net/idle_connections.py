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


class Awaited(enum.IntEnum):
    """What a connection is waited for, and from when on."""

    FIRST_COMMAND = 0  # since it was accepted
    REST_OF_COMMAND = 1  # since the first byte of a command that has not come whole
    NEXT_COMMAND = 2  # since it fell idle


class Use(enum.IntEnum):
    """How many requests a connection has brought; the lower, the sooner it is evicted."""

    NEVER_ASKED = 0
    ASKED_ONCE = 1
    ASKED_OFTEN = 2


Place = tuple[Awaited, Use | None]  # None where it is not evicted
USES = tuple(Use)
PLACES: dict[Place, Place] = {(a, use): (a, use) for a in Awaited for use in (*Use, None)}  # one object each


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
        self.places: dict[Connection, Place] = {}

    def update(self, connection: Connection) -> None:
        """Put a connection where it belongs by its present state."""
        place = place_of(connection)
        if place is None:
            return self.discard(connection)
        was = self.places.get(connection)
        if was is not place:
            self.places[connection] = place
            if was is not None:
                self.leave(connection, was, place)
        awaited, use = place
        begins_with_command = awaited is Awaited.REST_OF_COMMAND
        self.expiring[awaited].put(connection, connection.begun if begins_with_command else connection.since)
        if use is not None:
            self.evictable[use].put(connection, connection.since)

    def leave(self, connection: Connection, was: Place, place: Place) -> None:
        """Take a connection from the queues in which it was and is no more; in others it keeps its turn."""
        if was[0] is not place[0]:
            self.expiring[was[0]].discard(connection)
        if was[1] is not None and was[1] is not place[1]:
            self.evictable[was[1]].discard(connection)

    def discard(self, connection: Connection) -> None:
        """It has got work or has ended."""
        if (was := self.places.pop(connection, None)) is None:
            return
        awaited, use = was
        self.expiring[awaited].discard(connection)
        if use is not None:
            self.evictable[use].discard(connection)

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


def place_of(connection: Connection) -> Place | None:
    """What a connection is waited for and as what it is evictable; None for one that has work or ends.

    One with a long value on its way in is neither: that has time limits of its own. Half a command is no
    work before the first whole one. One that is closing and has sent nothing still expires, because a
    connection accepted on standby is closing from its start.
    """
    if connection.waiting or connection.refused or connection.half_closed or connection.body is not None:
        return None
    if connection.parser.midway:
        awaited, is_evictable = Awaited.REST_OF_COMMAND, not connection.spoke
    elif not connection.spoke:
        awaited, is_evictable = Awaited.FIRST_COMMAND, not connection.closing
    elif connection.closing:
        return None
    else:
        awaited, is_evictable = Awaited.NEXT_COMMAND, True
    return PLACES[awaited, USES[min(connection.asked, Use.ASKED_OFTEN)] if is_evictable else None]
