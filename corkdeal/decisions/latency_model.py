"""Latency model: predicts the latency of an attempt from the request, the load of the backend and the fleet.

Latencies and amounts of work are in seconds. The model learns three quantities from successful attempts, each
as an exponentially weighted moving average (EWMA):

- the usual latency of each request class and size, mostly from attempts that met no other load;
- the queueing factor: the fraction of its usual latency by which each request in flight delays an attempt;
- the latency ratio of the fleet, and of each backend relative to it: the ratio of the latency to what usual
  latency and load explain.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .backends import BackendRecord
    from .pending_request import PendingRequest
    from .settings import RequestClass

INITIAL_LATENCY = 0.15  # of the class's latency objective, assumed until an answer is known
INITIAL_QUEUEING_FACTOR = 0.5
LEARNING_RATE = 0.05  # EWMA weight of one answer
LARGE_TIER_LEARNING_RATE = 0.15  # for the fleet's latency ratio, since each gateway sees few answers


def initial_latency(request_class: RequestClass) -> float:
    """Return the usual latency assumed for a class until an answer is known, in s."""
    return INITIAL_LATENCY * request_class.latency_objective


class LatencyModel:
    """The latency model that one gateway learns from its own attempts."""

    def __init__(self, classes: Sequence[RequestClass], is_large_tier: bool) -> None:
        self.usual_latencies: dict[tuple[int, int], float] = {}  # (class, size) -> s
        self.initial_latency = INITIAL_LATENCY * min(c.latency_objective for c in classes)  # s
        self.queueing_factor = INITIAL_QUEUEING_FACTOR
        self.fleet_latency_ratio = 1.0
        self.fleet_learning_rate = LARGE_TIER_LEARNING_RATE if is_large_tier else LEARNING_RATE

    def usual_latency(self, request: PendingRequest) -> float:
        """Return the usual latency of requests of this class and size at an idle backend."""
        key = (request.request.request_class, math.ceil(request.request.units))
        return self.usual_latencies.get(key, INITIAL_LATENCY * request.request_class.latency_objective)

    def mean_usual_latency(self) -> float:
        """Return the mean usual latency over all classes and sizes answered so far."""
        if not self.usual_latencies:
            return self.initial_latency
        return sum(self.usual_latencies.values()) / len(self.usual_latencies)

    def attempt_time(self) -> float:
        """Return the usual duration of an attempt at the fleet's present latency ratio, in s."""
        return self.mean_usual_latency() * max(1.0, self.fleet_latency_ratio)

    def work(self, request: PendingRequest) -> float:
        """Return the request's work relative to the mean request, which is independent of slow backends."""
        return self.initial_latency * self.usual_latency(request) / self.mean_usual_latency()

    def expected_latency(self, request: PendingRequest, load: float, latency_ratio: float) -> float:
        """Return the expected latency of one more request at a backend with `load` requests in flight."""
        queueing = max(1.0, self.queueing_factor * (1 + load))
        return self.usual_latency(request) * queueing * self.fleet_latency_ratio * latency_ratio

    def learn(
        self,
        request: PendingRequest,
        backend: BackendRecord,
        latency: float,
        load: float,
        capacity_fraction: float,
    ) -> None:
        """Learn from a successful attempt that met `load` at a backend with this capacity fraction."""
        usual = self.usual_latency(request)
        key = (request.request.request_class, math.ceil(request.request.units))
        self.usual_latencies[key] = usual + LEARNING_RATE / (1 + load) * (latency - usual)
        ratio = latency * capacity_fraction / usual / max(1.0, self.queueing_factor * (1 + load))
        backend.latency_ratio += LEARNING_RATE * (ratio / self.fleet_latency_ratio - backend.latency_ratio)
        self.fleet_latency_ratio += self.fleet_learning_rate * (ratio - self.fleet_latency_ratio)
        queueing = min(1.0, latency / usual / (1 + load))
        self.queueing_factor += LEARNING_RATE * load / (1 + load) * (queueing - self.queueing_factor)
