"""Whether a hall is cut off, declared as one event from a few failures of several of its servers.

A sequential test (Wald, 1945) for each hall: how much likelier is what was seen if the hall is cut off than
if it is not? Since the last answer from the hall, two things speak for a cut:

- *servers that can't be reached*, each counted once, however often it fails: a dead server is no dead hall.
  A failed connect has a small chance where there is no cut. A silence has the chance that this server's
  attempts, or those of all other halls together, were silent of late and then answered: on a day on which
  many are slow, silence says little;
- *quiet*: as many answers as came from the hall before should have come meanwhile. Had they been due, none
  would have come with the chance exp(-due). What is due is cut by the share of their own due that the other
  halls answered in the same time, so that "all slowed together" makes quiet say nothing.

One answer to an attempt that was sent after the quiet began ends the suspicion.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field

BOUND = math.log(1e6)  # one false alarm in a million independent looks at a hall that is not cut off
CUT_FAILS = 0.98  # of attempts at servers of a hall that is cut off
FAILS_LEAST = 0.02  # chance that a server of a hall that is not cut off can't be reached just now
SERVERS_LEAST = 2  # distinct servers that must have failed, or the only one there is
RATE_MEMORY = 3.0  # s that a hall's rate of answers is averaged over
QUIET_LEAST = 0.05  # s without an answer before quiet says anything
EVIDENCE_MOST = 5.0  # s that a failure counts
HABIT_MEMORY = 10.0  # s that a server's habit of being silent and then answering is averaged over
ANSWERS_KEPT = 512  # latest answers of all halls; more than come in EVIDENCE_MOST at 100 a second


@dataclass(slots=True)
class Habit:
    """How often attempts at one server were silent for long, and how often answered; faded counts."""

    silent: float = 0.0
    answered: float = 0.0
    at: float = -math.inf

    def fade(self, now: float) -> None:
        """Bring both up to now."""
        if self.at > -math.inf:
            left = math.exp(-max(0.0, now - self.at) / HABIT_MEMORY)
            self.silent, self.answered = self.silent * left, self.answered * left
        self.at = now


@dataclass(slots=True)
class HallEvidence:
    """What was seen of one hall."""

    servers: int = 0  # that the list names there
    rate: float = 0.0  # answers a second
    answered_at: float = -math.inf
    counted_at: float = -math.inf  # up to when `rate` is averaged
    # server -> last failure, a silence
    failed: dict[Hashable, tuple[float, bool]] = field(default_factory=dict)
    habits: dict[Hashable, Habit] = field(default_factory=dict)
    lost_at: float | None = None


class Losses:
    """Evidence over all halls, and which of them are declared lost."""

    def __init__(self) -> None:
        self.halls: dict[str, HallEvidence] = {}
        self.answers: deque[tuple[float, str]] = deque(maxlen=ANSWERS_KEPT)

    def listed(self, servers: dict[str, int]) -> None:
        """How many servers each hall has now; a hall without any is forgotten."""
        self.halls = {name: self.halls.get(name) or HallEvidence() for name, n in servers.items() if n}
        for name, e in self.halls.items():
            e.servers = servers[name]

    def answered(self, hall: str, server: Hashable, sent_at: float, now: float) -> None:
        """An answer of any kind, a refusal too: what was sent at `sent_at` got through and back."""
        if (e := self.halls.get(hall)) is None:
            return
        self.rated(e, now)
        e.rate += 1 / RATE_MEMORY
        self.answers.append((now, hall))
        quiet_since, e.answered_at = e.answered_at, now
        self.habit(e, server, now).answered += 1
        e.failed.pop(server, None)
        if e.lost_at is None or sent_at >= quiet_since:  # not one that was on its way when the cut began
            e.failed.clear()

    def failed(self, hall: str, server: Hashable, now: float, silent: bool = False) -> None:
        """A server could not be reached, or is `silent` with work in hand for longer than it should be."""
        if (e := self.halls.get(hall)) is not None:
            e.failed[server] = now, silent
            if silent:
                self.habit(e, server, now).silent += 1

    @staticmethod
    def habit(e: HallEvidence, server: Hashable, now: float) -> Habit:
        """A server's habit as of now."""
        made = e.habits.setdefault(server, Habit())
        made.fade(now)
        return made

    def returned(self, hall: str) -> None:
        """The hall is reachable again, as whoever eases it back in has seen."""
        if (e := self.halls.get(hall)) is not None:
            e.lost_at = None
            e.failed.clear()

    @staticmethod
    def rated(e: HallEvidence, now: float) -> None:
        """Bring the rate of answers up to now."""
        if e.counted_at > -math.inf:
            e.rate *= math.exp(-max(0.0, now - e.counted_at) / RATE_MEMORY)
        e.counted_at = now

    def look(self, now: float) -> list[str]:
        """Halls that are newly declared lost, in the order of their names."""
        found = []
        for name, e in sorted(self.halls.items()):
            if e.lost_at is None and self.weight(name, now) >= BOUND and self.reachable(name, now):
                e.lost_at = now
                found.append(name)
        return found

    def lost(self) -> list[str]:
        """Halls that are lost now."""
        return sorted(name for name, e in self.halls.items() if e.lost_at is not None)

    def failing(self, e: HallEvidence, now: float) -> list[tuple[Hashable, bool]]:
        """Servers that failed of late and since the hall's last answer, and whether they are silent."""
        return [
            (server, silent)
            for server, (at, silent) in e.failed.items()
            if at > e.answered_at and now - at < EVIDENCE_MOST
        ]

    def reachable(self, name: str, now: float) -> bool:
        """Whether another hall answered after this one failed; else the gateway is cut off itself, or all is
        down.
        """
        e = self.halls[name]
        failed = sorted(at for at, _ in e.failed.values() if at > e.answered_at and now - at < EVIDENCE_MOST)
        since = failed[min(SERVERS_LEAST, len(failed)) - 1] if failed else now
        return any(o.answered_at > since for other, o in self.halls.items() if other != name)

    def weight(self, name: str, now: float) -> float:
        """The logarithm of how much likelier a cut is, by what was seen."""
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
            # The silence at hand is no habit yet: what was silent before it and then answered is.
            own = max(0.0, h.silent - 1) / (h.silent + h.answered + 1)
            chance = max(FAILS_LEAST, usual, own) if is_silent else FAILS_LEAST
            told += math.log(max(1.0, CUT_FAILS / chance))
        return told + self.due(name, e, others, now)

    def due(self, name: str, e: HallEvidence, others: list[HallEvidence], now: float) -> float:
        """Answers that should have come from the hall since its last one, as far as the others got theirs."""
        quiet = now - e.answered_at
        if not QUIET_LEAST < quiet < EVIDENCE_MOST:
            return 0.0
        before = e.rate * math.exp(-max(0.0, e.answered_at - e.counted_at) / RATE_MEMORY)
        expected = quiet * sum(o.rate for o in others)
        got = sum(1 for at, hall in self.answers if at > e.answered_at and hall != name)
        return before * quiet * (min(1.0, got / expected) if expected else 0.0)
