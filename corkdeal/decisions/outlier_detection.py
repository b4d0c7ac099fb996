"""Outlier detection: temporarily ejects backends that fail or do not answer.

It follows Envoy's outlier detection: consecutive errors eject a backend, each further ejection takes longer,
and a maximum ejection percentage bounds how many backends are ejected at once. It differs from Envoy in that

- a success cancels one failure instead of resetting the count, so that a backend that fails two of three
  attempts is detected as well;
- an ejected backend is probed by a single request, the trial, and stays ejected until its successes offset
  its failures;
- a backend that stays silent with an attempt in flight (a hang) is ejected without waiting for its answer;
- a backend that rejects one class of requests as overloaded is avoided for that class only.

Times are in seconds, `now` is the clock of the gateway.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from .events import Status

if TYPE_CHECKING:
    from .backends import BackendRecord

EJECTION_FAILURES = 2  # failures minus successes that eject
EJECTION_TIME = 1.0  # s from the first ejection to the trial; doubled by each failed trial
MAX_EJECTION_TIME = 6.0  # s
LARGE_TIER_EJECTION_FACTOR = 3.0  # ejections last longer, since each of many gateways makes its own trials
MAX_EJECTED_FRACTION = 0.4  # above this the cause is taken to be common, and ejections are ignored
MAX_CLASS_REJECTION_TIME = 16.0  # s for which a backend is avoided for a class that it rejected
CLASS_REJECTION_DECAY = 0.8  # factor that each success applies to that time
HANG_MIN_SILENCE = 0.4  # s without an answer before a backend counts as hanging
SLOW_LATENCY_FACTOR = 4.0  # multiple of the usual latency within which no attempt counts as hanging or lost


class OutlierDetection:
    """Ejects backends by the outcomes of attempts; their state is kept in `BackendRecord`."""

    def __init__(self, is_large_tier: bool) -> None:
        self.ejection_factor = LARGE_TIER_EJECTION_FACTOR if is_large_tier else 1.0

    def on_failure(self, backend: BackendRecord, status: Status, now: float) -> None:
        """Count a failed attempt; a connection failure or a failed trial ejects at once."""
        backend.failures += 1
        is_connect_failure = status is Status.CONNECT_FAILED
        if backend.is_ejected or backend.failures >= EJECTION_FAILURES or is_connect_failure:
            self.eject(backend, now)

    def on_success(self, backend: BackendRecord, request_class: int) -> None:
        """Cancel one failure, and let the class use the backend again."""
        rejection_time, _ = backend.rejecting_classes.get(request_class, (0.0, 0.0))
        backend.rejecting_classes[request_class] = (rejection_time * CLASS_REJECTION_DECAY, 0.0)
        backend.failures = max(0, backend.failures - 1)
        backend.is_ejected = backend.is_ejected and backend.failures > 0

    def on_rejection(self, backend: BackendRecord, request_class: int, now: float) -> None:
        """Avoid the backend for this class, for twice as long as the last time."""
        last_time, _ = backend.rejecting_classes.get(request_class, (0.0, 0.0))
        rejection_time = max(EJECTION_TIME, min(MAX_CLASS_REJECTION_TIME, 2 * last_time))
        backend.rejecting_classes[request_class] = (rejection_time, now + rejection_time)

    def eject(self, backend: BackendRecord, now: float) -> None:
        """Eject the backend until its trial; no effect if it is ejected and its trial is not yet due."""
        if backend.is_ejected and now < backend.ejected_until:
            return
        if backend.is_ejected:
            backend.ejection_time = min(MAX_EJECTION_TIME, 2 * backend.ejection_time)
        else:
            backend.ejection_time = EJECTION_TIME
        backend.is_ejected = True
        backend.ejected_until = now + backend.ejection_time * self.ejection_factor
        backend.failures = max(backend.failures, EJECTION_FAILURES)

    def may_be_overdue(self, backend: BackendRecord, sent_at: float, deadline: float, now: float) -> bool:
        """Return whether an attempt is old enough to be hanging or lost; `deadline` is its caller's."""
        silence = now - max(sent_at, backend.last_answer_at)
        return silence > HANG_MIN_SILENCE or now - sent_at > deadline - now

    def is_hanging(
        self,
        backend: BackendRecord,
        sent_at: float,
        usual_latency: float,
        latest_latency: float,
        now: float,
    ) -> bool:
        """Return whether the backend has been silent too long with an attempt in flight since `sent_at`.

        `latest_latency` is the latency within which that attempt was expected to be answered.
        """
        silence = now - max(sent_at, backend.last_answer_at)
        return silence > max(HANG_MIN_SILENCE, SLOW_LATENCY_FACTOR * usual_latency, latest_latency)

    def is_lost(self, age: float, time_left: float, usual_latency: float, latest_latency: float) -> bool:
        """Return whether the connection of an attempt of this age is presumed dead.

        An attempt may take half of the time that its caller had, so that a retry has as long.
        """
        return age > max(time_left, SLOW_LATENCY_FACTOR * usual_latency, latest_latency)

    def is_rejecting(self, backend: BackendRecord, request_class: int, now: float) -> bool:
        """Return whether the backend is avoided for this class of requests."""
        return now < backend.rejecting_classes.get(request_class, (0.0, 0.0))[1]

    def is_trial_due(self, backend: BackendRecord, now: float) -> bool:
        """Return whether an ejected backend should receive its trial request now."""
        return backend.is_ejected and not backend.in_flight and now >= backend.ejected_until

    def is_panicking(self, backends: Sequence[BackendRecord]) -> bool:
        """Return whether more than the maximum fraction is ejected, so that ejections are ignored."""
        return sum(b.is_ejected for b in backends) > MAX_EJECTED_FRACTION * len(backends)
