"""Unit tests of restoring quota shares, on a fake host."""

import pytest

from corkdeal.decisions.accounts import Account, PeerLedger
from corkdeal.decisions.peer_messages import SHARE_STEPS, AccountUpdate
from corkdeal.decisions.persisted_state import StoredAccount, StoredLedger
from corkdeal.recovery.quota_restore import (
    AGGREGATED_INITIAL_FILL,
    AGGREGATION_DELAY,
    MAX_REPORTED_ACCOUNTS,
    PEER_TIMEOUT,
    QuotaRestore,
)
from tests.helpers import PLAN

CUSTOMER = 7


def account(**changes):
    fields = {
        "plan": PLAN,
        "plan_index": 0,
        "first_gateway": 0,
        "member_count": 3,
        "refilled_at": 0.0,
        "last_request_at": 0.0,
        "ledgers": {0: PeerLedger(), 2: PeerLedger()},
        "is_member": True,
        "level": PLAN.burst,
    }
    return Account(**{**fields, **changes})


class FakeHost:
    """The part of a gateway's decisions that restoring quota shares needs."""

    def __init__(self):
        self.now = 100.0
        self.accounts = {CUSTOMER: account()}
        self.peer_incarnations = {0: 10, 2: 12}
        self.older_incarnations = {10, 12}
        self.is_resumed = False
        self.sent = []

    def account(self, customer, plan, first_gateway, member_count):
        return self.accounts[customer]

    def has_resumed(self):
        return self.is_resumed

    def predates_start(self, incarnation):
        return incarnation in self.older_incarnations

    def send_updates(self, peer, updates):
        self.sent.append((peer, updates))


def account_update(share=0.3, demand=3.0, share_total=0):
    return AccountUpdate(CUSTOMER, 0, 0, 3, share, demand, 1.0, share_total, 0.0)


def test_each_neighbour_is_asked_once():
    host = FakeHost()
    restore = QuotaRestore(host)
    restore.query_totals(host.accounts[CUSTOMER])
    restore.query_totals(account())
    assert host.sent == [(0, []), (2, [])]


@pytest.mark.parametrize(
    ("elapsed", "has_resumed", "fill"),
    [(0.0, False, AGGREGATED_INITIAL_FILL), (0.0, True, 1.0), (AGGREGATION_DELAY, False, 1.0)],
)
def test_an_aggregated_account_begins_without_a_burst_until_totals_have_come(elapsed, has_resumed, fill):
    host = FakeHost()
    restore = QuotaRestore(host)
    restore.query_totals(account())
    host.now += elapsed
    host.is_resumed = has_resumed
    aggregated = account(ledgers={}, is_aggregated=True)
    restore.query_totals(aggregated)
    assert aggregated.level == pytest.approx(fill * PLAN.burst)


def test_updates_wait_for_a_neighbour_that_kept_running():
    host = FakeHost()
    restore = QuotaRestore(host)
    assert restore.may_send_updates(0)  # there is no account yet
    restore.query_totals(host.accounts[CUSTOMER])
    assert not restore.may_send_updates(0) and not restore.may_send_updates(1)
    restore.record_peer_message(0)
    assert restore.may_send_updates(0) and not restore.may_send_updates(2)
    host.older_incarnations = {10}
    assert restore.may_send_updates(2)  # it started at about the same time
    host.older_incarnations = {10, 12}
    host.now += PEER_TIMEOUT + 0.01
    assert restore.may_send_updates(2)


def test_a_resumed_incarnation_waits_for_nobody():
    host = FakeHost()
    restore = QuotaRestore(host)
    restore.query_totals(host.accounts[CUSTOMER])
    host.is_resumed = True
    assert restore.may_send_updates(0)


def test_an_update_sets_the_demand_that_balances_with_the_neighbour_s():
    host = FakeHost()
    own = host.accounts[CUSTOMER]
    QuotaRestore(host).apply_update(0, account_update(share_total=-SHARE_STEPS // 5))
    assert own.demand == pytest.approx(3.0 * (1 / 3 + 1 / 5) / 0.3, rel=1e-3)


@pytest.mark.parametrize("reason", ["later round", "level known", "no share", "no ledger", "younger"])
def test_an_update_without_state_from_before_this_start_changes_no_demand(reason):
    host = FakeHost()
    own = host.accounts[CUSTOMER]
    if reason == "later round":
        own.ledgers[0].last_round = 3
    own.has_peer_level = reason == "level known"
    if reason == "younger":
        host.older_incarnations = set()
    peer = 1 if reason == "no ledger" else 0
    QuotaRestore(host).apply_update(peer, account_update(share=0.0 if reason == "no share" else 0.3))
    assert own.demand == 0.0


@pytest.mark.parametrize("has_current_ledgers", [True, False])
def test_stored_ledgers_are_taken_only_if_they_are_current(has_current_ledgers):
    host = FakeHost()
    own = host.accounts[CUSTOMER]
    own.has_peer_level = True
    ledgers = tuple(StoredLedger(peer, 500, 2.0, 9, None, 0.0, 0.0, True) for peer in (0, 1))
    stored = StoredAccount("p", 0, 3, 90.0, 90.0, 1.0, 1.0, 1.0, 0, ledgers=ledgers)
    QuotaRestore(host).apply_stored(own, stored, has_current_ledgers)
    restored = PeerLedger(500, 2.0, has_peer_totals=True)
    assert own.ledgers == {0: restored if has_current_ledgers else PeerLedger(), 2: PeerLedger()}
    assert not own.has_peer_level


def test_of_a_ledger_whose_other_end_restarted_its_totals_remain():
    ledger = PeerLedger(40, 2.5, last_round=9, peer_share=0.2, peer_level=3.0)
    remaining = QuotaRestore(FakeHost()).ledger_after_peer_restart(ledger)
    assert remaining == PeerLedger(40, 2.5, has_peer_totals=True)


def test_the_largest_totals_are_reported_first_and_no_more_than_a_peer_accepts():
    host = FakeHost()
    shares = {1: 0, 2: -900, 3: 100, 4: 900, **dict.fromkeys(range(10, 100), 50)}
    host.accounts = {customer: account(ledgers={0: PeerLedger(share)}) for customer, share in shares.items()}
    host.accounts[5] = account(ledgers={2: PeerLedger(9999)})
    host.accounts[6] = account(ledgers={0: PeerLedger(0, 1.0)})
    reported = QuotaRestore(host).accounts_to_report(0)
    assert [customer for customer, _ in reported[:4]] == [2, 4, 3, 10]
    assert len(reported) == MAX_REPORTED_ACCOUNTS
    assert QuotaRestore(host).accounts_to_report(1) == []
