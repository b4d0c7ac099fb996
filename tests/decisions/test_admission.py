"""Unit tests of admission: bucket, credit and concurrency slots, and the reasons for rejections."""

import random

import pytest

from corkdeal.decisions.accounts import AccountTable
from corkdeal.decisions.admission import (
    FULL_RATE_LEVEL,
    IN_FLIGHT_UTILIZATION,
    MAX_RATE_FACTOR,
    PEER_STATE_LIFETIME,
    Admission,
    RejectionReason,
)
from corkdeal.decisions.aggregation_tree import AggregationScheduler
from corkdeal.decisions.settings import Plan
from tests.helpers import settings

PLAN = Plan(rate=2.0, burst=12.0, over_quota_cost=1.0)
NOW = 100.0


def account_of(plan=PLAN, member_count=3):
    return AccountTable(settings(0, 12, plans=(plan,))).create(7, 0, 0, member_count, NOW)


def make_admission(silent=(), attempt_time=0.1):
    scheduler = AggregationScheduler(12, 0.0)
    return Admission(random.Random(1), scheduler, lambda peer, now: peer in silent, lambda: attempt_time)


def test_the_bucket_has_to_have_the_units():
    account, admission = account_of(), make_admission()
    account.level = 2.0
    assert admission.is_within_quota(account, 2.0, 1 / 3, NOW)
    assert not admission.is_within_quota(account, 2.5, 1 / 3, NOW)


def test_a_full_bucket_admits_a_request_that_is_larger_than_it():
    account, admission = account_of(), make_admission()
    account.level = 4.0
    assert admission.is_within_quota(account, 5.0, 1 / 3, NOW)


def test_a_neighbours_level_is_credit_while_it_is_fresh_and_the_neighbour_is_not_silent():
    account = account_of()
    account.level = 0.0
    account.ledgers[1].peer_level, account.ledgers[1].peer_state_at = 8.0, NOW
    assert make_admission().is_within_quota(account, 2.0, 1 / 3, NOW)
    assert not make_admission(silent={1}).is_within_quota(account, 2.0, 1 / 3, NOW)
    assert not make_admission().is_within_quota(account, 2.0, 1 / 3, NOW + PEER_STATE_LIFETIME)


def test_slots_are_shared_and_half_a_slot_is_enough_for_a_first_attempt():
    account, admission = account_of(Plan(max_in_flight=2)), make_admission()
    assert admission.is_within_quota(account, 1.0, 1 / 3, NOW)
    assert not admission.is_within_quota(account, 1.0, 1 / 5, NOW)
    account.in_flight = 1
    assert not admission.is_within_quota(account, 1.0, 1 / 3, NOW)
    assert admission.is_within_quota(account, 1.0, 1.0, NOW)


@pytest.mark.parametrize(
    "fill, rate_factor", [(1.0, MAX_RATE_FACTOR), (FULL_RATE_LEVEL, 1.0), (0.5 * FULL_RATE_LEVEL, 0.5)]
)
def test_an_aggregated_account_admits_a_part_of_what_is_asked(fill, rate_factor):
    account, admission = account_of(member_count=12), make_admission()
    account.level, account.demand = fill * PLAN.burst, 10.0
    admitted = sum(admission.is_within_quota(account, 1.0, 1.0, NOW) for _ in range(4000))
    assert admitted / 4000 == pytest.approx(rate_factor * PLAN.rate / 10.0, abs=0.03)


def test_an_aggregated_account_with_too_few_units_admits_nothing():
    account = account_of(member_count=12)
    account.level = 0.5
    assert not make_admission().is_within_quota(account, 1.0, 1.0, NOW)


def test_a_limit_on_attempts_makes_a_rate():
    admission = make_admission(attempt_time=0.2)
    assert admission.rate(account_of()) == PLAN.rate
    assert admission.rate(account_of(Plan(max_in_flight=4))) == IN_FLIGHT_UTILIZATION * 4 / 0.2


def test_rejection_reasons():
    admission = make_admission()
    hard_limited_account = account_of(Plan(rate=2.0, burst=12.0, hard_limit_rate=1.0, hard_limit_burst=3.0))
    assert admission.rejection_reason(account_of(), 1.0, is_inside_quota=True) is None
    assert admission.rejection_reason(account_of(), 1.0, is_inside_quota=False) is RejectionReason.QUOTA
    assert (
        admission.rejection_reason(hard_limited_account, 1.0, is_inside_quota=True)
        is RejectionReason.NO_CAPACITY
    )


@pytest.mark.parametrize(("weight", "cost"), [(0.0, 0.0), (1.0, 0.5), (0.5, 1.0)])
def test_a_request_beyond_the_quota_is_rejected_whatever_the_score_gives_for_it(weight, cost):
    plan = Plan(rate=2.0, burst=12.0, over_quota_weight=weight, over_quota_cost=cost)
    reason = make_admission().rejection_reason(account_of(plan), 1.0, is_inside_quota=False)
    assert reason is RejectionReason.QUOTA


def test_retry_after_is_the_time_until_the_bucket_holds_the_units():
    account = account_of()
    account.level = 1.0
    assert make_admission().retry_after(account, 2.0, 0.5) == pytest.approx(1.0, rel=1e-5)


def test_each_request_is_demand_and_an_aggregated_account_reports_it():
    admission = make_admission()
    ring, tree = account_of(), account_of(member_count=12)
    for account in (ring, tree):
        admission.record_demand(7, account, 2.0)
        assert account.demand > 0.0
    assert admission.scheduler.pending == {7: tree}
