"""Divides file descriptors between client and backend connections; closes idle client connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .close_reason import CloseReason
from .idle_connections import Awaited, IdleConnections, Use
from .invariants import count
from .stalled_readers import StalledReaders

RESERVED = 24  # descriptors for the log, discovery, peers and connections being closed
# of the descriptors; for connections that find none free, until their first requests are rejected
REFUSED_FRACTION = 1 / 32
MAX_QUEUE_TIME = 0.25  # s for which new connections are left in the queue while no descriptor is free
# The same during an upgrade, when those that were left in the queue for a while have sent requests.
REFUSED_FRACTION_IN_UPGRADE, MIN_REFUSED_IN_UPGRADE = 1 / 16, 2
COMMAND_TIMEOUT = 2.5  # s within which a command must be complete; clients are promised 2 s
IDLE_TIMEOUT = 10.0  # s without a pending RPC after which a client connection is closed
# s without a pending RPC after which a client connection may be evicted, or is closed while many are open;
# clients are promised no less
MIN_IDLE_TIME = 2.0
# s without a pending RPC after which a connection that has sent no RPC may be evicted, or is closed while
# many are open if it has sent nothing at all
MIN_SILENT_TIME = 0.25
TIMEOUT_REPLY = b"-ERR timeout: no whole command has come\r\n"


class Descriptors:
    """Decides who may open a connection. `client_connections` is the gateway's set; set `pool` before use."""

    def __init__(self, limit: int, client_connections: set[Any], now: Callable[[], float]) -> None:
        self.client_connections, self.now = client_connections, now
        self.limit = limit - RESERVED  # of client and backend connections together
        self.is_shared = False  # whether other processes have a part of the gateway's descriptors
        self.may_leave_queued = False  # whether another process may accept, or free descriptors for this one
        self.queue_full_since: float | None = None  # since when queued connections are left unaccepted
        self.idle = IdleConnections()
        self.stalled_readers = StalledReaders(now)
        self.paused: set[Any] = set()  # client connections from which reading is paused
        self.refused: set[Any] = set()  # client connections that found no descriptor free
        self.pool: Any = None

    @property
    def open_count(self) -> int:
        """The number of descriptors that client and backend connections have."""
        return len(self.client_connections) + len(self.pool.open) + len(self.pool.closing)

    def change_limit(self, limit: int) -> None:
        """Change how many client and backend connections may be open together."""
        self.limit = limit
        self.pool.max_connections = (limit + RESERVED) // 2

    def close_excess(self, is_draining: bool) -> None:
        """Close connections beyond the limit: idle ones now, others behind their next answers.

        While draining, backend connections are closed that no client connection can need any more.
        """
        backend_limit = self.pool.max_connections
        if is_draining:
            backend_limit = min(backend_limit, len(self.client_connections))
        while len(self.pool.open) > backend_limit and self.pool.evict_idle():
            pass
        while self.open_count > self.limit and self.evict():
            pass
        if self.open_count <= self.limit:
            return
        others = [each for each in self.client_connections if not each.closing]
        excess = self.open_count - (len(self.client_connections) - len(others)) - self.limit
        others.sort(key=lambda connection: connection.idle_since)
        for connection in others[: max(0, excess)]:
            count("client_connection_closed_for_upgrade")
            connection.close_when_idle(CloseReason.UPGRADE)

    def acceptable_count(self, most: int) -> int:
        """Return how many new connections to accept now, up to `most`; the others stay in the kernel's queue.

        During an upgrade the other process may accept them, or is about to free descriptors for this one.
        Those that have waited for `MAX_QUEUE_TIME` have sent requests, so only as many are accepted as can
        be kept until these are rejected. Each new client is likely to need a backend connection, too.
        """
        if not self.is_shared:
            return most
        while self.room_for_clients() <= 0 and self.evict():
            pass
        room = self.room_for_clients()
        if room > 0:
            self.queue_full_since = None
            return min(-(-room // 2), most)
        if self.is_queue_left():
            return 0
        return min(most, max(0, self.max_refused(self.open_count) - len(self.refused)))

    def is_queue_left(self) -> bool:
        """Return whether new connections are left in the queue because no descriptor is free."""
        if not self.may_leave_queued:
            return False
        now = self.now()
        if self.queue_full_since is None:
            self.queue_full_since = now
        return now - self.queue_full_since < MAX_QUEUE_TIME

    def room_for_clients(self) -> int:
        """Return how many more client connections may be open; less than 0 if there are too many."""
        reserved = max(self.reserved_for_backends(), len(self.pool.open) + len(self.pool.closing))
        if self.is_shared:  # some are kept free for connections that are refused
            reserved += self.max_refused(self.open_count) - len(self.refused)
        return self.limit - reserved - len(self.client_connections)

    def max_refused(self, open_count: int) -> int:
        """Return how many connections that are refused may be open during an upgrade, among `open_count`.

        While more is open than allowed these are few, which have descriptors of `RESERVED`.
        """
        free = self.limit - open_count + len(self.refused)
        return max(MIN_REFUSED_IN_UPGRADE, min(free, int(self.limit * REFUSED_FRACTION_IN_UPGRADE)))

    def reserved_for_backends(self) -> int:
        """Return the descriptors kept for backends: at least an eighth, and a sixteenth beyond those open."""
        return max(self.limit // 8, len(self.pool.open) + self.limit // 16)

    def admit_client_connection(self) -> bool:
        """Return whether an accepted client connection may stay; may evict an idle connection for it."""
        return self.room_for_clients() >= 0 or self.evict()

    def may_keep_refused(self) -> bool:
        """Return whether a connection that found no descriptor free may stay until its requests are rejected.

        It is counted as open already, and has one of those that are reserved for backends; few enough that
        backends always find some.
        """
        if self.is_shared:
            return len(self.refused) < self.max_refused(self.open_count - 1)
        backends = len(self.pool.open) + len(self.pool.closing)
        has_free = len(self.client_connections) + backends + self.limit // 16 < self.limit
        return has_free and len(self.refused) < self.limit * REFUSED_FRACTION

    def admit_backend_connection(self) -> bool:
        """Return whether one more backend connection may be opened; may evict a client connection for it."""
        backends = len(self.pool.open) + len(self.pool.closing)
        return len(self.client_connections) + backends < self.limit or self.evict()

    def evict(self) -> bool:
        """Close the least used idle client connection, of those the longest idle; return whether it did."""
        now = self.now()
        latest = {
            Use.NO_REQUEST: now - MIN_SILENT_TIME,
            Use.ONE_REQUEST: now - MIN_IDLE_TIME,
            Use.SEVERAL_REQUESTS: now - MIN_IDLE_TIME,
        }
        while (victim := self.idle.next_to_evict(latest)) is not None:
            if victim.may_be_replaced():
                count("client_connection_closed_for_another")
                victim.drop()
                return True
            self.idle.defer_eviction(victim)  # unread bytes are work, and so is an answer to be written
        return False

    def sweep(self) -> None:
        """Close connections that are silent, idle, unread, late with a command, or left by their clients."""
        for connection in list(self.paused):
            connection.check_paused()
        for connection in self.stalled_readers.find_stalled():
            connection.close_unread()
        now, is_crowded = self.now(), len(self.client_connections) > self.limit // 8
        self.close_late_commands(now - COMMAND_TIMEOUT)
        self.close_silent(now - (MIN_SILENT_TIME if is_crowded else COMMAND_TIMEOUT))
        for connection in self.idle.expiring[Awaited.NEXT_COMMAND].all_until(
            now - (MIN_IDLE_TIME if is_crowded else IDLE_TIMEOUT)
        ):
            count("client_connection_idle")
            connection.close_when_idle(CloseReason.IDLE)

    def close_late_commands(self, latest: float) -> None:
        """Close connections with an incomplete command that started at `latest` or before."""
        for connection in self.idle.expiring[Awaited.REST_OF_COMMAND].all_until(latest):
            if not connection.has_unread_bytes():
                count("client_connection_without_command")
                connection.reply_and_close(TIMEOUT_REPLY, CloseReason.COMMAND_TIMEOUT)

    def close_silent(self, latest: float) -> None:
        """Close connections that were accepted at `latest` or before and have sent nothing."""
        for connection in self.idle.expiring[Awaited.FIRST_COMMAND].all_until(latest):
            if not connection.has_unread_bytes():
                count("client_connection_silent")
                connection.reply_and_drop(TIMEOUT_REPLY, CloseReason.SILENT)
