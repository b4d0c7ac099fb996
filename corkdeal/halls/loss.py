"""Detects that a zone is cut off, as one event, from a few failures of several of its backends.

Each zone has a sequential probability ratio test (Wald, 1945): how much likelier are the observations if the
zone is cut off than if it is not? Two kinds of evidence since the zone's last reply speak for a cut:

- *Unreachable backends*, each counted once, however often it fails: a dead backend does not make a dead zone.
  Without a cut, a failed connect has a small probability. A silence (an attempt without a reply for much
  longer than usual) has the recent share of silent attempts that were answered in the end, at this backend or
  in all other zones together, whichever is greater: while many backends are slow, a silence says little.
- *Missing replies*: at its previous rate the zone would have sent a number of replies by now. Without a cut,
  the probability that none came is exp(-expected). The expected number is scaled by the share of their own
  expected replies that came from the other zones in the same time, so a slowdown of all zones is no evidence.

One reply to an attempt that was sent after the zone's previous reply clears the evidence.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field

BOUND = math.log(1e6)  # log likelihood ratio; one false alarm in a million independent tests without a cut
CUT_FAILS = 0.98  # share of attempts at backends of a cut-off zone that fail
FAILS_LEAST = 0.02  # least probability that a backend is unreachable while its zone is not cut off
SERVERS_LEAST = 2  # distinct backends that must have failed; all of them if the zone has fewer
RATE_MEMORY = 3.0  # s; time constant of a zone's average reply rate
QUIET_LEAST = 0.05  # s without a reply before missing replies count
EVIDENCE_MOST = 5.0  # s for which a failure or missing replies count
HABIT_MEMORY = 10.0  # s; time constant of a backend's counts of silent and answered attempts
ANSWERS_KEPT = 512  # latest replies of all zones; more than come in EVIDENCE_MOST at 100 a second


@dataclass(slots=True)
class Habit:
    """Decaying counts of the attempts at one backend that were silent and of those that were answered."""

    silent: float = 0.0
    answered: float = 0.0
    at: float = -math.inf

    def fade(self, now: float) -> None:
        """Decay both counts up to now."""
        if self.at > -math.inf:
            left = math.exp(-max(0.0, now - self.at) / HABIT_MEMORY)
            self.silent, self.answered = self.silent * left, self.answered * left
        self.at = now


@dataclass(slots=True)
class HallEvidence:
    """Observations of one zone."""

    servers: int = 0  # number of listed backends
    rate: float = 0.0  # replies a second, averaged
    answered_at: float = -math.inf
    counted_at: float = -math.inf  # time up to which `rate` has decayed
    # backend -> time of its last failure, and whether that was a silence
    failed: dict[Hashable, tuple[float, bool]] = field(default_factory=dict)
    habits: dict[Hashable, Habit] = field(default_factory=dict)
    lost_at: float | None = None


class Losses:
    """Observations of all zones, and which of these are declared lost."""

    def __init__(self) -> None:
        self.halls: dict[str, HallEvidence] = {}
        self.answers: deque[tuple[float, str]] = deque(maxlen=ANSWERS_KEPT)

    def listed(self, servers: dict[str, int]) -> None:
        """Set the number of backends in each zone; a zone without any is removed."""
        self.halls = {name: self.halls.get(name) or HallEvidence() for name, n in servers.items() if n}
        for name, e in self.halls.items():
            e.servers = servers[name]

    def answered(self, hall: str, server: Hashable, sent_at: float, now: float) -> None:
        """Record a reply of any kind, also a rejection: the attempt sent at `sent_at` reached its backend."""
        if (e := self.halls.get(hall)) is None:
            return
        self.rated(e, now)
        e.rate += 1 / RATE_MEMORY
        self.answers.append((now, hall))
        quiet_since, e.answered_at = e.answered_at, now
        self.habit(e, server, now).answered += 1
        e.failed.pop(server, None)
        if e.lost_at is None or sent_at >= quiet_since:  # a reply in flight when the cut began proves nothing
            e.failed.clear()

    def failed(self, hall: str, server: Hashable, now: float, silent: bool = False) -> None:
        """Record that a backend was unreachable or, if `silent`, has not answered an attempt for too long."""
        if (e := self.halls.get(hall)) is not None:
            e.failed[server] = now, silent
            if silent:
                self.habit(e, server, now).silent += 1

    @staticmethod
    def habit(e: HallEvidence, server: Hashable, now: float) -> Habit:
        """Return a backend's counts, decayed up to now."""
        made = e.habits.setdefault(server, Habit())
        made.fade(now)
        return made

    def returned(self, hall: str) -> None:
        """Mark a zone as reachable again; the caller, which returns traffic to it gradually, decides when."""
        if (e := self.halls.get(hall)) is not None:
            e.lost_at = None
            e.failed.clear()

    @staticmethod
    def rated(e: HallEvidence, now: float) -> None:
        """Decay the reply rate up to now."""
        if e.counted_at > -math.inf:
            e.rate *= math.exp(-max(0.0, now - e.counted_at) / RATE_MEMORY)
        e.counted_at = now

    def look(self, now: float) -> list[str]:
        """Declare zones lost by their evidence; return the newly lost ones, sorted by name."""
        found = []
        for name, e in sorted(self.halls.items()):
            if e.lost_at is None and self.weight(name, now) >= BOUND and self.reachable(name, now):
                e.lost_at = now
                found.append(name)
        return found

    def lost(self) -> list[str]:
        """Return the zones that are lost now, sorted by name."""
        return sorted(name for name, e in self.halls.items() if e.lost_at is not None)

    def failing(self, e: HallEvidence, now: float) -> list[tuple[Hashable, bool]]:
        """Return the backends that failed recently and after the zone's last reply, and which are silent."""
        return [
            (server, silent)
            for server, (at, silent) in e.failed.items()
            if at > e.answered_at and now - at < EVIDENCE_MOST
        ]

    def reachable(self, name: str, now: float) -> bool:
        """Return whether another zone replied after this one failed.

        Otherwise the gateway itself may be cut off, or all zones be down.
        """
        e = self.halls[name]
        failed = sorted(at for at, _ in e.failed.values() if at > e.answered_at and now - at < EVIDENCE_MOST)
        since = failed[min(SERVERS_LEAST, len(failed)) - 1] if failed else now
        return any(o.answered_at > since for other, o in self.halls.items() if other != name)

    def weight(self, name: str, now: float) -> float:
        """Return the log likelihood ratio of a cut against none, given the observations."""
        e = self.halls[name]
        failing = self.failing(e, now)
        if len(failing) < min(SERVERS_LEAST, e.servers):
            return 0.0
        others = [o for other, o in self.halls.items() if other != name and o.lost_at is None]
        elsewhere = [h for o in others for h in o.habits.values()]
        silent, answered = sum(h.silent for h in elsewhere), sum(h.answered for h in elsewhere)
        usual = silent / (silent + answered + 1)
        told = 0.0
        for server, is_silent in failing:
            h = e.habits.get(server, Habit())
            # Without the current silence: only earlier ones, which ended with a reply, show how usual it is.
            own = max(0.0, h.silent - 1) / (h.silent + h.answered + 1)
            chance = max(FAILS_LEAST, usual, own) if is_silent else FAILS_LEAST
            told += math.log(max(1.0, CUT_FAILS / chance))
        return told + self.due(name, e, others, now)

    def due(self, name: str, e: HallEvidence, others: list[HallEvidence], now: float) -> float:
        """Return the replies missing from a zone since its last one, scaled by what other zones sent."""
        quiet = now - e.answered_at
        if not QUIET_LEAST < quiet < EVIDENCE_MOST:
            return 0.0
        before = e.rate * math.exp(-max(0.0, e.answered_at - e.counted_at) / RATE_MEMORY)
        expected = quiet * sum(o.rate for o in others)
        got = sum(1 for at, hall in self.answers if at > e.answered_at and hall != name)
        return before * quiet * (min(1.0, got / expected) if expected else 0.0)
