"""Which backend an attempt goes to: the one with the least expected latency among those that may be used.

All candidates are compared, not two drawn ones ("power of two choices"): most of a backend's load as this
gateway sees it is its own requests in flight, so gateways do not follow each other to the same backend.
Times are in seconds, `now` is the clock of the gateway.
"""

from __future__ import annotations

import random

from .backends import BackendRecord, Backends
from .latency_model import LatencyModel
from .outlier_detection import OutlierDetection
from .records import PendingRequest
from .settings import DeduplicationScope, Effect, Settings
from .slow_start import SlowStartBudget

SAME_ZONE_COST = 0.95  # times the cost of a backend in another zone
COST_JITTER = 0.1  # of the cost, at most, added by chance


class BackendSelection:
    """Compares the backends of one gateway by what its other parts know of them."""

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
        self.has_idempotent_class = any(c.effect is Effect.IDEMPOTENT for c in settings.classes)

    def choose(self, request: PendingRequest, now: float, quota_fraction: float) -> BackendRecord | None:
        """The backend for the next attempt, None while there is none.

        `quota_fraction` is the part of this gateway's quota that this process has.
        """
        usable = [
            backend
            for backend in self.backends.preferred
            if self.slow_start.warmth(backend, now) >= 1.0
            or self.has_slow_start_credit(backend, request, now, quota_fraction)
        ]
        while True:
            candidates = self.candidates(request, usable, now)
            if self.backends.has_others() and all(
                backend.failures or backend in request.tried_backends for backend in candidates
            ):
                candidates = self.candidates(request, self.warm_backends(now), now) or candidates
            best = min(candidates, key=lambda backend: self.cost(backend, now), default=None)
            if best is None or self.slow_start.warmth(best, now) >= 1.0:
                return best
            if self.slow_start.spend_credit(best, self.latency_model.work(request)):
                return best
            usable.remove(best)

    def warm_backends(self, now: float) -> list[BackendRecord]:
        """All backends, preferred or not, that have warmed up."""
        return [b for b in self.backends.records.values() if self.slow_start.warmth(b, now) >= 1.0]

    def has_slow_start_credit(
        self, backend: BackendRecord, request: PendingRequest, now: float, quota_fraction: float
    ) -> bool:
        """Whether a backend that warms up may get one more request of this gateway's."""
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
        """The best kind of backends there is: due for a trial, untried and not ejected, not ejected, any."""
        usable = self.deduplicating(request, usable, now)
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

    def deduplicating(
        self, request: PendingRequest, usable: list[BackendRecord], now: float
    ) -> list[BackendRecord]:
        """Those that would drop a repeat, where a request with an idempotency key may have run already."""
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
        """Expected latency of one more request, relative to an idle backend's; zone and chance break ties."""
        zone_factor = SAME_ZONE_COST if backend.endpoint.zone == self.settings.zone else 1.0
        tie_break = zone_factor * (1 + COST_JITTER * self.rng.random())
        freshness = backend.freshness(now)
        warmth = self.slow_start.warmth(backend, now)
        slowness = (1 + (backend.slowness - 1) * freshness) / warmth
        return slowness * (warmth + backend.load(now)) * (1 + backend.failures * freshness) * tie_break

    def expected_latency(self, backend: BackendRecord, request: PendingRequest, now: float) -> float:
        """Expected latency of one more request at this backend, in s."""
        slowness = 1 + (backend.slowness - 1) * backend.freshness(now)
        slowness /= self.slow_start.warmth(backend, now)
        return self.latency_model.expected_latency(request, backend.load(now), slowness)
