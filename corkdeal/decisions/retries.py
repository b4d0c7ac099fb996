"""Retry policy: when a failed attempt is retried, and when a client may safely retry a rejected request.

A failed attempt is retried if all of these hold:

- the request is idempotent, or has an idempotency key, or no attempt of it can have run;
- it had fewer attempts than `Settings.max_attempts`;
- the retry budget has a token left: each first attempt adds a fraction of a token and each retry takes one,
  so that retries cannot multiply the load on failing backends (a retry storm);
- its usual latency fits before its deadline.

Times are in seconds, `now` is the clock of the gateway.
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

    def __init__(self, settings: Settings, is_large_tier: bool) -> None:
        self.max_attempts = settings.max_attempts
        self.is_large_tier = is_large_tier
        self.budget = MAX_RETRY_BUDGET

    def on_first_attempt(self) -> None:
        """Add the fraction of a token for a first attempt to the budget."""
        self.budget = min(MAX_RETRY_BUDGET, self.budget + RETRY_FRACTION)

    def on_retry(self, failure: Status) -> None:
        """Take a token from the budget; in a large tier, retries after a rejection are free."""
        if not (self.is_large_tier and failure is Status.REJECTED):
            self.budget -= 1

    def may_retry(self, request: PendingRequest, usual_latency: float, now: float) -> bool:
        """Return whether effect, attempts, budget and deadline all permit another attempt."""
        is_repeatable = request.may_have_run_at is None or (
            request.request_class.effect is not Effect.NOT_IDEMPOTENT
        )
        return (
            is_repeatable
            and request.attempts < self.max_attempts
            and self.budget >= 1
            and now + usual_latency < request.deadline
        )


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
