"""Connects recovery to the running gateway: checks for stalls before any decision, and ages unread requests.

It is created only if the operators' options contain `recovery`. After a stall nothing is sent until discovery
has replied or timed out. Requests that clients sent during the stall get the arrival time recorded by the
kernel.
"""

from __future__ import annotations

from typing import Any

from .. import logs
from ..recovery.admission_ramp import RateEstimator, StallRamp, StartRamp
from ..recovery.quota_restore import QuotaRestore
from ..recovery.readiness import (
    INITIAL_RETRY_BUDGET,
    Readiness,
    ReadinessState,
    Transition,
    is_mass_start,
)
from ..recovery.resume import resume_after_stall
from ..recovery.stall_detector import StallDetector
from .invariants import count
from .tcp_state import seconds_since_last_data

CHECK_INTERVAL = 0.1  # s
# s to wait for discovery's first reply before anything is sent, after a stall as after a start
DISCOVERY_TIMEOUT = 0.25
UNREAD_WINDOW = 2.0  # s after a stall in which bytes may still be read that arrived before its end


class RecoveryService:
    """Recovery of one gateway after a start or a stall."""

    def __init__(self, reactor: Any, gateway: Any) -> None:
        self.reactor = reactor
        self.gateway = gateway
        self.attempt_rate = RateEstimator()
        self.stall_detector = StallDetector()
        self.readiness = Readiness(gateway.now())
        self.stall_ended_at = 0.0  # s; 0 if there was no stall
        self.stall_time = 0.0  # s, duration of the last stall
        self.withheld_retries = 0.0  # taken out of the retry budget at a start
        self.discovery_timeout: Any = None  # the delayed call that ends the wait for discovery
        gateway.decisions.quota_restore = QuotaRestore(gateway.decisions)
        gateway.pool.check_stall = lambda: self.check_stall(gateway.now())

    def start(self) -> None:
        """Start the periodic check, and withhold most of the retry budget.

        It is withheld until it is known that few other gateways started at the same time.
        """
        decisions = self.gateway.decisions
        self.readiness = Readiness(self.gateway.now())
        self.withheld_retries = decisions.retries.budget
        decisions.retries.budget = min(INITIAL_RETRY_BUDGET, self.withheld_retries)
        self.check()

    def check(self) -> None:
        """Check for a stall, and update the average rate and the readiness."""
        now = self.gateway.now()
        counters = self.gateway.counters
        self.check_stall(now)
        self.attempt_rate.update(now, counters["backend_calls"])
        transition = self.readiness.update(
            now,
            responded=self._count_responding_neighbours(),
            neighbours=len(self.gateway.decisions.ring_neighbours),
            answers=counters["success"],
            unserved=self._count_unserved(),
        )
        if transition is not None:
            self.apply(transition)
        self.reactor.callLater(CHECK_INTERVAL, self.check)

    def _count_responding_neighbours(self) -> int:
        """Return how many ring neighbours have sent a message since the start or stall."""
        decisions = self.gateway.decisions
        return sum(
            decisions.peer_last_received_at.get(peer, 0.0) > self.readiness.began_at
            and peer in decisions.peer_incarnations
            for peer in decisions.ring_neighbours
        )

    def _count_unserved(self) -> int:
        """Return how many requests inside quotas have ended unserved so far."""
        causes = self.gateway.decisions.requests.rejection_counts
        return sum(number for cause, number in causes.items() if cause.startswith("inside"))

    def apply(self, transition: Transition) -> None:
        """Apply a readiness transition: lift the limits that end with it, and log it."""
        decisions = self.gateway.decisions
        many_started = is_mass_start(decisions.incarnation, decisions.peer_incarnations)
        if transition.state is ReadinessState.FULL:
            decisions.admission_ramp = None
        if transition.state is ReadinessState.LEARNING and not many_started and not self._is_budget_divided():
            decisions.retries.budget = max(decisions.retries.budget, self.withheld_retries)
            self.withheld_retries = 0.0
        logs.event(
            "recovery",
            state=transition.state.value,
            before=transition.previous.value,
            why=transition.reason,
            among="many" if many_started else "few",
            after=round(transition.elapsed, 2),
        )

    def _is_budget_divided(self) -> bool:
        """Return whether this incarnation shares the retry budget with its predecessor.

        Its predecessor then runs beside it and has the other part.
        """
        upgrade_handover = self.gateway.upgrade_handover
        return upgrade_handover is not None and upgrade_handover.partial_state is not None

    def check_stall(self, now: float) -> bool:
        """Return whether the process was stalled until now, and resume the gateway if so.

        It is called before anything else is handled, as a stall may also occur within an event-loop
        iteration.
        """
        stall_time = self.stall_detector.check(now)
        if stall_time:
            self._resume(now, stall_time)
        return stall_time > 0

    def _resume(self, now: float, stall_time: float) -> None:
        """Invalidate old data, and send nothing while the endpoint list may be out of date."""
        count("paused")
        decisions = self.gateway.decisions
        decisions.admission_ramp = StallRamp(now, self.attempt_rate.rate)
        self.stall_ended_at = now
        self.stall_time = stall_time
        decisions.is_endpoint_list_stale = self.gateway.has_started
        resume_after_stall(decisions, now, stall_time)
        for attempt in self.gateway.attempts_in_flight.values():
            attempt.sent_at += stall_time  # its backend could not have replied during the stall
        self.gateway.pool.drop_connecting()
        self.apply(self.readiness.restart(now, f"stood still for {stall_time:.2f} s"))
        if self.gateway.has_started:
            self._await_discovery()

    def _await_discovery(self) -> None:
        """Query discovery again, with a timeout after which the old endpoint list is used."""
        self.gateway.restart_watch()
        if self.discovery_timeout is not None and self.discovery_timeout.active():
            self.discovery_timeout.cancel()
        self.discovery_timeout = self.reactor.callLater(DISCOVERY_TIMEOUT, self._use_stale_endpoints)

    def _use_stale_endpoints(self) -> None:
        """Use the old endpoint list, as discovery did not reply in time."""
        if self.gateway.decisions.is_endpoint_list_stale:
            count("list_old_after_pause")
            self.gateway.decisions.is_endpoint_list_stale = False

    def limit_start(self, backends: int) -> None:
        """After a start, limit attempts to this gateway's part of what known backends surely handle."""
        decisions = self.gateway.decisions
        is_starting = self.readiness.state is ReadinessState.RETURNING and not self.stall_ended_at
        if is_starting and backends and decisions.admission_ramp is None:
            decisions.admission_ramp = StartRamp(backends, decisions.settings.gateway_count)

    def record_discovery_reply(self) -> None:
        """Mark the endpoint list as up to date."""
        self.readiness.has_fresh_endpoints = True
        self.gateway.decisions.is_endpoint_list_stale = False

    def unread_time(self, handle: Any, now: float) -> float:
        """Return for how many seconds bytes about to be read have waited in the socket because of a stall.

        The kernel records the arrival of the newest bytes only, so earlier requests of the same connection
        have waited longer.
        """
        self.check_stall(now)
        if now - self.stall_ended_at > UNREAD_WINDOW:
            return 0.0
        age = seconds_since_last_data(handle)
        if age is None:  # not reported by the kernel
            return 0.0
        return min(age, self.stall_time + now - self.stall_ended_at)
