"""What the outside of a tier saw, and whether the rules held; nothing here knows a decision.

Clients, servers and discovery write into one history, in seconds of one clock. `check` goes through it after
the run and tells each broken rule with the lines of history that show it.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

GRACE = 0.25  # s in which a gateway may still send to a server after it was told that it goes
ANSWER_SLACK = 0.5  # s past its time in which a request may still get its answer
WINDOWS = (1.0, 5.0, 30.0)  # s over which quotas are looked at
LINES = 6  # of history that a broken rule shows


@dataclass(slots=True)
class Try:
    """One try of a client."""

    id: int
    customer: int
    gateway: int
    planned: float
    sent: float
    until: float
    answers: list[tuple[float, str]] = field(default_factory=list)
    cut_at: float | None = None  # its connection ended without an answer

    def __str__(self) -> str:
        """One line of the history."""
        said = ", ".join(f"{what} at {at:.3f}" for at, what in self.answers) or "no answer"
        return f"{self.sent:.3f} try {self.id:x} of {self.customer:08x} at gateway {self.gateway}: {said}"


class Attempt(NamedTuple):
    """One attempt as its server took it."""

    at: float
    server: str
    gateway: int
    request: int
    customer: int
    beside: str = ""  # another server where an attempt of the same request was still waited for

    def __str__(self) -> str:
        """One line of the history."""
        beside = f", while one stood at {self.beside}" if self.beside else ""
        return (
            f"{self.at:.3f} attempt for {self.request:x} from gateway {self.gateway} at {self.server}{beside}"
        )


class Told(NamedTuple):
    """A list that a gateway was told: the servers that it may use."""

    at: float
    ready: frozenset[str]


class Away(NamedTuple):
    """A span in which a gateway was dead or stopped."""

    gateway: int
    begin: float
    end: float


class Broken(NamedTuple):
    """A rule that did not hold, with the history that shows it."""

    rule: str
    lines: tuple[str, ...]


class Quota(NamedTuple):
    """A customer's quota over all gateways together."""

    rate: float  # units a second
    burst: float  # units
    bound: float  # units beyond it that may be let in over any window, by the formula in docs/recovery.md


class History:
    """All that was seen, in the order in which it happened at each place."""

    def __init__(self) -> None:
        self.tries: dict[int, Try] = {}
        self.attempts: list[Attempt] = []
        self.told: dict[int, list[Told]] = defaultdict(list)
        self.away: list[Away] = []
        self.events: list[tuple[float, str]] = []

    def firsts(self) -> dict[int, list[float]]:
        """When each request's first attempt arrived, by customer."""
        seen: set[int] = set()
        made: dict[int, list[float]] = defaultdict(list)
        for a in sorted(self.attempts):
            if a.request not in seen:
                seen.add(a.request)
                made[a.customer].append(a.at)
        return made

    def here(self, gateway: int, begin: float, end: float) -> bool:
        """Whether a gateway was neither dead nor stopped at any moment between."""
        return not any(a.gateway == gateway and a.begin < end and a.end > begin for a in self.away)


def check(history: History, quotas: dict[int, Quota], end: float, slack: float) -> list[Broken]:
    """All rules; `end` is when clients stopped listening, `slack` what stand-ins may be late themselves."""
    return [
        *final_answers(history, end),
        *sent_too_late(history, slack),
        *at_once(history),
        *told_away(history, slack),
        *beyond(history, quotas),
    ]


def final_answers(history: History, end: float) -> list[Broken]:
    """Exactly one answer in time to each try, where its gateway was there all the while."""
    made = []
    for t in history.tries.values():
        until = t.until + ANSWER_SLACK
        if len(t.answers) > 1:
            made.append(Broken("one final answer", (str(t),)))
        elif not t.answers and until < end and history.here(t.gateway, t.sent - ANSWER_SLACK, until):
            made.append(Broken("one final answer", (str(t), f"its time ended at {t.until:.3f}")))
    return made


def sent_too_late(history: History, slack: float) -> list[Broken]:
    """Nothing sent on after its client's time was over."""
    return [
        Broken("nothing sent on after its time", (str(t), str(a)))
        for a in history.attempts
        if (t := history.tries.get(a.request)) is not None and a.at > t.until + slack
    ]


def at_once(history: History) -> list[Broken]:
    """Never two attempts of one request at the same time."""
    return [Broken("never two attempts at once", (str(a),)) for a in history.attempts if a.beside]


def told_away(history: History, slack: float) -> list[Broken]:
    """Nothing to a server that the newest list told GRACE before does not hold as ready."""
    made = []
    for a in history.attempts:
        lists = history.told.get(a.gateway, [])
        newest = bisect.bisect_right(lists, a.at - GRACE - slack, key=lambda told: told.at) - 1
        since = lists[max(0, newest) :]
        if newest >= 0 and not any(a.server in told.ready for told in since if told.at <= a.at):
            made.append(
                Broken(
                    "nothing new to a server told away",
                    (f"{since[0].at:.3f} gateway {a.gateway} was told a list without it", str(a)),
                )
            )
    return made


def most_over(times: list[float], quota: Quota, window: float) -> tuple[float, float]:
    """The most units beyond the quota in any window of that length, and when it began."""
    best, when, low = 0.0, 0.0, 0
    for high, at in enumerate(times):
        while times[low] < at - window:
            low += 1
        first = min(range(low, high + 1), key=lambda i: i - quota.rate * times[i])
        over = high - first + 1 - (quota.burst + quota.rate * (at - times[first]))
        if over > best:
            best, when = over, times[first]
    return best, when


def beyond(history: History, quotas: dict[int, Quota]) -> list[Broken]:
    """Units let in over any window within quota plus the stated bound."""
    made = []
    for customer, times in sorted(history.firsts().items()):
        if (quota := quotas.get(customer)) is None:
            continue
        for window in WINDOWS:
            over, when = most_over(times, quota, window)
            if over > quota.bound + 1e-6:
                mine = [
                    a
                    for a in sorted(history.attempts)
                    if a.customer == customer and when <= a.at <= when + window
                ]
                lines = [
                    f"{over:.2f} units beyond quota in {window:g} s from {when:.3f}, of {quota.bound:.2f}"
                ]
                made.append(Broken("units within quota", (*lines, *map(str, mine[:LINES]))))
                break
    return made
