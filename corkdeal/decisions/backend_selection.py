"""Backend selection: each attempt goes to the usable backend with the lowest expected latency.

All candidates are compared, not a random two ("power of two choices"): the load that a gateway sees is
mostly its own requests in flight, so gateways do not herd onto the same backend. Times are in seconds, `now`
is the clock of the gateway.
"""

from __future__ import annotations

import random

from .backends import BackendRecord, Backends
from .latency_model import LatencyModel
from .outlier_detection import OutlierDetection
from .pending_request import PendingRequest
from .settings import DeduplicationScope, Effect, Settings
from .slow_start import SlowStartBudget
from .wait_limit import WaitLimit

SAME_ZONE_COST = 0.95  # factor on the cost of a backend in the same zone
COST_JITTER = 0.1  # maximum random fraction added to the cost
STALE_RECORD_AGE = 1.0  # s without an attempt after which the record of a backend is not relied on


class BackendSelection:
    """Selects among the backends of one gateway."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        backends: Backends,
        latency_model: LatencyModel,
        slow_start: SlowStartBudget,
        outlier_detection: OutlierDetection,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.backends = backends
        self.latency_model = latency_model
        self.slow_start = slow_start
        self.outlier_detection = outlier_detection
        self.wait_limit = WaitLimit()
        self.has_idempotent_class = any(c.effect is Effect.IDEMPOTENT for c in settings.classes)

    def choose(self, request: PendingRequest, now: float, quota_fraction: float) -> BackendRecord | None:
        """Return the backend for the next attempt, or None if none is usable.

        `quota_fraction` is the fraction of this gateway's quota that belongs to this process.
        """
        usable = [
            backend
            for backend in self.backends.preferred
            if self.slow_start.capacity_fraction(backend, now) >= 1.0
            or self.has_slow_start_credit(backend, request, now, quota_fraction)
        ]
        while True:
            candidates = self.candidates(request, usable, now)
            if self.backends.has_non_preferred() and all(
                backend.failures or backend in request.tried_backends for backend in candidates
            ):
                candidates = self.candidates(request, self.warm_backends(now), now) or candidates
            best = self.best_of(candidates, request, now)
            if best is None or self.slow_start.capacity_fraction(best, now) >= 1.0:
                return best
            if self.slow_start.spend_credit(best, self.latency_model.work(request)):
                return best
            usable.remove(best)

    def best_of(
        self, candidates: list[BackendRecord], request: PendingRequest, now: float
    ) -> BackendRecord | None:
        """Return the candidate with the lowest cost; one with too long a wait only if all have."""
        best = min(candidates, key=lambda backend: self.cost(backend, now), default=None)
        if best is None or not self.is_wait_too_long(best, request, now):
            return best
        in_time = [b for b in candidates if not self.is_wait_too_long(b, request, now)]
        return min(in_time, key=lambda backend: self.cost(backend, now), default=best)

    def warm_backends(self, now: float) -> list[BackendRecord]:
        """Return all warmed-up backends, preferred or not."""
        return [b for b in self.backends.records.values() if self.slow_start.capacity_fraction(b, now) >= 1.0]

    def has_slow_start_credit(
        self, backend: BackendRecord, request: PendingRequest, now: float, quota_fraction: float
    ) -> bool:
        """Return whether this gateway may send one more request to a backend in slow start."""
        sharers = (
            self.settings.gateway_count
            * len(self.backends.preferred)
            / len(self.backends.records)
            / (quota_fraction or 1.0)
        )
        return self.slow_start.has_credit(backend, now, self.latency_model.work(request), sharers)

    def candidates(
        self, request: PendingRequest, usable: list[BackendRecord], now: float
    ) -> list[BackendRecord]:
        """Return the first nonempty group: due for a trial, untried and not ejected, not ejected, any."""
        usable = self.deduplicating_backends(request, usable, now)
        request_class = request.request.request_class
        untried = [b for b in usable if b not in request.tried_backends] or usable
        is_rejecting = self.outlier_detection.is_rejecting
        accepting = [b for b in untried if not is_rejecting(b, request_class, now)] or untried
        if self.outlier_detection.is_panicking(self.backends.preferred):
            return accepting
        if request.request_class.effect is Effect.IDEMPOTENT or not self.has_idempotent_class:
            trials = [b for b in accepting if self.outlier_detection.is_trial_due(b, now)]
            if trials:
                return trials
        return [b for b in accepting if not b.is_ejected] or accepting

    def deduplicating_backends(
        self, request: PendingRequest, usable: list[BackendRecord], now: float
    ) -> list[BackendRecord]:
        """Return the backends that would deduplicate a request with an idempotency key that may have run."""
        ran_at, ran_on = request.may_have_run_at, request.may_have_run_on
        if ran_at is None or ran_on is None or request.request_class.effect is not Effect.IDEMPOTENCY_KEY:
            return usable
        if now + 2 * self.settings.tick > ran_at + request.request_class.deduplication_window:
            return []
        match request.request_class.deduplication_scope:
            case DeduplicationScope.ALL:
                return usable
            case DeduplicationScope.ZONE:
                return [b for b in usable if b.endpoint.zone == ran_on.endpoint.zone]
            case DeduplicationScope.CELL:
                return [b for b in usable if b.endpoint.cell == ran_on.endpoint.cell]

    def cost(self, backend: BackendRecord, now: float) -> float:
        """Return the expected latency of one more request, relative to an idle backend.

        Zone and a random jitter break ties.
        """
        zone_factor = SAME_ZONE_COST if backend.endpoint.zone == self.settings.zone else 1.0
        tie_break = zone_factor * (1 + COST_JITTER * self.rng.random())
        freshness = backend.freshness(now)
        capacity_fraction = self.slow_start.capacity_fraction(backend, now)
        latency_ratio = (1 + (backend.latency_ratio - 1) * freshness) / capacity_fraction
        return (
            latency_ratio
            * (capacity_fraction + backend.load(now))
            * (1 + backend.failures * freshness)
            * tie_break
        )

    def is_wait_too_long(self, backend: BackendRecord, request: PendingRequest, now: float) -> bool:
        """Return whether this backend is expected to answer too late, or its queue is over the limit.

        A backend that was not used for a while is tried: its record may be outdated.
        """
        if not backend.in_flight and now - backend.last_attempt_at > STALE_RECORD_AGE:
            return False
        load = backend.load(now)
        latest = self.latest_latency(backend, request, load, now)
        wait = latest - latest / self.latency_model.queueing(load)
        return latest > request.deadline - now or self.wait_limit.is_exceeded(wait)

    def record_slack(self, request: PendingRequest, now: float) -> None:
        """Record how long a request that is about to be dispatched could wait."""
        attempt_time = self.latency_model.latest_latency(request, load=0.0, latency_ratio=1.0)
        self.wait_limit.record(request.deadline - now - attempt_time)

    def latest_latency(
        self, backend: BackendRecord, request: PendingRequest, load: float, now: float
    ) -> float:
        """Return the latency in s within which this backend is expected to answer if it has this load."""
        return self.latency_model.latest_latency(request, load, self.present_latency_ratio(backend, now))

    def may_answer_in_time(
        self, request: PendingRequest, now: float, excluded: BackendRecord | None = None
    ) -> bool:
        """Return whether a backend to which a request may go is expected to answer it in time."""
        candidates = self.candidates(request, self.backends.preferred, now)
        return any(b is not excluded and not self.is_wait_too_long(b, request, now) for b in candidates)

    def present_latency_ratio(self, backend: BackendRecord, now: float) -> float:
        """Return the backend's latency relative to a warmed-up one with the fleet's latency ratio."""
        latency_ratio = 1 + (backend.latency_ratio - 1) * backend.freshness(now)
        return latency_ratio / self.slow_start.capacity_fraction(backend, now)
