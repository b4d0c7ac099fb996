"""What is known of each member: its latest beat, by whichever way news of it came, and what that makes of it.

Members' beat counters are gossiped (after Van Renesse, Minsky, Hayden: A gossip-style failure detection
service, 1998), so whom anyone hears whose word arrives here is not taken for gone, whatever pair is cut. How
long a silence means something goes by how often news of that member came before (as in accrual detectors).
A process that stood still counts none of that time.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from .messages import MAX_ENTRIES, SEQUENCE_MODULUS, GossipEntry, GossipKind, is_newer

ALIVE, SUSPECT, GONE, AWAY = "alive", "suspect", "gone", "left"
PAUSE = 2.0  # s that a member may stand still without being held for gone
GONE_LEAST = 2.5  # s of silence; over a lease's length
GONE_DEVIATIONS = 4.0  # usual deviations of the time between news, beside that time and a pause
GONE_TIMES = 20.0  # usual times between news, where these come by chance: e^-20 for each
SUSPECT_PART = 0.5  # of the silence for which it would be held for gone
GAP_WEIGHT, GAP_FIRST = 0.1, 0.25  # of a new gap in the usual one, and where that begins, s
GAP_MEMBER = 0.01  # s that each member adds to it where a message can't tell of all
WHOLE = MAX_ENTRIES + 1  # members of a tier of which each message tells all there is
TOGETHER = 5.0  # s; members whose silences began within that may have been cut off with one another


@dataclass(slots=True)
class Member:
    """One life of a member."""

    born: int
    beat: int
    at: float  # when the last news of it came
    gap: float  # usual time between news, s
    deviation: float  # of that time, usually
    state: str = ALIVE
    itself: bool = False  # whether it said so itself that it left; others may be wrong
    why: str = ""


class Change(NamedTuple):
    """A member is seen otherwise."""

    member: int
    state: str
    before: str
    why: str


class Table:
    """All members that were ever heard of, but this one."""

    def __init__(self, later: Callable[[int, int], bool], size: int) -> None:
        """`later` tells whether an incarnation is after another; `size` is the tier's."""
        self.later, self.size = later, size
        self.first_gap = GAP_FIRST if size <= WHOLE else max(GAP_FIRST, GAP_MEMBER * size)
        self.members: dict[int, Member] = {}
        self.changes: list[Change] = []

    def heard(self, now: float, row: GossipEntry) -> None:
        """A member's own word: it goes before all that others said, be it of a later life or a later beat."""
        m = self.members.get(row.member)
        wrong = m is not None and (
            m.born != row.incarnation or m.state == AWAY or is_newer(m.beat, row.sequence)
        )
        if wrong and not m.itself:
            m.born, m.beat = row.incarnation, (row.sequence - 2) % SEQUENCE_MODULUS + 1
            self.turn(row.member, ALIVE, "it speaks")
        if self.news(now, row) and row.kind == GossipKind.LEFT:
            self.members[row.member].itself = True

    def news(self, now: float, row: GossipEntry) -> bool:
        """Take a member's beat by whoever told it; whether it was new."""
        m = self.members.get(row.member)
        if m is None:
            m = self.members[row.member] = Member(
                row.incarnation, row.sequence, now, self.first_gap, self.first_gap / 2
            )
        elif self.later(row.incarnation, m.born):
            m = self.members[row.member] = Member(
                row.incarnation, row.sequence, now, m.gap, m.deviation, m.state
            )
            self.turn(row.member, ALIVE, "started again")
        elif row.incarnation != m.born or m.state == AWAY or not is_newer(row.sequence, m.beat):
            return False
        else:
            if m.state == ALIVE:  # the time that it was away is no usual gap
                off = now - m.at - m.gap
                m.gap += GAP_WEIGHT * off
                m.deviation += GAP_WEIGHT * (abs(off) - m.deviation)
            m.beat, m.at = row.sequence, now
            self.turn(row.member, ALIVE, "news of it again")
        if row.kind == GossipKind.LEFT:
            self.turn(row.member, AWAY, "it said so")
        return True

    def turn(self, member: int, state: str, why: str) -> None:
        """See a member so from now on."""
        m = self.members[member]
        if m.state != state:
            self.changes.append(Change(member, state, m.state, why))
            m.state = state
        m.why = why

    def silence(self, member: int, now: float) -> float:
        """Seconds without news of it."""
        m = self.members.get(member)
        return math.inf if m is None else now - m.at

    def look(self, now: float) -> None:
        """Whom to suspect, and whom to hold for gone, by now."""
        for number, m in self.members.items():
            past, most = now - m.at, PAUSE + m.gap + GONE_DEVIATIONS * m.deviation
            most = max(GONE_LEAST, most if self.size <= WHOLE else PAUSE + GONE_TIMES * m.gap)
            if m.state == ALIVE and past > SUSPECT_PART * most:
                self.turn(number, SUSPECT, f"no news for {past:.2f} s")
            if m.state == SUSPECT and past > most:
                self.turn(number, GONE, f"no news for {past:.2f} s, usually {m.gap:.2f} s")

    def alone(self, member: int, now: float) -> bool:
        """Whether a member's silence is its own: nobody who might go on with it fell silent then."""
        one = self.members.get(member)
        since = now if one is None else one.at
        return not any(
            m.state in (SUSPECT, GONE) and abs(m.at - since) < TOGETHER
            for number, m in self.members.items()
            if number != member
        )

    def woke(self, now: float) -> None:
        """This process stood still: silence says nothing up to now, and suspicions are withdrawn.

        Silence from before counts no more either: what ended it may have come meanwhile, and is lost.
        """
        for number, m in self.members.items():
            m.at = now
            if m.state == SUSPECT:
                self.turn(number, ALIVE, "this process stood still")

    def rows(self, skip: int, most: int, chance: random.Random) -> list[GossipEntry]:
        """What to tell a member, at random where it is more than fits: all get their turn."""
        told = [
            GossipEntry(
                GossipKind.LEFT if m.state == AWAY else GossipKind.ALIVE_UPDATE, number, m.born, m.beat
            )
            for number, m in self.members.items()
            if m.state != GONE and number != skip
        ]
        return told if len(told) <= most else chance.sample(told, most)
