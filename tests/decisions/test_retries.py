"""Unit tests of the retry policy: each rule, the retry budget, and when a client may retry."""

import pytest

from corkdeal.decisions.accounts import Account
from corkdeal.decisions.backends import BackendRecord
from corkdeal.decisions.events import Endpoint, EndpointState
from corkdeal.decisions.pending_request import PendingRequest
from corkdeal.decisions.retries import MAX_RETRY_BUDGET, RETRY_FRACTION, Retries, is_client_retry_safe
from corkdeal.decisions.settings import DeduplicationScope, Effect, RequestClass
from tests.helpers import PLAN, request, settings

NOW = 100.0
EFFECTS = (Effect.IDEMPOTENT, Effect.IDEMPOTENCY_KEY, Effect.NOT_IDEMPOTENT)


def pending(effect=Effect.IDEMPOTENT, scope=DeduplicationScope.ALL, has_run=False, has_attempt=False):
    request_class = RequestClass(1.0, 3.0, effect=effect, deduplication_scope=scope)
    pending_request = PendingRequest(
        request(1), request_class, Account(PLAN, 0, 0, 1, NOW, NOW), 1.0, NOW + 3.0
    )
    pending_request.attempts = 1
    backend = BackendRecord(Endpoint("a", EndpointState.READY))
    if has_run:
        pending_request.may_have_run_at, pending_request.may_have_run_on = NOW, backend
    pending_request.backend = backend if has_attempt else None
    return pending_request


def retries():
    return Retries(settings(max_attempts=4))


@pytest.mark.parametrize("effect", EFFECTS)
@pytest.mark.parametrize("has_run", [False, True])
def test_only_what_may_run_twice_is_retried_once_it_may_have_run(effect, has_run):
    may_retry = retries().may_retry(pending(effect, has_run=has_run), has_run)
    assert may_retry is not (has_run and effect is Effect.NOT_IDEMPOTENT)


def test_the_number_of_attempts_is_limited():
    tried = pending()
    tried.attempts = 3
    assert retries().may_retry(tried, False)
    tried.attempts = 4
    assert not retries().may_retry(tried, False)


def test_the_budget_bounds_retries_of_what_may_have_run_to_a_fraction_of_first_attempts():
    policy, sent = retries(), 0
    first, again = pending(), pending(has_run=True)
    first.attempts = 0
    for _ in range(1000):
        policy.on_attempt(first)
        while policy.may_retry(again, True):
            policy.on_attempt(again)
            sent += 1
    assert 1000 * RETRY_FRACTION <= sent <= 1000 * RETRY_FRACTION + MAX_RETRY_BUDGET


def test_a_quiet_spell_does_not_save_up_more_than_the_maximum():
    policy, first = retries(), pending()
    first.attempts = 0
    for _ in range(1000):
        policy.on_attempt(first)
    assert policy.budget == MAX_RETRY_BUDGET


def test_a_request_that_has_not_run_is_retried_without_the_budget():
    """It leaves as much work as a new request, so neither is favoured."""
    policy = retries()
    policy.on_attempt(pending())
    assert policy.budget == MAX_RETRY_BUDGET
    policy.budget = 0.0
    assert policy.may_retry(pending(), False) and not policy.may_retry(pending(has_run=True), True)
    policy.on_attempt(pending(has_run=True))  # it was queued while the budget had a token
    assert policy.budget == 0.0


@pytest.mark.parametrize("effect", EFFECTS)
def test_a_request_that_no_backend_has_seen_may_be_sent_again_by_its_client(effect):
    assert is_client_retry_safe(pending(effect))


@pytest.mark.parametrize(
    ("effect", "scope", "has_attempt", "harmless"),
    [
        (Effect.IDEMPOTENT, DeduplicationScope.ALL, False, True),
        (Effect.IDEMPOTENT, DeduplicationScope.ALL, True, True),
        (Effect.IDEMPOTENCY_KEY, DeduplicationScope.ALL, False, True),
        (Effect.IDEMPOTENCY_KEY, DeduplicationScope.ALL, True, False),
        (Effect.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, False, False),
        (Effect.IDEMPOTENCY_KEY, DeduplicationScope.CELL, False, False),
        (Effect.NOT_IDEMPOTENT, DeduplicationScope.ALL, False, False),
        (Effect.NOT_IDEMPOTENT, DeduplicationScope.ALL, True, False),
    ],
)
def test_a_client_may_retry_what_may_have_run_only_if_a_repeat_is_harmless(
    effect, scope, has_attempt, harmless
):
    assert is_client_retry_safe(pending(effect, scope, True, has_attempt)) is harmless


def test_an_attempt_in_flight_may_run_yet():
    assert not is_client_retry_safe(pending(Effect.NOT_IDEMPOTENT, has_attempt=True))
