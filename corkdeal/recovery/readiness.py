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
SERVICE_WINDOW = 2.0  # s over which the fraction of unserved requests is measured
MAX_UNSERVED_FRACTION = 0.02  # of the requests inside quotas, in addition to the fraction in the span before
MAX_LEARNING_TIME = 30.0  # s; requests that are unserved after this time have another cause than missing data
MIN_ANSWERS = 20  # replies until the average latency is known; one reply has a weight of 0.05 in it
CONCURRENT_START_TIME = 10_000  # ms; gateways that started at most this far apart count as starting together
MASS_START_FRACTION = 1 / 3  # of the known peers
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
    unserved: int  # requests inside quotas that were rejected or failed without being served

    def requests_since(self, earlier: ServiceSample) -> int:
        """Return how many requests ended between an earlier sample and this one."""
        return self.answers - earlier.answers + self.unserved - earlier.unserved


def count_concurrent_starts(incarnation: int, peers: Mapping[int, int]) -> int:
    """Return how many peers, by their incarnations in ms, started at about the same time as this gateway."""
    distances = (
        min((incarnation - peer) % INCARNATION_MODULUS, (peer - incarnation) % INCARNATION_MODULUS)
        for peer in peers.values()
    )
    return sum(distance <= CONCURRENT_START_TIME for distance in distances)


def is_mass_start(incarnation: int, peers: Mapping[int, int]) -> bool:
    """Return whether many gateways may have started together with this one; True if no peer is known."""
    return not peers or count_concurrent_starts(incarnation, peers) >= MASS_START_FRACTION * len(peers)


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
        self, now: float, responded: int, neighbours: int, answers: int, unserved: int
    ) -> Transition | None:
        """Record the running totals and return the transition that is due, if any.

        `responded` is how many of the ring `neighbours` have sent a message since the start or stall.
        `answers` and `unserved` are running totals of replies, and of requests inside quotas that were
        not served.
        """
        self.samples.append(ServiceSample(now, answers, unserved))
        while len(self.samples) > 2 and self.samples[1].at <= now - 2 * SERVICE_WINDOW:
            self.samples.popleft()
        if self.state is ReadinessState.RETURNING:
            reason = self._returned_reason(now, responded, neighbours)
            return self._enter(ReadinessState.LEARNING, reason, now) if reason else None
        if self.state is ReadinessState.LEARNING:
            reason = self._learned_reason(now)
            return self._enter(ReadinessState.FULL, reason, now) if reason else None
        return None

    def _returned_reason(self, now: float, responded: int, neighbours: int) -> str:
        """Return why `returning` ends now, or an empty string."""
        age = now - self.began_at
        has_all_responded = responded >= neighbours
        if not self.has_fresh_endpoints and age <= ENDPOINT_LIST_TIMEOUT:
            return ""
        if not has_all_responded and age <= NEIGHBOUR_TIMEOUT:
            return ""
        endpoints = "list" if self.has_fresh_endpoints else "list not received"
        peers = (
            "neighbours responded"
            if has_all_responded
            else f"{responded} of {neighbours} neighbours responded"
        )
        return f"{endpoints}, {peers}"

    def _learned_reason(self, now: float) -> str:
        """Return why `learning` ends now, or an empty string."""
        time_in_state = now - self.state_since
        if time_in_state > MAX_LEARNING_TIME:
            return "time"
        if time_in_state < SERVICE_WINDOW:
            return ""
        window_start = self._sample_at(now - SERVICE_WINDOW)
        last = self.samples[-1]
        requests = last.requests_since(window_start)
        if not requests:
            return "no requests"
        if last.answers < MIN_ANSWERS:
            return ""
        unserved_fraction = (last.unserved - window_start.unserved) / requests
        if unserved_fraction <= MAX_UNSERVED_FRACTION:
            return "served"
        return "levelled off" if self._has_levelled_off(window_start, unserved_fraction) else ""

    def _has_levelled_off(self, window_start: ServiceSample, unserved_fraction: float) -> bool:
        """Return whether the unserved fraction is no higher than in the span before `window_start`."""
        first = self.samples[0]
        requests = window_start.requests_since(first)
        if not requests:
            return False
        return (
            unserved_fraction <= MAX_UNSERVED_FRACTION + (window_start.unserved - first.unserved) / requests
        )

    def _sample_at(self, time: float) -> ServiceSample:
        """Return the last sample taken by that time, else the first one available."""
        return max((sample for sample in self.samples if sample.at <= time), default=self.samples[0])

    def _enter(self, state: ReadinessState, reason: str, now: float) -> Transition:
        """Change the state and return the transition."""
        transition = Transition(state, self.state, reason, now - self.began_at)
        self.state = state
        self.state_since = now
        return transition
