"""Divides file descriptors between client and backend connections; closes idle client connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .idle_connections import Awaited, IdleConnections, Use
from .invariants import count

SPARE = 24  # reserved for the log, discovery, peers and connections being closed
COMMAND_LATE = 2.5  # s within which a command must be complete; clients are promised 2 s
IDLE_MOST = 10.0  # s without a pending RPC after which a client connection is closed
IDLE_LEAST = 2.0  # s, the same while descriptors are short; clients are promised no less
SILENT_LEAST = 0.25  # s, the same for silent connections, and for evicting one that sent only PINGs
LATE = b"-ERR timeout: no whole command has come\r\n"


class Descriptors:
    """Decides who may open a connection. `client_connections` is the gateway's set; set `pool` before use."""

    def __init__(self, most: int, client_connections: set[Any], now: Callable[[], float]) -> None:
        self.most, self.client_connections, self.now = most - SPARE, client_connections, now
        self.idle = IdleConnections()
        self.paused: set[Any] = set()  # client connections from which reading is paused
        self.pool: Any = None

    def for_pool(self) -> int:
        """Return the descriptors reserved for backends: an eighth, at least those in use and a sixteenth."""
        return max(self.most // 8, len(self.pool.open) + self.most // 16)

    def for_client_connection(self) -> bool:
        """Return whether an accepted client connection may stay; may evict an idle connection for it."""
        for_pool = max(self.for_pool(), len(self.pool.open) + len(self.pool.closing))
        return len(self.client_connections) + for_pool <= self.most or self.evict()

    def for_backend_connection(self) -> bool:
        """Return whether one more backend connection may be opened; may evict a client connection for it."""
        backends = len(self.pool.open) + len(self.pool.closing)
        return len(self.client_connections) + backends < self.most or self.evict()

    def evict(self) -> bool:
        """Close the least used client connection, idle for longest among those; none that has work."""
        now = self.now()
        latest = {
            Use.NO_REQUEST: now - SILENT_LEAST,
            Use.ONE_REQUEST: now - IDLE_LEAST,
            Use.SEVERAL_REQUESTS: now - IDLE_LEAST,
        }
        while (victim := self.idle.next_to_evict(latest)) is not None:
            if not victim.has_unread_bytes():
                count("client_connection_closed_for_another")
                victim.drop()
                return True
            self.idle.keep_until_read(victim)  # its unread bytes are work
        return False

    def sweep(self) -> None:
        """Close connections that are silent, idle, late with a command, or whose clients disconnected."""
        for each in list(self.paused):
            each.check_paused()
        now, many = self.now(), len(self.client_connections) > self.most // 8
        self.sweep_half_commands(now - COMMAND_LATE)
        self.sweep_silent(now - (SILENT_LEAST if many else COMMAND_LATE))
        for each in self.idle.expiring[Awaited.NEXT_COMMAND].until(now - (IDLE_LEAST if many else IDLE_MOST)):
            count("client_connection_idle")
            each.close_when_idle()

    def sweep_half_commands(self, latest: float) -> None:
        """Close connections with an incomplete command that started at `latest` or before."""
        for each in self.idle.expiring[Awaited.REST_OF_COMMAND].until(latest):
            if not each.has_unread_bytes():
                count("client_connection_without_command")
                each.reply_and_close(LATE)

    def sweep_silent(self, latest: float) -> None:
        """Close connections that were accepted at `latest` or before and have sent nothing."""
        for each in self.idle.expiring[Awaited.FIRST_COMMAND].until(latest):
            if not each.has_unread_bytes():
                count("client_connection_silent")
                each.reply_and_drop(LATE)
