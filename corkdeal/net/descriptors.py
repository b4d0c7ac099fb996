"""Shares descriptors between clients and backends; ends client connections that hold one for nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

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
        self.pool: Any = None

    def for_pool(self) -> int:
        """What is left to backend connections however many clients come: an eighth, and room to grow."""
        return max(self.most // 8, len(self.pool.open) + self.most // 16)

    def for_client_connection(self) -> bool:
        """Whether a client connection just accepted may stay; one that is of less use goes for it."""
        return len(self.client_connections) + self.for_pool() <= self.most or self.evict()

    def for_backend_connection(self) -> bool:
        """Whether one more backend connection may be opened."""
        return len(self.client_connections) + len(self.pool.open) < self.most or self.evict()

    def evict(self) -> bool:
        """Close a client that asked nothing, else once, else the one idle for longest; none with work."""
        now = self.now()
        idle = [
            c
            for c in self.client_connections
            if c.spare
            and not (c.spoke and c.parser.midway)
            and now - c.since >= (IDLE_LEAST if c.asked else SILENT_LEAST)
        ]
        idle.sort(key=lambda c: (min(c.asked, 2), c.since))
        victim = next((c for c in idle if not c.unread()), None)  # one about to be read has work after all
        if victim is None:
            return False
        count("client_connection_closed_for_another")
        victim.drop()
        return True

    def sweep(self) -> None:
        """End connections that sent nothing or half a command, that idle for long, or whose clients left."""
        for each in [c for c in self.client_connections if c.paused]:
            each.look_behind()
        now, many = self.now(), len(self.client_connections) > self.most // 8
        # one taken on standby is closing from its start, and is timed like the others until it speaks
        for each in [
            c for c in self.client_connections if c.spare or (c.closing and not c.spoke and not c.refused)
        ]:
            if each.body is not None:
                continue  # a long value is looked after by itself
            if each.parser.midway:
                if now - each.begun > COMMAND_LATE and not each.unread():
                    count("client_connection_without_command")
                    each.refuse(LATE)
            elif not each.spoke:
                if now - each.since > (SILENT_LEAST if many else COMMAND_LATE) and not each.unread():
                    count("client_connection_silent")
                    each.turn_away(LATE)
            elif now - each.since > (IDLE_LEAST if many else IDLE_MOST):
                count("client_connection_idle")
                each.close_when_idle()
