"""Shares descriptors between clients and backends; ends client connections that hold one for nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .idle_connections import Awaited, IdleConnections, Use
from .invariants import count

SPARE = 24  # kept for the log, discovery, peers and what is being closed
COMMAND_LATE = 2.5  # s that a command may take to come whole; clients may take 2 s
IDLE_MOST = 10.0  # s without an open RPC after which a client connection is closed
IDLE_LEAST = 2.0  # s, the same while descriptors run short; the least that clients are promised
SILENT_LEAST = 0.25  # s that one which has asked for nothing yet, or just PING, is left alone then
LATE = b"-ERR timeout: no whole command has come\r\n"


class Descriptors:
    """Who may open one more; `client_connections` is the gateway's set, `pool` is set once it is made."""

    def __init__(self, most: int, client_connections: set[Any], now: Callable[[], float]) -> None:
        self.most, self.client_connections, self.now = most - SPARE, client_connections, now
        self.idle = IdleConnections()
        self.paused: set[Any] = set()  # client connections that are not read at present
        self.pool: Any = None

    def for_pool(self) -> int:
        """What is left to backend connections however many clients come: an eighth, and room to grow."""
        return max(self.most // 8, len(self.pool.open) + self.most // 16)

    def for_client_connection(self) -> bool:
        """Whether a client connection just accepted may stay; one that is of less use goes for it."""
        for_pool = max(self.for_pool(), len(self.pool.open) + len(self.pool.closing))
        return len(self.client_connections) + for_pool <= self.most or self.evict()

    def for_backend_connection(self) -> bool:
        """Whether one more backend connection may be opened."""
        backends = len(self.pool.open) + len(self.pool.closing)
        return len(self.client_connections) + backends < self.most or self.evict()

    def evict(self) -> bool:
        """Close a client that asked nothing, else once, else the one idle for longest; none with work."""
        now = self.now()
        latest = {
            Use.NEVER_ASKED: now - SILENT_LEAST,
            Use.ASKED_ONCE: now - IDLE_LEAST,
            Use.ASKED_OFTEN: now - IDLE_LEAST,
        }
        while (victim := self.idle.next_to_evict(latest)) is not None:
            if not victim.unread():
                count("client_connection_closed_for_another")
                victim.drop()
                return True
            self.idle.keep_until_read(victim)  # one about to be read has work after all
        return False

    def sweep(self) -> None:
        """End connections that sent nothing or half a command, that idle for long, or whose clients left."""
        for each in list(self.paused):
            each.look_behind()
        now, many = self.now(), len(self.client_connections) > self.most // 8
        self.sweep_half_commands(now - COMMAND_LATE)
        self.sweep_silent(now - (SILENT_LEAST if many else COMMAND_LATE))
        for each in self.idle.expiring[Awaited.NEXT_COMMAND].until(now - (IDLE_LEAST if many else IDLE_MOST)):
            count("client_connection_idle")
            each.close_when_idle()

    def sweep_half_commands(self, latest: float) -> None:
        """End connections with a command that began by `latest` and has not come whole."""
        for each in self.idle.expiring[Awaited.REST_OF_COMMAND].until(latest):
            if not each.unread():
                count("client_connection_without_command")
                each.refuse(LATE)

    def sweep_silent(self, latest: float) -> None:
        """End connections that were accepted by `latest` and have sent nothing."""
        for each in self.idle.expiring[Awaited.FIRST_COMMAND].until(latest):
            if not each.unread():
                count("client_connection_silent")
                each.turn_away(LATE)
