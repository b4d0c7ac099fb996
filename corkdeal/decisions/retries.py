"""Retry policy: when a failed attempt is retried, and when a client may safely retry a rejected request.

A failed attempt is retried if all of these hold:

- the request is idempotent, or has an idempotency key, or no attempt of it can have run;
- it had fewer attempts than `Settings.max_attempts`;
- no attempt of it can have run, or the retry budget has a token left.

Whether the retry can be answered in time, and where it goes, is decided as for a first attempt. A request
that no backend has begun leaves as much work as a new one, so nothing else sets it apart. One that may have
run makes the backends work twice for one caller: each first attempt adds a fraction of a token to the budget
and each such retry takes one, so that they cannot multiply the load on failing backends (a retry storm).

Times are in seconds.
"""

from __future__ import annotations

from .events import Status
from .pending_request import PendingRequest
from .settings import DeduplicationScope, Effect, Settings

RETRY_FRACTION = 0.2  # tokens added to the retry budget per first attempt
MAX_RETRY_BUDGET = 10.0  # tokens that the retry budget holds at most
NEVER_RAN = (Status.REJECTED, Status.CONNECT_FAILED, Status.ABANDONED)  # not started by the backend


class Retries:
    """The retry policy and the retry budget of one gateway."""

    def __init__(self, settings: Settings) -> None:
        self.max_attempts = settings.max_attempts
        self.budget = MAX_RETRY_BUDGET

    def on_attempt(self, request: PendingRequest) -> None:
        """Add to the budget for a first attempt, or take a token for one of a request that may have run."""
        if request.attempts == 0:
            self.budget = min(MAX_RETRY_BUDGET, self.budget + RETRY_FRACTION)
        elif request.may_have_run_at is not None:
            self.budget = max(0.0, self.budget - 1)

    def may_retry(self, request: PendingRequest, may_have_run: bool) -> bool:
        """Return whether effect, attempts and budget all permit another attempt.

        `may_have_run` is whether an attempt may have run by the time of the retry.
        """
        if request.attempts >= self.max_attempts:
            return False
        if not may_have_run:
            return True
        return request.request_class.effect is not Effect.NOT_IDEMPOTENT and self.budget >= 1


def is_client_retry_safe(request: PendingRequest) -> bool:
    """Return whether the client may retry the request: it has not run, or running it twice is harmless."""
    has_attempt = request.backend is not None
    if request.may_have_run_at is None and not has_attempt:
        return True
    match request.request_class.effect:
        case Effect.IDEMPOTENT:
            return True
        case Effect.IDEMPOTENCY_KEY:
            is_deduplicated_everywhere = request.request_class.deduplication_scope is DeduplicationScope.ALL
            return is_deduplicated_everywhere and not has_attempt
        case Effect.NOT_IDEMPOTENT:
            return False
