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
    may_exceed_quota,
)
from corkdeal.decisions.aggregation_tree import AggregationScheduler
from corkdeal.decisions.settings import Plan
from tests.helpers import settings

PLAN = Plan(rate=2.0, burst=12.0, over_quota_cost=1.0)
NOW = 100.0


def account_of(plan=PLAN, member_count=3):
    return AccountTable(settings(0, 12, plans=(plan,))).create(7, 0, 0, member_count, NOW)


def admission(silent=(), attempt_time=0.1):
    scheduler = AggregationScheduler(12, 0.0)
    return Admission(random.Random(1), scheduler, lambda peer, now: peer in silent, lambda: attempt_time)


def test_the_bucket_has_to_have_the_units():
    account, made = account_of(), admission()
    account.level = 2.0
    assert made.is_within_quota(account, 2.0, 1 / 3, NOW)
    assert not made.is_within_quota(account, 2.5, 1 / 3, NOW)


def test_a_full_bucket_admits_a_request_that_is_larger_than_it():
    account, made = account_of(), admission()
    account.level = 4.0
    assert made.is_within_quota(account, 5.0, 1 / 3, NOW)


def test_a_neighbour_s_level_is_credit_while_it_is_fresh_and_the_neighbour_is_heard():
    account = account_of()
    account.level = 0.0
    account.ledgers[1].peer_level, account.ledgers[1].peer_state_at = 8.0, NOW
    assert admission().is_within_quota(account, 2.0, 1 / 3, NOW)
    assert not admission(silent={1}).is_within_quota(account, 2.0, 1 / 3, NOW)
    assert not admission().is_within_quota(account, 2.0, 1 / 3, NOW + PEER_STATE_LIFETIME)


def test_places_are_shared_and_half_a_place_is_enough_for_a_first_attempt():
    account, made = account_of(Plan(max_in_flight=2)), admission()
    assert made.is_within_quota(account, 1.0, 1 / 3, NOW)
    assert not made.is_within_quota(account, 1.0, 1 / 5, NOW)
    account.in_flight = 1
    assert not made.is_within_quota(account, 1.0, 1 / 3, NOW)
    assert made.is_within_quota(account, 1.0, 1.0, NOW)


@pytest.mark.parametrize(
    "fill, times", [(1.0, MAX_RATE_FACTOR), (FULL_RATE_LEVEL, 1.0), (0.5 * FULL_RATE_LEVEL, 0.5)]
)
def test_an_aggregated_account_admits_a_part_of_what_is_asked(fill, times):
    account, made = account_of(member_count=12), admission()
    account.level, account.demand = fill * PLAN.burst, 10.0
    admitted = sum(made.is_within_quota(account, 1.0, 1.0, NOW) for _ in range(4000))
    assert admitted / 4000 == pytest.approx(times * PLAN.rate / 10.0, abs=0.03)


def test_an_aggregated_account_with_too_few_units_admits_nothing():
    account = account_of(member_count=12)
    account.level = 0.5
    assert not admission().is_within_quota(account, 1.0, 1.0, NOW)


def test_a_limit_on_attempts_makes_a_rate():
    made = admission(attempt_time=0.2)
    assert made.rate(account_of()) == PLAN.rate
    assert made.rate(account_of(Plan(max_in_flight=4))) == IN_FLIGHT_UTILIZATION * 4 / 0.2


def test_why_a_request_is_rejected():
    made = admission()
    cheap = account_of(Plan(rate=2.0, burst=12.0, over_quota_weight=1.0, over_quota_cost=0.5))
    limited = account_of(Plan(rate=2.0, burst=12.0, hard_limit_rate=1.0, hard_limit_burst=3.0))
    assert made.rejection_reason(account_of(), 1.0, is_inside_quota=True) is None
    assert made.rejection_reason(account_of(), 1.0, is_inside_quota=False) is RejectionReason.QUOTA
    assert made.rejection_reason(cheap, 1.0, is_inside_quota=False) is None
    assert may_exceed_quota(cheap) and not may_exceed_quota(account_of())
    assert made.rejection_reason(limited, 1.0, is_inside_quota=True) is RejectionReason.NO_CAPACITY


def test_the_wait_is_until_the_bucket_has_the_units():
    account = account_of()
    account.level = 1.0
    assert admission().retry_after(account, 2.0, 0.5) == pytest.approx(1.0, rel=1e-5)


def test_a_retry_is_demand_only_in_an_aggregated_account():
    made = admission()
    ring, tree = account_of(), account_of(member_count=12)
    for account in (ring, tree):
        made.record_demand(7, account, 2.0, is_retry=True)
    assert ring.demand == 0.0 < tree.demand
    assert made.scheduler.pending == {7: tree}
    made.record_demand(7, ring, 2.0, is_retry=False)
    assert ring.demand > 0.0
