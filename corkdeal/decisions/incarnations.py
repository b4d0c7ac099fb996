"""Incarnations: the current incarnation of this gateway and the latest known one of each peer.

Every gateway process has an incarnation: the wall clock at its start in milliseconds, as a 32-bit number that
wraps around every 49.7 days. Every message carries the sender's incarnation, and most carry the receiver's as
well. Incarnations are ordered by serial number arithmetic (RFC 1982):

- Only messages of a peer's latest known incarnation are accepted; those of an earlier one are dropped.
- A peer that sends with an earlier incarnation is corrected, at most once per CORRECTION_INTERVAL: either its
  clock was set back or the message was delayed.
- A gateway that receives a later incarnation of itself chooses one after all that it knows, so that its peers
  accept its messages again.
"""

from __future__ import annotations

import enum

INCARNATION_RANGE = 1 << 32  # ms, at which incarnations wrap around
UNKNOWN = 0  # placeholder for an unknown incarnation
CORRECTION_INTERVAL = 0.25  # s, minimum time between corrections of one peer
START_MARGIN = 3000  # ms; a peer that started earlier by more than this counted units spent before


class IncarnationStatus(enum.Enum):
    """How the incarnation in a peer's message compares with the latest known one."""

    CURRENT = enum.auto()
    NEW = enum.auto()
    STALE = enum.auto()


def is_later(first: int, second: int) -> bool:
    """Return whether the first incarnation is later than the second."""
    return 0 < (first - second) % INCARNATION_RANGE < INCARNATION_RANGE // 2


def incarnation_after(incarnation: int, milliseconds: int) -> int:
    """Return the incarnation `milliseconds` after the given one; never UNKNOWN."""
    return (incarnation + milliseconds) % INCARNATION_RANGE or 1


class Incarnations:
    """The incarnation of one gateway and those of its peers."""

    def __init__(self) -> None:
        self.own = UNKNOWN
        self.peers: dict[int, int] = {}  # latest known incarnation by peer
        self.corrected_at: dict[int, float] = {}  # s, time of the last correction by peer

    def start(self, now: float) -> None:
        """Start an incarnation of this gateway at `now`, unless a later one is already set."""
        started = incarnation_after(int(now * 1000), 0)
        if self.own == UNKNOWN or is_later(started, self.own):
            self.own = started

    def resume(self, own: int, peers: dict[int, int]) -> None:
        """Continue the incarnation of an earlier process."""
        self.own = own
        self.peers = peers

    def start_after(self, own: int) -> None:
        """Choose an incarnation after one that has ended, since the wall clock may have been set back."""
        if own != UNKNOWN:
            self.own = incarnation_after(own, 1)

    def update_peer(self, peer: int, incarnation: int) -> IncarnationStatus:
        """Record a peer's incarnation if it is the latest; returns how it compares."""
        known = self.peers.get(peer)
        if known == incarnation:
            return IncarnationStatus.CURRENT
        if known is not None and not is_later(incarnation, known):
            return IncarnationStatus.STALE
        self.peers[peer] = incarnation
        return IncarnationStatus.NEW

    def may_correct(self, peer: int, now: float) -> bool:
        """Return whether a peer with an earlier incarnation may be corrected now; if so, record the time."""
        if now - self.corrected_at.get(peer, -CORRECTION_INTERVAL) < CORRECTION_INTERVAL:
            return False
        self.corrected_at[peer] = now
        return True

    def advance_past(self, own: int) -> bool:
        """Choose an incarnation after all known ones if a peer knows a later one of this gateway.

        Returns whether it did. The new incarnation is more than START_MARGIN later, so that all peers
        predate it and their totals are adopted.
        """
        if own == UNKNOWN or not is_later(own, self.own):
            return False
        latest = own
        for incarnation in self.peers.values():
            if is_later(incarnation, latest):
                latest = incarnation
        self.own = incarnation_after(latest, START_MARGIN + 1)
        return True

    def predates_start(self, incarnation: int) -> bool:
        """Return whether a peer started before this gateway, and so counted units spent earlier."""
        return is_later(self.own, incarnation + START_MARGIN)
