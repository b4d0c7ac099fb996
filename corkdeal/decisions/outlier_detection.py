"""Outlier detection: which backends get no requests for a while, because their answers fail or stay away.

It follows Envoy's outlier detection: consecutive errors eject a backend, each further ejection takes longer,
and a maximum ejection percent bounds how many are passed over at once. In difference to Envoy

- a success takes off one failure and does not reset them, so that a backend which fails every second
  attempt is found as well;
- an ejected backend is tried again by a single request, the trial, and stays ejected until its successes
  have made up for its failures;
- a backend that is silent for long with an attempt in flight (a hang) is ejected without an answer;
- a backend that rejects one class of requests as overloaded is passed over for that class alone.

Times are in seconds, `now` is the clock of the gateway.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from .events import Status

if TYPE_CHECKING:
    from .backends import BackendRecord

EJECTION_FAILURES = 2  # failures more than successes
EJECTION_TIME = 1.0  # s from the first ejection to its trial; it doubles with each failed trial
MAX_EJECTION_TIME = 6.0  # s
LARGE_TIER_EJECTION_FACTOR = 3.0  # many gateways, each with its own trials
MAX_EJECTED_FRACTION = 0.4  # beyond this the cause is shared, and ejected backends are used like others
MAX_CLASS_REJECTION_TIME = 16.0  # s for which a class is kept from a backend that rejected it
CLASS_REJECTION_DECAY = 0.8  # of that time, by each success
HANG_MIN_SILENCE = 0.4  # s
HANG_LATENCY_FACTOR = 4.0  # times the usual latency
LOST_OBJECTIVE_FRACTION = 0.25  # of the latency objective, after which an attempt may be taken for lost
LOST_LATENCY_FACTOR = 12.0  # times the expected latency


class OutlierDetection:
    """Ejects backends by the outcomes of attempts; the state of each is in its `BackendRecord`."""

    def __init__(self, is_large_tier: bool) -> None:
        self.ejection_factor = LARGE_TIER_EJECTION_FACTOR if is_large_tier else 1.0

    def on_failure(self, backend: BackendRecord, status: Status, now: float) -> None:
        """Count a failed attempt; a refused connection and a failed trial eject at once."""
        backend.failures += 1
        is_connect_failure = status is Status.CONNECT_FAILED
        if backend.is_ejected or backend.failures >= EJECTION_FAILURES or is_connect_failure:
            self.eject(backend, now)

    def on_success(self, backend: BackendRecord, request_class: int) -> None:
        """Make up for one failure, and open the backend to the class again."""
        rejection_time, _ = backend.rejecting_classes.get(request_class, (0.0, 0.0))
        backend.rejecting_classes[request_class] = (rejection_time * CLASS_REJECTION_DECAY, 0.0)
        backend.failures = max(0, backend.failures - 1)
        backend.is_ejected = backend.is_ejected and backend.failures > 0

    def on_rejection(self, backend: BackendRecord, request_class: int, now: float) -> None:
        """Pass the backend over for this class, for twice as long as the last time."""
        last_time, _ = backend.rejecting_classes.get(request_class, (0.0, 0.0))
        rejection_time = max(EJECTION_TIME, min(MAX_CLASS_REJECTION_TIME, 2 * last_time))
        backend.rejecting_classes[request_class] = (rejection_time, now + rejection_time)

    def eject(self, backend: BackendRecord, now: float) -> None:
        """Pass the backend over until its trial; one whose trial is not due yet stays as it is."""
        if backend.is_ejected and now < backend.ejected_until:
            return
        if backend.is_ejected:
            backend.ejection_time = min(MAX_EJECTION_TIME, 2 * backend.ejection_time)
        else:
            backend.ejection_time = EJECTION_TIME
        backend.is_ejected = True
        backend.ejected_until = now + backend.ejection_time * self.ejection_factor
        backend.failures = max(backend.failures, EJECTION_FAILURES)

    def is_hanging(self, backend: BackendRecord, sent_at: float, usual_latency: float, now: float) -> bool:
        """Whether nothing came from the backend for long, with an attempt in flight since `sent_at`."""
        silence = now - max(sent_at, backend.last_answer_at)
        return silence > max(HANG_MIN_SILENCE, HANG_LATENCY_FACTOR * usual_latency)

    def is_lost(self, age: float, latency_objective: float, expected_latency: float) -> bool:
        """Whether an attempt of that age is late by so much that its own connection is taken for dead."""
        return age > max(LOST_OBJECTIVE_FRACTION * latency_objective, LOST_LATENCY_FACTOR * expected_latency)

    def is_rejecting(self, backend: BackendRecord, request_class: int, now: float) -> bool:
        """Whether the backend is passed over for this class of requests."""
        return now < backend.rejecting_classes.get(request_class, (0.0, 0.0))[1]

    def is_trial_due(self, backend: BackendRecord, now: float) -> bool:
        """Whether an ejected backend should get a single request now."""
        return backend.is_ejected and not backend.in_flight and now >= backend.ejected_until

    def is_panicking(self, backends: Sequence[BackendRecord]) -> bool:
        """Whether more than the maximum fraction are ejected, so that no ejection counts."""
        return sum(b.is_ejected for b in backends) > MAX_EJECTED_FRACTION * len(backends)
