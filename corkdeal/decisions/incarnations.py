"""Incarnations: which start of each peer is followed, and which start this gateway goes by.

Every process that runs as a gateway has an incarnation: the wall clock at its start, in milliseconds, as 32
bits that begin anew every 49.7 days. Every message has its sender's, and most have the receiver's as well.
They are ordered by serial number arithmetic (RFC 1982):

- of a peer the latest incarnation that was heard is followed; what an earlier one sent is dropped;
- a peer that sends as an earlier one is corrected, at most once in CORRECTION_INTERVAL: either
  its clock was set back, or the message was long on its way;
- a gateway that is told of a later incarnation of itself takes one after all that it has heard of, so that
  its peers follow it again.
"""

from __future__ import annotations

import enum

INCARNATION_RANGE = 1 << 32  # ms, at which incarnations begin anew
UNKNOWN = 0  # stands for no incarnation
CORRECTION_INTERVAL = 0.25  # s between corrections of one peer
OLDER_MARGIN = 3000  # ms; a peer that started earlier by more saw what was spent before this gateway's start


class Greeting(enum.Enum):
    """How the incarnation that a peer gives relates to the one that is followed."""

    CURRENT = enum.auto()
    NEW = enum.auto()
    STALE = enum.auto()


def is_later(first: int, second: int) -> bool:
    """Whether the first incarnation is after the second."""
    return 0 < (first - second) % INCARNATION_RANGE < INCARNATION_RANGE // 2


def following(incarnation: int, milliseconds: int) -> int:
    """The incarnation that much after another; never UNKNOWN."""
    return (incarnation + milliseconds) % INCARNATION_RANGE or 1


class Incarnations:
    """The incarnations of one gateway and of its peers."""

    def __init__(self) -> None:
        self.own = UNKNOWN
        self.peers: dict[int, int] = {}  # by peer, the one that is followed
        self.corrected_at: dict[int, float] = {}  # by peer, s

    def start(self, now: float) -> None:
        """Begin an incarnation of this gateway at that time, unless a later one is known."""
        started = following(int(now * 1000), 0)
        if self.own == UNKNOWN or is_later(started, self.own):
            self.own = started

    def resume(self, own: int, peers: dict[int, int]) -> None:
        """Go on as an earlier process did."""
        self.own = own
        self.peers = peers

    def succeed(self, own: int) -> None:
        """Begin after an incarnation that is over; the wall clock may have been set back since."""
        if own != UNKNOWN:
            self.own = following(own, 1)

    def greet(self, peer: int, incarnation: int) -> Greeting:
        """Follow a peer's incarnation if it is the latest."""
        known = self.peers.get(peer)
        if known == incarnation:
            return Greeting.CURRENT
        if known is not None and not is_later(incarnation, known):
            return Greeting.STALE
        self.peers[peer] = incarnation
        return Greeting.NEW

    def may_correct(self, peer: int, now: float) -> bool:
        """Whether a peer that sent as an earlier incarnation may be corrected; if so it is counted."""
        if now - self.corrected_at.get(peer, -CORRECTION_INTERVAL) < CORRECTION_INTERVAL:
            return False
        self.corrected_at[peer] = now
        return True

    def outlive(self, own: int) -> bool:
        """Take an incarnation after all known ones if a peer follows a later one of this gateway.

        Returns whether it did. The new one is so much later that peers count as older, and are asked
        for what they hold.
        """
        if own == UNKNOWN or not is_later(own, self.own):
            return False
        latest = own
        for incarnation in self.peers.values():
            if is_later(incarnation, latest):
                latest = incarnation
        self.own = following(latest, OLDER_MARGIN + 1)
        return True

    def is_older(self, incarnation: int) -> bool:
        """Whether a peer of that incarnation saw what was spent before this gateway's start."""
        return is_later(self.own, incarnation + OLDER_MARGIN)
