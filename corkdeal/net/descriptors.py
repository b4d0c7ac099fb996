"""Shares the descriptors between channels and subchannels, and ends channels that hold one for nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .invariants import count

SPARE = 32  # kept for the log, discovery, peers and what is being closed
COMMAND_LATE = 1.5  # s that a command may take to come whole; the first one from the connection on
IDLE_MOST = 10.0  # s without an open RPC after which a channel is closed
IDLE_LEAST = 2.0  # s, the same while descriptors run short; the least that clients are promised
SILENT_LEAST = 0.25  # s that a channel without a whole command yet is left alone then
LATE = b"-ERR timeout: no whole command has come\r\n"


class Descriptors:
    """Who may open one more; `channels` is the gateway's set, and `pool` is told once it is made."""

    def __init__(self, most: int, channels: set[Any], now: Callable[[], float]) -> None:
        self.most, self.channels, self.now = most - SPARE, channels, now
        self.for_pool = most // 4  # what channels leave to subchannels, however many clients come
        self.pool: Any = None

    def for_channel(self) -> bool:
        """Whether a channel that has just been accepted may stay; one that is of less use goes for it."""
        return len(self.channels) + max(len(self.pool.open), self.for_pool) <= self.most or self.evict()

    def for_subchannel(self) -> bool:
        """Whether one more subchannel may be opened."""
        return len(self.channels) + len(self.pool.open) < self.most or self.evict()

    def evict(self) -> bool:
        """Close a channel that never asked anything, else the one idle for longest; none with work."""
        now = self.now()
        spare = [c for c in self.channels if c.spare]
        silent = [c for c in spare if not c.asked and now - c.since >= SILENT_LEAST]
        idle = [c for c in spare if c.asked and not c.parser.midway and now - c.since >= IDLE_LEAST]
        victim = min(silent or idle, key=lambda c: c.since, default=None)
        if victim is None:
            return False
        count("channel_closed_for_another")
        victim.drop()
        return True

    def sweep(self) -> None:
        """End channels that sent nothing or half a command, and those idle for long."""
        now = self.now()
        for each in [c for c in self.channels if c.spare]:
            if each.parser.midway or not each.asked:
                if now - (each.begun if each.parser.midway and each.asked else each.since) > COMMAND_LATE:
                    count("channel_without_command")
                    each.refuse(LATE)
            elif now - each.since > IDLE_MOST:
                count("channel_idle")
                each.close_when_idle()
