"""The lifecycle of a request, from its arrival to its one final reply.

An admitted request is dispatched: an attempt starts at once, or the request waits for the next scan if no
backend is usable, or it is rejected because it would be late. When an attempt ends, the request is finished,
retried (`retries`), rejected or failed. Each request has a deadline timer.
"""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from .accounts import Account, AccountTable
from .actions import Action, CancelAttempt, Fail, Reject, StartAttempt
from .admission import Admission, RejectionReason
from .backend_selection import BackendSelection
from .backends import BackendRecord, Backends
from .deadline_timers import DeadlineTimers
from .events import AttemptEnded, Request, Status, StreamStarted
from .latency_model import LatencyModel
from .outlier_detection import OutlierDetection
from .pending_request import PendingRequest
from .retries import NEVER_RAN, Retries, is_client_retry_safe
from .settings import Effect, Settings
from .slow_start import SlowStartBudget


class RequestHost(Protocol):
    """What the handling of requests needs of its gateway."""

    now: float  # s
    actions: list[Action]  # in response to the events being handled
    quota_fraction: float  # of this gateway's quota that this process may spend
    is_endpoint_list_stale: bool

    def account(self, customer: int, plan: int, first_gateway: int, member_count: int, /) -> Account:
        """Return the customer's account, created if missing."""

    def refill(self, account: Account, /) -> float:
        """Advance an account's token bucket to the present time; returns its quota share."""

    def has_room_for(self, customer: int, /) -> bool:
        """Return whether the customer has an account, or may get one."""

    def may_start_attempt(self) -> bool:
        """Return whether the admission ramp after a start or a stall, if any, admits one more attempt."""


class RequestLifecycle:
    """All requests of one gateway that still need a reply, and their attempts."""

    def __init__(
        self,
        settings: Settings,
        host: RequestHost,
        accounts: AccountTable,
        admission: Admission,
        backends: Backends,
        backend_selection: BackendSelection,
        latency_model: LatencyModel,
        slow_start: SlowStartBudget,
        outlier_detection: OutlierDetection,
        retries: Retries,
    ) -> None:
        self.settings = settings
        self.host = host
        self.accounts = accounts
        self.admission = admission
        self.backends = backends
        self.backend_selection = backend_selection
        self.latency_model = latency_model
        self.slow_start = slow_start
        self.outlier_detection = outlier_detection
        self.retries = retries
        self.deadline_timers = DeadlineTimers()
        self.pending: dict[int, PendingRequest] = {}  # by request id
        # by request id and number of the attempt
        self.attempts_in_flight: dict[tuple[int, int], tuple[BackendRecord, Account]] = {}
        self.waiting: list[int] = []  # ids of requests that wait for a usable backend
        self.rejection_counts: Counter[str] = Counter()  # metrics by quota state and reason

    def early_rejection(self, request: Request) -> float | None:
        """Decide whether a request can be rejected by its head alone, before its body has arrived.

        Returns the Retry-After in seconds, or None if the decision has to wait for the body. Nothing is spent
        here, but the request counts as demand, so that shares follow it.
        """
        if not self.host.has_room_for(request.customer):
            return max(self.settings.tick, self.settings.max_retry_after)
        account = self.host.account(
            request.customer, request.plan, request.first_gateway, request.member_count
        )
        share = self.host.refill(account)
        if self._is_inside_quota(account, request.units, share):
            return None
        if not account.plan.rate:
            return None
        account.last_request_at = self.host.now
        self.admission.record_demand(request.customer, account, request.units)
        return max(self.settings.tick, self.admission.retry_after(account, request.units, share))

    def handle_request(self, request: Request) -> None:
        """Admit a request and dispatch it, or reject it at once."""
        if not self.host.has_room_for(request.customer):
            self._reject_without_account(request)
            return
        account = self.host.account(
            request.customer, request.plan, request.first_gateway, request.member_count
        )
        share = self.host.refill(account)
        account.last_request_at = self.host.now
        self.accounts.mark_active(request.customer, account)
        pending = self._add_pending(request, account)
        self.admission.record_demand(request.customer, account, pending.units)
        self.host.actions.append(
            self.deadline_timers.set(request.id, request.timeout - 2 * self.settings.tick)
        )
        pending.is_inside_quota = self._is_inside_quota(account, request.units, share)
        reason = self.admission.rejection_reason(account, request.units, pending.is_inside_quota)
        if reason is None and not self.host.may_start_attempt():
            reason = RejectionReason.NO_CAPACITY
        if reason is None:
            self.dispatch(pending)
            return
        retry_after = 0.0
        if account.plan.rate:
            retry_after = self.admission.retry_after(account, request.units, share)
        self.finish_unserved(pending, reason, retry_after)

    def _reject_without_account(self, request: Request) -> None:
        """Reject the request of a customer for whose account there is no room."""
        self.rejection_counts[f"beyond_{RejectionReason.TOO_MANY_ACCOUNTS.value}"] += 1
        retry_after = self.settings.max_retry_after if self.settings.may_send_retry_after else 0.0
        self.host.actions.append(Reject(request.id, retry_after))

    def _add_pending(self, request: Request, account: Account) -> PendingRequest:
        """Register a request until its final reply; under a plan without a rate it counts as one unit."""
        pending = PendingRequest(
            request,
            self.settings.classes[request.request_class],
            account,
            request.units if account.plan.rate else 1.0,
            self.host.now + request.timeout,
        )
        self.pending[request.id] = pending
        return pending

    def _is_inside_quota(self, account: Account, units: float, share: float) -> bool:
        """Return whether the units are within the quota; never if another process owns all of it."""
        if self.host.quota_fraction <= 0:
            return False
        return self.admission.is_within_quota(account, units, share, self.host.now)

    def forget(self, request_id: int) -> None:
        """Drop a request that needs no reply any more; its attempt continues."""
        self.pending.pop(request_id, None)
        self.deadline_timers.cancel(request_id)

    def expire(self, token: int) -> None:
        """Finish the request of an expired deadline timer, unless its answer has begun."""
        request_id = self.deadline_timers.expire(token)
        request = None if request_id is None else self.pending.get(request_id)
        if request is not None and not request.is_streaming:
            self._learn_unanswered(request)
            self.finish_unserved(request, RejectionReason.DEADLINE)

    def dispatch_waiting(self) -> None:
        """Dispatch all requests that wait for a backend."""
        waiting, self.waiting = self.waiting, []
        for request in [self.pending[request_id] for request_id in waiting if request_id in self.pending]:
            self.dispatch(request)

    def check_attempts(self) -> None:
        """Check all attempts in flight for hanging backends and lost connections."""
        for (request_id, _), (backend, _) in list(self.attempts_in_flight.items()):
            self.check_attempt(request_id, backend)

    def dispatch(self, request: PendingRequest) -> None:
        """Start the next attempt, queue the request without a backend, or reject one that would be late."""
        backend = self._choose_backend(request)
        if backend is None:
            self._queue_waiting(request)
            return
        self.backend_selection.record_slack(request, self.host.now)
        if self.backend_selection.is_wait_too_long(backend, request, self.host.now):
            self.finish_unserved(request, RejectionReason.LATE)
        else:
            self._start_attempt(request, backend)

    def _choose_backend(self, request: PendingRequest) -> BackendRecord | None:
        """Return the backend for the next attempt; None while the endpoint list may be stale."""
        if self.host.is_endpoint_list_stale:
            return None
        return self.backend_selection.choose(request, self.host.now, self.host.quota_fraction)

    def _queue_waiting(self, request: PendingRequest) -> None:
        """Queue a request for the next scan while its caller's time allows an attempt, else reject it."""
        if self._is_time_for_attempt(request):
            self.waiting.append(request.request.id)
        else:
            self.finish_unserved(request, RejectionReason.NO_BACKEND)

    def _is_time_for_attempt(self, request: PendingRequest) -> bool:
        """Return whether a usual, idle backend is expected to answer while the caller still waits."""
        latest = self.latency_model.latest_latency(request, load=0.0, latency_ratio=1.0)
        return self.host.now + latest < request.deadline

    def _start_attempt(self, request: PendingRequest, backend: BackendRecord) -> None:
        """Start an attempt; the first one takes the units from the bucket and the hard limit."""
        account, request_id = request.account, request.request.id
        if request.attempts == 0:
            account.hard_limit_level -= request.request.units
            account.spend(request.units)
        self.retries.on_attempt(request)
        account.in_flight += 1
        backend.start_attempt(request_id, self.host.now)
        self.attempts_in_flight[request_id, request.attempts] = (backend, account)
        request.attempts += 1
        request.backend = backend
        request.is_cancelled = False
        request.tried_backends.append(backend)
        self.host.actions.append(StartAttempt(request_id, backend.endpoint.backend))

    def finish_unserved(
        self, request: PendingRequest, reason: RejectionReason, retry_after: float = 0.0
    ) -> None:
        """Send the final reply: a rejection if a retry by the client is harmless, else a failure.

        With `retry_after` 0, the Retry-After is the request's usual latency.
        """
        request_id = request.request.id
        self.forget(request_id)
        quota = "inside" if request.is_inside_quota else "beyond"
        self.rejection_counts[f"{quota}_{reason.value}"] += 1
        if is_client_retry_safe(request):
            self.host.actions.append(Reject(request_id, self._limit_retry_after(request, retry_after)))
        else:
            self.host.actions.append(Fail(request_id))
        if request.backend is not None and self.settings.may_cancel:
            self.host.actions.append(CancelAttempt(request_id, request.attempts - 1))

    def _limit_retry_after(self, request: PendingRequest, retry_after: float) -> float:
        """Return the Retry-After to send, in s; 0 for none."""
        if not self.settings.may_send_retry_after:
            return 0.0
        wait = retry_after or self.latency_model.usual_latency(request)
        return min(wait, self.settings.max_retry_after)

    def handle_attempt_ended(self, event: AttemptEnded) -> None:
        """Learn from the outcome of an attempt, and retry or finish its request."""
        attempt = self.attempts_in_flight.pop((event.id, event.attempt), None)
        if attempt is None:
            return
        backend, account = attempt
        account.in_flight -= 1
        self._learn(backend, event)
        request = self.pending.get(event.id)
        if request is None:
            return
        if event.true_units is not None:
            account.level -= event.true_units - request.request.units
        if event.final or event.status is Status.OK:
            self.forget(event.id)
        else:
            self._handle_failed_attempt(request, backend, event)

    def _handle_failed_attempt(
        self, request: PendingRequest, backend: BackendRecord, event: AttemptEnded
    ) -> None:
        """Retry the request, or send its final reply."""
        if event.status not in NEVER_RAN and request.may_have_run_at is None:
            request.may_have_run_at = self.host.now - event.elapsed
            request.may_have_run_on = backend
        request.backend = None
        request.is_streaming = False
        if not self.retries.may_retry(request, may_have_run=request.may_have_run_at is not None):
            self.finish_unserved(request, RejectionReason.ATTEMPTS_FAILED)
        elif not self.host.may_start_attempt():
            self.finish_unserved(request, RejectionReason.NO_CAPACITY)
        else:
            self.dispatch(request)

    def handle_stream_started(self, event: StreamStarted) -> None:
        """Mark a request whose answer has begun, so that neither deadline nor retry ends it.

        For a class that is not streaming, the backend has finished its work by then. The attempt no longer
        counts as load, however slowly the client reads the answer.
        """
        backend, _ = self.attempts_in_flight.get((event.id, event.attempt), (None, None))
        if backend is not None:
            backend.last_answer_at = self.host.now
        request = self.pending.get(event.id)
        if request is None:
            return
        request.is_streaming = True
        if backend is not None and not request.request_class.is_streaming:
            backend.start_streaming(event.id)

    def _learn(self, backend: BackendRecord, event: AttemptEnded) -> None:
        """Update backend records and models from an attempt's outcome and its load report."""
        load = backend.end_attempt(event.id, self.host.now)
        request = self.pending.get(event.id)
        reported = event.report.get("inflight", event.report.get("queue"))
        if reported is not None:
            backend.set_reported_load(reported, self.host.now)
        if event.status in (Status.CANCELLED, Status.ABANDONED):
            return
        if event.status is not Status.TIMEOUT:
            backend.last_answer_at = self.host.now
        if event.status is Status.REJECTED and request is not None:
            self.outlier_detection.on_rejection(backend, request.request.request_class, self.host.now)
        elif event.status is not Status.OK:
            self.outlier_detection.on_failure(backend, event.status, self.host.now)
        elif request is not None:
            self.outlier_detection.on_success(backend, request.request.request_class)
            self._learn_from_success(request, backend, event.elapsed, load)

    def _learn_from_success(
        self, request: PendingRequest, backend: BackendRecord, latency: float, load: float
    ) -> None:
        """Update the served rate and the latency model from a successful attempt."""
        total_capacity = sum(
            self.slow_start.capacity_fraction(b, self.host.now) for b in self.backends.preferred
        )
        work = self.latency_model.work(request)
        self.slow_start.served.add(self.host.now, work / (total_capacity or 1.0))  # per warmed-up backend
        capacity_fraction = self.slow_start.capacity_fraction(backend, self.host.now)
        self.latency_model.learn(request, backend, latency, load, capacity_fraction)

    def _learn_unanswered(self, request: PendingRequest) -> None:
        """Update the latency model from the attempt of a caller who stops waiting, if one is in flight.

        The silence of an ejected backend is a fault of its own and tells nothing of the load.
        """
        backend = request.backend
        attempt = None if backend is None else backend.in_flight.get(request.request.id)
        if backend is None or attempt is None or self._is_ejected(backend):
            return
        sent_at, load = attempt
        capacity_fraction = self.slow_start.capacity_fraction(backend, self.host.now)
        self.latency_model.learn_unanswered(
            request, backend, self.host.now - sent_at, load, capacity_fraction
        )

    def _is_ejected(self, backend: BackendRecord) -> bool:
        """Return whether a backend is ejected, and few enough are for the cause to be its own."""
        return backend.is_ejected and not self.outlier_detection.is_panicking(self.backends.preferred)

    def check_attempt(self, request_id: int, backend: BackendRecord) -> None:
        """Eject a hanging backend, and cancel a hanging or lost attempt that can be retried in time."""
        request = self.pending.get(request_id)
        if request is None or request.is_streaming or request.is_cancelled:
            return
        now = self.host.now
        sent_at, load = backend.in_flight.get(request_id, (now, 0.0))
        if not self.outlier_detection.may_be_overdue(backend, sent_at, request.deadline, now):
            return
        usual_latency = self.latency_model.usual_latency(request)
        latest_latency = self.backend_selection.latest_latency(backend, request, load, now)
        if self.outlier_detection.is_hanging(backend, sent_at, usual_latency, latest_latency, now):
            self.outlier_detection.eject(backend, now)
            may_retry = self._may_cancel_and_retry(request, excluded=backend)
        elif self.outlier_detection.is_lost(
            now - sent_at, request.deadline - now, usual_latency, latest_latency
        ):
            may_retry = self._may_cancel_and_retry(request)
        else:
            return
        if may_retry:
            request.is_cancelled = True
            self.host.actions.append(CancelAttempt(request_id, request.attempts - 1))

    def _may_cancel_and_retry(self, request: PendingRequest, excluded: BackendRecord | None = None) -> bool:
        """Return whether an attempt may be cancelled, and a backend is expected to answer a retry in time."""
        return (
            request.request_class.effect is not Effect.NOT_IDEMPOTENT
            and self.settings.may_cancel
            and self.retries.may_retry(request, may_have_run=True)
            and self.backend_selection.may_answer_in_time(request, self.host.now, excluded)
        )
