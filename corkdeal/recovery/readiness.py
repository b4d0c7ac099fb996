"""Readiness of a gateway after a start or a stall: `returning`, `learning` or `full`.

A gateway is `returning` until its endpoint list is up to date and its neighbours have sent a message or timed
out. It is `learning` until it has enough replies of its own and the fraction of unserved requests inside
quotas no longer rises; then it is `full`. A stall restarts the sequence. Whether the gateway came back alone
or with many others is derived from the neighbours' incarnations; while none is known, many are assumed, which
is the more restrictive case.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

NEIGHBOUR_TIMEOUT = 1.0  # s; three exchanges and a delayed message
ENDPOINT_LIST_TIMEOUT = 2.0  # s to wait for discovery
SERVICE_SPAN = 2.0  # s over which the fraction of unserved requests is measured
MAX_GIVEN_UP_FRACTION = 0.02  # of the requests inside quotas, in addition to the fraction in the span before
MAX_LEARNING_TIME = 30.0  # s; requests that are unserved after this time have another cause than missing data
MIN_ANSWERS = 20  # replies until the average latency is known; one reply has a weight of 0.05 in it
CONCURRENT_START_TIME = 10_000  # ms; gateways that started at most this far apart count as starting together
MANY_FRACTION = 1 / 3  # of the known peers
INITIAL_RETRY_BUDGET = 1.0  # retries available after a start while many gateways may have started
INCARNATION_MODULUS = 1 << 32  # ms


class ReadinessState(enum.StrEnum):
    """How far a gateway has recovered; the values are those in the log event `recovery`."""

    RETURNING = "returning"
    LEARNING = "learning"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class Transition:
    """A change of state."""

    state: ReadinessState
    previous: ReadinessState
    reason: str
    elapsed: float  # s since the start or stall


@dataclass(frozen=True, order=True, slots=True)
class ServiceSample:
    """Running totals at one point in time."""

    at: float  # s
    answers: int
    given_up: int  # requests inside quotas that were rejected or failed without being served

    def requests_since(self, earlier: ServiceSample) -> int:
        """Return how many requests ended between an earlier sample and this one."""
        return self.answers - earlier.answers + self.given_up - earlier.given_up


def count_concurrent_starts(incarnation: int, peers: Mapping[int, int]) -> int:
    """Return how many peers, by their incarnations in ms, started at about the same time as this gateway."""
    distances = (
        min((incarnation - peer) % INCARNATION_MODULUS, (peer - incarnation) % INCARNATION_MODULUS)
        for peer in peers.values()
    )
    return sum(distance <= CONCURRENT_START_TIME for distance in distances)


def is_among_many(incarnation: int, peers: Mapping[int, int]) -> bool:
    """Return whether many gateways may have started together with this one; True if no peer is known."""
    return not peers or count_concurrent_starts(incarnation, peers) >= MANY_FRACTION * len(peers)


class Readiness:
    """Readiness state of one gateway; the owner passes in the time and the running totals."""

    def __init__(self, now: float) -> None:
        self.state = ReadinessState.RETURNING
        self.began_at = now  # s
        self.state_since = now  # s
        self.has_fresh_endpoints = False
        self.samples: deque[ServiceSample] = deque()

    def restart(self, now: float, reason: str) -> Transition:
        """Return to the first state, as earlier data is out of date."""
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
        """Record the running totals and return the transition that is due, if any.

        `heard` is how many of the ring `neighbours` have sent a message since the start or stall.
        `answers` and `given_up` are running totals of replies, and of requests inside quotas that were
        not served.
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
        """Return why `returning` ends now, or an empty string."""
        age = now - self.began_at
        has_heard_all = heard >= neighbours
        if not self.has_fresh_endpoints and age <= ENDPOINT_LIST_TIMEOUT:
            return ""
        if not has_heard_all and age <= NEIGHBOUR_TIMEOUT:
            return ""
        endpoints = "list" if self.has_fresh_endpoints else "list not received"
        peers = "neighbours responded" if has_heard_all else f"{heard} of {neighbours} neighbours responded"
        return f"{endpoints}, {peers}"

    def _learned_reason(self, now: float) -> str:
        """Return why `learning` ends now, or an empty string."""
        time_in_state = now - self.state_since
        if time_in_state > MAX_LEARNING_TIME:
            return "time"
        if time_in_state < SERVICE_SPAN:
            return ""
        middle = self._sample_at(now - SERVICE_SPAN)
        last = self.samples[-1]
        requests = last.requests_since(middle)
        if not requests:
            return "no requests"
        if last.answers < MIN_ANSWERS:
            return ""
        given_up_fraction = (last.given_up - middle.given_up) / requests
        if given_up_fraction <= MAX_GIVEN_UP_FRACTION:
            return "served"
        return "levelled off" if self._has_levelled_off(middle, given_up_fraction) else ""

    def _has_levelled_off(self, middle: ServiceSample, given_up_fraction: float) -> bool:
        """Return whether the unserved fraction is no higher than in the span before `middle`."""
        first = self.samples[0]
        requests = middle.requests_since(first)
        if not requests:
            return False
        return given_up_fraction <= MAX_GIVEN_UP_FRACTION + (middle.given_up - first.given_up) / requests

    def _sample_at(self, time: float) -> ServiceSample:
        """Return the last sample taken by that time, else the first one available."""
        return max((sample for sample in self.samples if sample.at <= time), default=self.samples[0])

    def _enter(self, state: ReadinessState, reason: str, now: float) -> Transition:
        """Change the state and return the transition."""
        transition = Transition(state, self.state, reason, now - self.began_at)
        self.state = state
        self.state_since = now
        return transition
