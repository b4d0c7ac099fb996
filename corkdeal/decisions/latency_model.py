"""Latency model: predicts the latency of an attempt from the request, the load of the backend and the fleet.

Latencies and amounts of work are in seconds. The model learns four quantities from attempts, each as an
exponentially weighted moving average (EWMA):

- the usual latency of each request class and size, mostly from attempts that met no other load;
- the queueing factor: the fraction of its usual latency by which each request in flight delays an attempt;
- the latency ratio of the fleet, and of each backend relative to it: the ratio of the latency to what usual
  latency and load explain;
- the deviation: by which fraction latencies differ from their prediction on average.

A first answer and the deviation are used as by TCP's retransmission timer (RFC 6298): the first answer of a
class and size is its usual latency, the deviation begins at a half, and the time by which an answer is
expected at the latest is the prediction plus a multiple of the deviation. An attempt without an answer when
its caller stopped waiting took at least that long; without such attempts the model would learn only from the
fast answers of an overloaded service.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .backends import BackendRecord
    from .pending_request import PendingRequest
    from .settings import RequestClass

INITIAL_LATENCY_FRACTION = 0.05  # of the class's deadline, assumed until its first answer
INITIAL_QUEUEING_FACTOR = 0.5
INITIAL_DEVIATION = 0.5  # of the predicted latency
DEVIATION_MULTIPLE = 2.0  # mean deviations within which 19 of 20 answers come, if they are about normal
LEARNING_RATE = 0.05  # EWMA weight of one answer
LARGE_TIER_LEARNING_RATE = 0.15  # for the fleet's latency ratio, since each gateway sees few answers


def initial_latency(request_class: RequestClass) -> float:
    """Return the usual latency assumed for a class until an answer is known, in s."""
    return INITIAL_LATENCY_FRACTION * request_class.deadline


class LatencyModel:
    """The latency model that one gateway learns from its own attempts."""

    def __init__(self, classes: Sequence[RequestClass], is_large_tier: bool) -> None:
        self.usual_latencies: dict[tuple[int, int], float] = {}  # (class, size) -> s
        self.initial_latency = min(initial_latency(request_class) for request_class in classes)  # s
        self.queueing_factor = INITIAL_QUEUEING_FACTOR
        self.fleet_latency_ratio = 1.0
        self.deviation = INITIAL_DEVIATION
        self.fleet_learning_rate = LARGE_TIER_LEARNING_RATE if is_large_tier else LEARNING_RATE

    def usual_latency(self, request: PendingRequest) -> float:
        """Return the usual latency of requests of this class and size at an idle backend."""
        key = (request.request.request_class, math.ceil(request.request.units))
        return self.usual_latencies.get(key, initial_latency(request.request_class))

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
        usual = self.usual_latency(request)
        return usual * self.queueing(load) * self.fleet_latency_ratio * latency_ratio

    def latest_latency(self, request: PendingRequest, load: float, latency_ratio: float) -> float:
        """Return the latency within which an answer is expected, allowing for the deviation."""
        expected = self.expected_latency(request, load, latency_ratio)
        return expected * (1 + DEVIATION_MULTIPLE * self.deviation)

    def learn(
        self,
        request: PendingRequest,
        backend: BackendRecord,
        latency: float,
        load: float,
        capacity_fraction: float,
    ) -> None:
        """Learn from a successful attempt that met `load` at a backend with this capacity fraction."""
        latency *= capacity_fraction
        key = (request.request.request_class, math.ceil(request.request.units))
        unloaded = latency / self.queueing(load) / backend.latency_ratio
        usual = self.usual_latencies.setdefault(key, unloaded)
        self._learn_queueing(latency / usual / backend.latency_ratio, load)
        self._learn_ratios(request, backend, latency, load)
        self.usual_latencies[key] = usual + LEARNING_RATE / (1 + load) * (unloaded - usual)

    def learn_unanswered(
        self,
        request: PendingRequest,
        backend: BackendRecord,
        age: float,
        load: float,
        capacity_fraction: float,
    ) -> None:
        """Learn from an attempt that had no answer at this age, if that is more than was predicted."""
        predicted = self.expected_latency(request, load, backend.latency_ratio)
        if age * capacity_fraction > predicted:
            self._learn_ratios(request, backend, age * capacity_fraction, load)

    def queueing(self, load: float) -> float:
        """Return the latency of an attempt that meets `load` requests in flight, relative to the usual.

        An attempt waits only once all cores of the backend are busy. A factor above 1 stands for requests of
        other gateways, which come between those of this one; they may be there without any of its own.
        """
        return max(1.0, min(1.0, self.queueing_factor) + self.queueing_factor * load)

    def _learn_queueing(self, queueing: float, load: float) -> None:
        """Update the queueing factor from the relative latency of an attempt that met `load`."""
        if load:
            factor = queueing / (1 + load)
            if factor > 1:
                factor = (queueing - 1) / load
            self.queueing_factor += LEARNING_RATE * load / (1 + load) * (factor - self.queueing_factor)

    def _learn_ratios(
        self, request: PendingRequest, backend: BackendRecord, latency: float, load: float
    ) -> None:
        """Update latency ratios and deviation from a latency, in s at full capacity."""
        ratio = latency / self.usual_latency(request) / self.queueing(load)
        relative_ratio = ratio / self.fleet_latency_ratio
        error = abs(relative_ratio / backend.latency_ratio - 1)
        self.deviation += LEARNING_RATE * (error - self.deviation)
        backend.latency_ratio += LEARNING_RATE * (relative_ratio - backend.latency_ratio)
        self.fleet_latency_ratio += self.fleet_learning_rate * (ratio - self.fleet_latency_ratio)
