"""What an attempt's latency is expected to be: by the request, by the backend's load and by the fleet.

All latencies and works are in seconds. Three quantities are learned from answers, each as an exponentially
weighted moving average (EWMA), which moves by a fixed fraction of its distance to each new sample:

- the usual latency of each request class and size, mostly from attempts that met no other load;
- the queueing factor: the part of its usual latency by which each request in flight delays an attempt;
- the fleet's slowness, and each backend's against it: the latency over what usual latency and load explain.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .backends import BackendRecord
    from .records import PendingRequest
    from .settings import RequestClass

INITIAL_LATENCY = 0.15  # of its class's latency objective, until an answer is known
INITIAL_QUEUEING_FACTOR = 0.5
LEARNING_RATE = 0.05  # weight of one answer in an average
LARGE_TIER_LEARNING_RATE = 0.15  # in the fleet's slowness, where many gateways share the answers


def initial_latency(request_class: RequestClass) -> float:
    """Usual latency that is assumed for a class until an answer is known, in s."""
    return INITIAL_LATENCY * request_class.latency_objective


class LatencyModel:
    """The latencies that one gateway learned from its own attempts."""

    def __init__(self, classes: Sequence[RequestClass], is_large_tier: bool) -> None:
        self.usual_latencies: dict[tuple[int, int], float] = {}  # (class, size) -> s
        self.initial_latency = INITIAL_LATENCY * min(c.latency_objective for c in classes)  # s
        self.queueing_factor = INITIAL_QUEUEING_FACTOR
        self.fleet_slowness = 1.0
        self.fleet_learning_rate = LARGE_TIER_LEARNING_RATE if is_large_tier else LEARNING_RATE

    def usual_latency(self, request: PendingRequest) -> float:
        """Usual latency of requests of this class and size, at an idle backend."""
        key = (request.request.request_class, math.ceil(request.request.units))
        return self.usual_latencies.get(key, INITIAL_LATENCY * request.request_class.latency_objective)

    def mean_usual_latency(self) -> float:
        """Mean over all classes and sizes that were answered so far."""
        if not self.usual_latencies:
            return self.initial_latency
        return sum(self.usual_latencies.values()) / len(self.usual_latencies)

    def attempt_time(self) -> float:
        """What an attempt usually takes at the fleet's present speed, in s."""
        return self.mean_usual_latency() * max(1.0, self.fleet_slowness)

    def work(self, request: PendingRequest) -> float:
        """The request's work in units of an average request's: it does not grow while backends are slow."""
        return self.initial_latency * self.usual_latency(request) / self.mean_usual_latency()

    def expected_latency(self, request: PendingRequest, load: float, slowness: float) -> float:
        """Latency of one more request at a backend with so many requests in flight."""
        queueing = max(1.0, self.queueing_factor * (1 + load))
        return self.usual_latency(request) * queueing * self.fleet_slowness * slowness

    def learn(
        self, request: PendingRequest, backend: BackendRecord, latency: float, load: float, warmth: float
    ) -> None:
        """Take a successful answer in; `load` is what it met, `warmth` the backend's capacity now."""
        usual = self.usual_latency(request)
        key = (request.request.request_class, math.ceil(request.request.units))
        self.usual_latencies[key] = usual + LEARNING_RATE / (1 + load) * (latency - usual)
        ratio = latency * warmth / usual / max(1.0, self.queueing_factor * (1 + load))
        backend.slowness += LEARNING_RATE * (ratio / self.fleet_slowness - backend.slowness)
        self.fleet_slowness += self.fleet_learning_rate * (ratio - self.fleet_slowness)
        queueing = min(1.0, latency / usual / (1 + load))
        self.queueing_factor += LEARNING_RATE * load / (1 + load) * (queueing - self.queueing_factor)
