"""Unit tests of accounts: token bucket, hard limit, demand, and ring or tree neighbours."""

import math

import pytest

from corkdeal.decisions.accounts import (
    AGGREGATED_DEMAND_TIME_CONSTANT,
    AGGREGATED_IDLE_TIMEOUT,
    DEMAND_TIME_CONSTANT,
    IDLE_TIMEOUT,
    MAX_EXCHANGE_MEMBERS,
    AccountTable,
)
from corkdeal.decisions.peer_messages import SHARE_STEPS
from corkdeal.decisions.settings import Plan
from tests.helpers import settings

PLAN = Plan(rate=2.0, burst=10.0, hard_limit_rate=3.0, hard_limit_burst=6.0)


def table(gateway_index=0, gateway_count=3, plan=PLAN):
    return AccountTable(settings(gateway_index, gateway_count, plans=(plan,)))


def test_an_account_begins_with_an_even_share():
    accounts = table()
    account = accounts.create(7, 0, 0, 2, now=100.0)
    assert accounts.by_customer == {7: account}
    assert (account.level, account.base_share(), account.is_member) == (5.0, 0.5, True)


def test_ledgers_move_the_base_share_and_never_below_zero():
    account = table().create(7, 0, 0, 3, now=100.0)
    account.ledgers[1].received_share = SHARE_STEPS // 3
    assert account.base_share() == pytest.approx(2 / 3, abs=1e-4)
    account.ledgers[2].received_share = -SHARE_STEPS
    assert account.base_share() == 0.0


def test_a_bucket_fills_at_the_share_of_the_rate_up_to_that_of_the_burst():
    account = table().create(7, 0, 0, 2, now=100.0)
    account.spend(5.0)
    account.refill(101.0, share=0.5, may_shrink=True)
    assert account.level == 1.0
    account.refill(200.0, share=0.5, may_shrink=True)
    assert account.level == 5.0
    account.refill(200.0, share=0.25, may_shrink=False)
    assert account.level == 5.0
    account.refill(200.0, share=0.25, may_shrink=True)
    assert account.level == 2.5


def test_the_hard_limit_fills_at_members_alone():
    member, other = table(0).create(7, 0, 0, 2, now=100.0), table(2).create(7, 0, 0, 2, now=100.0)
    for account in (member, other):
        account.refill(101.0, share=0.5, may_shrink=True)
    assert (member.hard_limit_level, other.hard_limit_level) == (1.5, 0.0)
    member.refill(200.0, share=0.5, may_shrink=True)
    assert member.hard_limit_level == 3.0


@pytest.mark.parametrize(("quota_fraction", "level"), [(0.4, 0.6), (0.0, 0.0)])
def test_the_hard_limit_fills_at_the_fraction_that_this_process_has(quota_fraction, level):
    account = table(0).create(7, 0, 0, 2, now=100.0)
    account.refill(101.0, share=0.5, may_shrink=True, quota_fraction=quota_fraction)
    assert account.hard_limit_level == pytest.approx(level)
    account.refill(200.0, share=0.5, may_shrink=True, quota_fraction=quota_fraction)
    assert account.hard_limit_level == pytest.approx(3.0 * quota_fraction)


def test_demand_is_averaged_over_its_time_constant():
    account = table().create(7, 0, 0, 2, now=100.0)
    account.add_demand(4.0)
    assert (account.demand, account.total_requested) == (4.0 / DEMAND_TIME_CONSTANT, 0.0)
    account.refill(100.0 + DEMAND_TIME_CONSTANT, share=0.5, may_shrink=True)
    assert account.demand == pytest.approx(4.0 / DEMAND_TIME_CONSTANT / math.e)


def test_an_aggregated_account_has_running_totals_and_no_debt():
    account = table(0, 12).create(7, 0, 0, 12, now=100.0)
    assert account.is_aggregated and account.level == PLAN.burst and not account.ledgers
    account.add_demand(4.0)
    account.spend(12.0)
    assert account.demand == 4.0 / AGGREGATED_DEMAND_TIME_CONSTANT
    assert (account.total_requested, account.total_spent, account.level) == (4.0, 12.0, 0.0)


def test_a_small_set_is_a_ring_and_a_large_one_a_tree():
    accounts = table(3, 20)
    assert not accounts.create(1, 0, 0, MAX_EXCHANGE_MEMBERS, now=100.0).is_aggregated
    large = accounts.create(2, 0, 0, MAX_EXCHANGE_MEMBERS + 1, now=100.0)
    assert large.is_aggregated and large.parent in large.tree_edges


@pytest.mark.parametrize(
    "gateway_index, first, count, predecessor, second, neighbours",
    [
        (0, 0, 1, None, None, set()),
        (0, 0, 2, 1, None, {1}),
        (0, 0, 3, 2, 1, {1, 2}),
        (4, 4, 3, 1, 0, {0, 1}),  # the ring is 0, 1, 4
        (2, 0, 5, 1, 0, {1, 3}),
        (5, 0, 3, None, None, set()),  # not a member
    ],
)
def test_ring_neighbours(gateway_index, first, count, predecessor, second, neighbours):
    gateways = 5 if first == 4 else 6
    accounts = table(gateway_index, gateways)
    if first == 4:
        assert (first + count - 1) % gateways == 1
    account = accounts.create(7, 0, first, count, now=100.0)
    assert (account.predecessor, account.second_predecessor) == (predecessor, second)
    assert set(account.ledgers) == neighbours == accounts.ring_neighbours


def test_more_members_than_gateways_are_as_many_as_there_are():
    assert table().create(7, 0, 0, 9, now=100.0).member_count == 3
    assert table().create(7, 0, 0, 0, now=100.0).member_count == 1


@pytest.mark.parametrize("member_count, timeout", [(2, IDLE_TIMEOUT), (12, AGGREGATED_IDLE_TIMEOUT)])
def test_idle_accounts_are_forgotten(member_count, timeout):
    accounts = table(0, 12)
    account = accounts.active[7] = accounts.create(7, 0, 0, member_count, now=100.0)
    accounts.forget_idle(100.0 + timeout)
    assert accounts.by_customer == {7: account}
    account.in_flight = 1
    accounts.forget_idle(100.1 + timeout)
    assert accounts.by_customer == {7: account}
    account.in_flight = 0
    accounts.forget_idle(100.1 + timeout)
    assert not accounts.by_customer and not accounts.active


def test_an_account_is_kept_for_as_long_as_its_bucket_takes_to_fill():
    account = table(plan=Plan(rate=0.1, burst=10.0)).create(7, 0, 0, 2, now=100.0)
    assert not account.is_idle(199.0) and account.is_idle(200.5)


UNLIMITED = Plan(rate=2.0, burst=10.0)  # without a hard limit


def fill(accounts, count, now):
    """Create accounts that have each spent one unit."""
    for customer in range(count):
        assert accounts.make_room(now)
        account = accounts.create(customer, 0, 0, 1, now)
        account.spend(1.0)
        account.hard_limit_level -= 1.0  # which the lifecycle of a request does for every plan


def test_at_the_limit_the_longest_unused_replenished_account_makes_room():
    accounts = table(gateway_count=1, plan=UNLIMITED)
    accounts.max_accounts = 3
    fill(accounts, 3, now=100.0)
    assert not accounts.make_room(100.1)  # each would get its unit back
    accounts.touch(0)
    assert accounts.make_room(101.0)
    assert list(accounts.by_customer) == [2, 0]


def test_accounts_whose_loss_would_admit_more_stay_at_the_limit():
    accounts = table(gateway_count=3)
    accounts.max_accounts = 3
    busy, moved, limited = (accounts.create(customer, 0, 0, 2, now=100.0) for customer in range(3))
    busy.in_flight = 1
    next(iter(moved.ledgers.values())).received_share = 5
    assert limited.plan.hard_limit_rate
    assert not accounts.make_room(103.0)


def test_without_ring_neighbours_idle_accounts_are_dropped_as_others_are_created():
    accounts = table(gateway_count=1)
    fill(accounts, 5, now=100.0)
    assert accounts.make_room(100.0 + IDLE_TIMEOUT + 1)
    assert not accounts.by_customer
