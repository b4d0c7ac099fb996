"""How far a gateway has come back: `returning`, `learning`, `full`, each left for a stated reason.

`returning` until its list is fresh and its neighbours were heard, or had their time to speak; `learning`
until it has answers of its own and what it gives up on inside quotas has levelled off; then `full`. A pause
begins it anew. Whether it came back alone or among many is found from the neighbours' incarnations; while
nobody was heard it counts as among many, which allows less.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

PEERS_WAIT = 1.0  # s that neighbours have to speak: three trades and a late message
LIST_WAIT = 2.0  # s after which a silent discovery is no reason to wait any more
FULL_FOR = 2.0  # s over which service is looked at
FULL_PART = 0.02  # of what lies inside quotas that may be given up on, more than in the span before
LEARN_MOST = 30.0  # s after which learning ends: what is given up on then is no want of knowledge
ANSWERS = 20  # after which a usual delay is known: the weight of one is 0.05
TOGETHER = 10_000  # ms; a neighbour that started within so much of this one's start came back with it
MANY_PART = 1 / 3  # of the neighbours heard
RETRIES = 1.0  # further attempts that a start has saved up while it may be among many, of 10 otherwise
WRAP = 1 << 32  # ms, at which incarnations begin anew


class Left(NamedTuple):
    """A state that was left: for which, why, and how long after it began to come back."""

    state: str
    before: str
    why: str
    after: float


def together(born: int, peers: Mapping[int, int]) -> tuple[int, int]:
    """How many neighbours started within TOGETHER of this gateway's start, and how many were heard."""
    near = sum(min((born - other) % WRAP, (other - born) % WRAP) <= TOGETHER for other in peers.values())
    return near, len(peers)


class Standing:
    """One gateway's state; whoever owns it brings the time and what has been counted so far."""

    def __init__(self, now: float) -> None:
        self.state, self.began, self.since = "returning", now, now
        self.listed = False
        self.counts: deque[tuple[float, int, int]] = deque()  # (when, answers, given up on inside quotas)

    def anew(self, now: float, why: str) -> Left:
        """Begin to come back again: what was known is old."""
        left = Left("returning", self.state, why, now - self.began)
        self.state, self.began, self.since, self.listed = "returning", now, now, False
        self.counts.clear()
        return left

    def among_many(self, born: int, peers: Mapping[int, int]) -> bool:
        """Whether it has to reckon with many that came back with it; so it is while nobody was heard."""
        near, heard = together(born, peers)
        return not heard or near >= MANY_PART * heard

    def look(self, now: float, heard: int, neighbours: int, answers: int, given_up: int) -> Left | None:
        """The state by now, if it changes: of so many neighbours so many were heard since it began."""
        self.counts.append((now, answers, given_up))
        while len(self.counts) > 2 and self.counts[1][0] <= now - 2 * FULL_FOR:
            self.counts.popleft()
        age = now - self.began
        if self.state == "returning":
            spoken = heard >= neighbours
            if (self.listed or age > LIST_WAIT) and (spoken or age > PEERS_WAIT):
                why = "list" if self.listed else "list did not come"
                why += ", neighbours heard" if spoken else f", {heard} of {neighbours} neighbours heard"
                return self.go("learning", why, now)
        elif self.state == "learning" and (why := self.settled(now)):
            return self.go("full", why, now)
        return None

    def settled(self, now: float) -> str:
        """Why there is nothing more to learn, or nothing."""
        first, middle, last = self.counts[0], self.at(now - FULL_FOR), self.counts[-1]
        if now - self.since > LEARN_MOST:
            return "time"
        if now - self.since < FULL_FOR:
            return ""
        asked = last[1] - middle[1] + last[2] - middle[2]
        before = middle[1] - first[1] + middle[2] - first[2]
        if not asked:
            return "nothing asked"
        if last[1] < ANSWERS:
            return ""
        share = (last[2] - middle[2]) / asked
        levelled = bool(before) and share <= FULL_PART + (middle[2] - first[2]) / before
        return "served" if share <= FULL_PART else "levelled off" if levelled else ""

    def at(self, when: float) -> tuple[float, int, int]:
        """What had been counted then."""
        return max((c for c in self.counts if c[0] <= when), default=self.counts[0])

    def go(self, state: str, why: str, now: float) -> Left:
        """Enter a state."""
        left = Left(state, self.state, why, now - self.began)
        self.state, self.since = state, now
        return left
