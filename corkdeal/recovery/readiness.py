"""How ready a gateway is after a start or a stall: `returning`, `learning`, `full`.

It is `returning` until its endpoint list is fresh and its neighbours sent a message or had time to;
`learning` until it has answers of its own and what it gives up on inside quotas has levelled off; then
`full`. A stall begins it anew. Whether it came back alone or among many follows from the neighbours'
incarnations; while none is known it counts as among many, which allows less.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

NEIGHBOUR_TIMEOUT = 1.0  # s; three exchanges and a late message
ENDPOINT_LIST_TIMEOUT = 2.0  # s after which a silent discovery is waited for no more
SERVICE_SPAN = 2.0  # s over which service is measured
MAX_GIVEN_UP_FRACTION = 0.02  # of what is asked inside quotas, on top of that in the span before
MAX_LEARNING_TIME = 30.0  # s; what is given up on then is no lack of knowledge
MIN_ANSWERS = 20  # until the usual latency is known: one answer weighs 0.05
CONCURRENT_START_TIME = 10_000  # ms between the starts of gateways that came back together
MANY_FRACTION = 1 / 3  # of the known neighbours
INITIAL_RETRY_BUDGET = 1.0  # retries that a start has saved up while it may be among many
INCARNATION_MODULUS = 1 << 32  # ms


class ReadinessState(enum.StrEnum):
    """How far a gateway has come back; the values are those of the log event `recovery`."""

    RETURNING = "returning"
    LEARNING = "learning"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class Transition:
    """A change of state."""

    state: ReadinessState
    previous: ReadinessState
    reason: str
    elapsed: float  # s since the gateway began to come back


@dataclass(frozen=True, order=True, slots=True)
class ServiceSample:
    """Running totals at one moment."""

    at: float  # s
    answers: int
    given_up: int  # requests inside quotas that were given up on

    def requests_since(self, earlier: ServiceSample) -> int:
        """Requests that ended between an earlier sample and this one."""
        return self.answers - earlier.answers + self.given_up - earlier.given_up


def count_concurrent_starts(incarnation: int, peers: Mapping[int, int]) -> int:
    """How many peers, by their incarnations in ms, started at about the same time as this gateway."""
    distances = (
        min((incarnation - peer) % INCARNATION_MODULUS, (peer - incarnation) % INCARNATION_MODULUS)
        for peer in peers.values()
    )
    return sum(distance <= CONCURRENT_START_TIME for distance in distances)


def is_among_many(incarnation: int, peers: Mapping[int, int]) -> bool:
    """Whether many may have come back with this gateway; so it is while no peer is known."""
    return not peers or count_concurrent_starts(incarnation, peers) >= MANY_FRACTION * len(peers)


class Readiness:
    """One gateway's state; the owner passes in the time and the running totals."""

    def __init__(self, now: float) -> None:
        self.state = ReadinessState.RETURNING
        self.began_at = now  # s
        self.state_since = now  # s
        self.has_fresh_endpoints = False
        self.samples: deque[ServiceSample] = deque()

    def restart(self, now: float, reason: str) -> Transition:
        """Begin to come back again, since what was known is old."""
        transition = Transition(ReadinessState.RETURNING, self.state, reason, now - self.began_at)
        self.state = ReadinessState.RETURNING
        self.began_at = now
        self.state_since = now
        self.has_fresh_endpoints = False
        self.samples.clear()
        return transition

    def update(
        self, now: float, heard: int, neighbours: int, answers: int, given_up: int
    ) -> Transition | None:
        """The transition that is due by now: `heard` of the `neighbours` sent a message since it began.

        `answers` and `given_up` are running totals; the latter counts requests inside quotas.
        """
        self.samples.append(ServiceSample(now, answers, given_up))
        while len(self.samples) > 2 and self.samples[1].at <= now - 2 * SERVICE_SPAN:
            self.samples.popleft()
        if self.state is ReadinessState.RETURNING:
            reason = self._returned_reason(now, heard, neighbours)
            return self._enter(ReadinessState.LEARNING, reason, now) if reason else None
        if self.state is ReadinessState.LEARNING:
            reason = self._learned_reason(now)
            return self._enter(ReadinessState.FULL, reason, now) if reason else None
        return None

    def _returned_reason(self, now: float, heard: int, neighbours: int) -> str:
        """Why there is nothing more to wait for, or an empty string."""
        age = now - self.began_at
        has_heard_all = heard >= neighbours
        if not self.has_fresh_endpoints and age <= ENDPOINT_LIST_TIMEOUT:
            return ""
        if not has_heard_all and age <= NEIGHBOUR_TIMEOUT:
            return ""
        endpoints = "list" if self.has_fresh_endpoints else "list did not come"
        peers = "neighbours heard" if has_heard_all else f"{heard} of {neighbours} neighbours heard"
        return f"{endpoints}, {peers}"

    def _learned_reason(self, now: float) -> str:
        """Why there is nothing more to learn, or an empty string."""
        time_in_state = now - self.state_since
        if time_in_state > MAX_LEARNING_TIME:
            return "time"
        if time_in_state < SERVICE_SPAN:
            return ""
        middle = self._sample_at(now - SERVICE_SPAN)
        last = self.samples[-1]
        requests = last.requests_since(middle)
        if not requests:
            return "nothing asked"
        if last.answers < MIN_ANSWERS:
            return ""
        given_up_fraction = (last.given_up - middle.given_up) / requests
        if given_up_fraction <= MAX_GIVEN_UP_FRACTION:
            return "served"
        return "levelled off" if self._has_levelled_off(middle, given_up_fraction) else ""

    def _has_levelled_off(self, middle: ServiceSample, given_up_fraction: float) -> bool:
        """Whether no more is given up on than in the span before `middle`."""
        first = self.samples[0]
        requests = middle.requests_since(first)
        if not requests:
            return False
        return given_up_fraction <= MAX_GIVEN_UP_FRACTION + (middle.given_up - first.given_up) / requests

    def _sample_at(self, time: float) -> ServiceSample:
        """The last sample by then, else the first there is."""
        return max((sample for sample in self.samples if sample.at <= time), default=self.samples[0])

    def _enter(self, state: ReadinessState, reason: str, now: float) -> Transition:
        """Change the state."""
        transition = Transition(state, self.state, reason, now - self.began_at)
        self.state = state
        self.state_since = now
        return transition
