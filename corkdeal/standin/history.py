"""Records what clients, backends and discovery observe of a tier, and checks it against the tier's rules.

All of them write into one history, in seconds of the same clock. After the run, `check` returns each
violation with the lines of the history that show it. Nothing here reads the state of a gateway.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

REMOVAL_GRACE = 0.25  # s that a gateway may go on using a backend after a list without it
ANSWER_SLACK = 0.5  # s past the deadline within which a request may still be answered
WINDOWS = (1.0, 5.0, 30.0)  # s, the sliding windows over which quotas are checked
MAX_LINES = 6  # lines of history that are shown for an exceeded quota


@dataclass(slots=True)
class ClientAttempt:
    """One attempt of a client: a request with an ID of its own."""

    id: int
    customer: int
    gateway: int
    planned: float  # when the load model planned the request
    sent: float
    deadline: float
    answers: list[tuple[float, str]] = field(default_factory=list)
    cut_at: float | None = None  # when its connection ended or the client timed out without a reply

    def __str__(self) -> str:
        """One line of the history."""
        replies = ", ".join(f"{what} at {at:.3f}" for at, what in self.answers) or "no answer"
        return (
            f"{self.sent:.3f} client attempt {self.id:x} of {self.customer:08x} "
            f"at gateway {self.gateway}: {replies}"
        )


class BackendAttempt(NamedTuple):
    """One attempt of a gateway, as it arrived at its backend."""

    at: float
    server: str
    gateway: int
    request: int
    customer: int
    concurrent_backend: str = ""  # a backend that had an open attempt of the same request

    def __str__(self) -> str:
        """One line of the history."""
        other = f", while another was open at {self.concurrent_backend}" if self.concurrent_backend else ""
        return (
            f"{self.at:.3f} attempt for {self.request:x} from gateway {self.gateway} at {self.server}{other}"
        )


class SentList(NamedTuple):
    """An endpoint list that a gateway was sent: the backends in state ready."""

    at: float
    ready: frozenset[str]


class Downtime(NamedTuple):
    """A period in which a gateway was down or stopped (SIGSTOP)."""

    gateway: int
    begin: float
    end: float


class Violation(NamedTuple):
    """The violation of a rule, with the history that shows it."""

    rule: str
    lines: tuple[str, ...]


class Quota(NamedTuple):
    """A customer's quota over all gateways together."""

    rate: float  # units/s
    burst: float  # units
    bound: float  # units beyond it that may be admitted in any window, by the formula in docs/recovery.md


class History:
    """All observations of a run; each list is in the order of the events."""

    def __init__(self) -> None:
        self.client_attempts: dict[int, ClientAttempt] = {}
        self.attempts: list[BackendAttempt] = []
        self.sent_lists: dict[int, list[SentList]] = defaultdict(list)
        self.downtimes: list[Downtime] = []
        self.events: list[tuple[float, str]] = []

    def first_arrivals(self) -> dict[int, list[float]]:
        """The arrival times of the first attempts of all requests, by customer."""
        seen: set[int] = set()
        first_arrivals: dict[int, list[float]] = defaultdict(list)
        for a in sorted(self.attempts):
            if a.request not in seen:
                seen.add(a.request)
                first_arrivals[a.customer].append(a.at)
        return first_arrivals

    def was_up(self, gateway: int, begin: float, end: float) -> bool:
        """Whether a gateway was up and running throughout a period."""
        return not any(a.gateway == gateway and a.begin < end and a.end > begin for a in self.downtimes)


def check(history: History, quotas: dict[int, Quota], end: float, slack: float) -> list[Violation]:
    """Check all rules.

    `end` is when clients stopped reading, `slack` the seconds by which this process itself may be late.
    """
    return [
        *check_replies(history, end),
        *check_deadlines(history, slack),
        *check_concurrent_attempts(history),
        *check_endpoint_lists(history, slack),
        *check_quotas(history, quotas),
    ]


def check_replies(history: History, end: float) -> list[Violation]:
    """Each client attempt gets exactly one reply in time, if its gateway was up and running throughout."""
    violations = []
    for t in history.client_attempts.values():
        until = t.deadline + ANSWER_SLACK
        if len(t.answers) > 1:
            violations.append(Violation("one final answer", (str(t),)))
        elif not t.answers and until < end and history.was_up(t.gateway, t.sent - ANSWER_SLACK, until):
            violations.append(Violation("one final answer", (str(t), f"its deadline was {t.deadline:.3f}")))
    return violations


def check_deadlines(history: History, slack: float) -> list[Violation]:
    """No attempt at a backend begins after the deadline of its client."""
    return [
        Violation("nothing sent on after its time", (str(t), str(a)))
        for a in history.attempts
        if (t := history.client_attempts.get(a.request)) is not None and a.at > t.deadline + slack
    ]


def check_concurrent_attempts(history: History) -> list[Violation]:
    """No two attempts of one request are open at the same time."""
    return [
        Violation("never two attempts at once", (str(a),)) for a in history.attempts if a.concurrent_backend
    ]


def check_endpoint_lists(history: History, slack: float) -> list[Violation]:
    """Attempts go to backends that were ready in the list REMOVAL_GRACE s before, or in a later one."""
    violations = []
    for a in history.attempts:
        lists = history.sent_lists.get(a.gateway, [])
        newest = bisect.bisect_right(lists, a.at - REMOVAL_GRACE - slack, key=lambda sent: sent.at) - 1
        since = lists[max(0, newest) :]
        if newest >= 0 and not any(a.server in sent.ready for sent in since if sent.at <= a.at):
            violations.append(
                Violation(
                    "nothing new to a server told away",
                    (f"{since[0].at:.3f} gateway {a.gateway} was sent a list without it", str(a)),
                )
            )
    return violations


def max_over_quota(times: list[float], quota: Quota, window: float) -> tuple[float, float]:
    """The most units beyond the quota in any window of that length, and the start of that window."""
    best, when, low = 0.0, 0.0, 0
    for high, at in enumerate(times):
        while times[low] < at - window:
            low += 1
        first = min(range(low, high + 1), key=lambda i: i - quota.rate * times[i])
        over = high - first + 1 - (quota.burst + quota.rate * (at - times[first]))
        if over > best:
            best, when = over, times[first]
    return best, when


def check_quotas(history: History, quotas: dict[int, Quota]) -> list[Violation]:
    """The units admitted in any window stay within the quota plus its bound."""
    violations = []
    for customer, times in sorted(history.first_arrivals().items()):
        if (quota := quotas.get(customer)) is None:
            continue
        for window in WINDOWS:
            over, when = max_over_quota(times, quota, window)
            if over > quota.bound + 1e-6:
                mine = [
                    a
                    for a in sorted(history.attempts)
                    if a.customer == customer and when <= a.at <= when + window
                ]
                lines = [
                    f"{over:.2f} units beyond quota in {window:g} s from {when:.3f}, bound {quota.bound:.2f}"
                ]
                violations.append(Violation("units within quota", (*lines, *map(str, mine[:MAX_LINES]))))
                break
    return violations
