"""Quota exchange: shares follow demand, and their sum stays the quota even with lost or repeated messages."""

import random

import pytest

from corkdeal.decisions import peer_messages
from corkdeal.decisions.accounts import AccountTable
from corkdeal.decisions.actions import Reject, SendToPeer, StartAttempt
from corkdeal.decisions.events import PeerMessage, TimerExpired
from corkdeal.decisions.quota_exchange import (
    EXCHANGE_INTERVAL,
    IDLE_INTERVAL,
    INACTIVITY_TIMEOUT,
    SILENCE_TIMEOUT,
    QuotaExchange,
)
from tests.helpers import PLAN, FakeTier, pick, request, settings


def busy_at(busy_gateway):
    return lambda me: 1.0 if me == busy_gateway else 0.0


def total(ring):
    return sum(ring.quota_shares().values())


def test_shares_are_even_at_the_start():
    ring = FakeTier()
    for gateway in ring.gateways.values():
        account = gateway.account(7, 0, 2, 2)
        assert account.base_share() == pytest.approx(1 / 2)
        assert account.level == pytest.approx(PLAN.burst / 2)
    assert sorted(ring.gateways[0].accounts[7].ledgers) == [2]  # the set (2, 0) wraps around
    assert not ring.gateways[1].accounts[7].is_member


@pytest.mark.parametrize("gateways", [2, 3, 4])
def test_shares_follow_demand_and_their_sum_is_conserved(gateways):
    ring = FakeTier(gateways)
    for gateway in ring.gateways.values():
        gateway.account(7, 0, 0, gateways)
    ring.run(6, busy_at(1))
    shares = ring.quota_shares()
    assert shares[1] == max(shares.values()) and shares[1] > 0.5
    ring.run(3)
    assert total(ring) == pytest.approx(1, abs=0.02)
    assert min(shares.values()) >= 0


@pytest.mark.parametrize("fault", ["loss", "repeats", "delay"])
def test_shares_recover_from_lost_repeated_and_late_messages(fault):
    ring = FakeTier()
    if fault == "loss":
        ring.lost = lambda sender, to, number: number % 3 == 0
    elif fault == "repeats":
        ring.repeat = 3
    else:
        ring.delay = 0.2
    ring.run(5, busy_at(0))
    ring.run(5, busy_at(2))
    assert ring.quota_shares()[2] > 0.5
    ring.lost, ring.repeat, ring.delay = (lambda *args: False), 1, 0.02
    ring.run(5)
    assert total(ring) == pytest.approx(1, abs=0.02)


def test_a_restart_resets_the_ledgers_at_both_ends():
    ring = FakeTier()
    ring.run(5, busy_at(0))
    assert ring.quota_shares()[0] > 0.5
    ring.start(0)
    ring.run(4, lambda me: 0.2)
    assert total(ring) == pytest.approx(1, abs=0.02)


def test_a_restart_is_recognized_when_incarnations_wrap_around():
    ring = FakeTier()
    ring.now = (1 << 32) / 1000 - 3
    for me in range(3):
        ring.start(me)
    ring.run(2, busy_at(0))
    ring.run(2)
    ring.start(0)  # wrapped around, yet the later incarnation
    assert ring.gateways[0].incarnation < ring.gateways[1].incarnation
    ring.run(2, busy_at(0))
    assert ring.gateways[1].peer_incarnations[0] == ring.gateways[0].incarnation
    assert not ring.gateways[0].predates_start(ring.gateways[0].incarnation) and total(ring) == pytest.approx(
        1, abs=0.02
    )


def test_restarted_gateway_takes_the_fill_of_its_neighbours():
    ring = FakeTier()
    ring.run(8, lambda me: 3.0)
    ring.start(0)
    ring.run(1, lambda me: 3.0)
    assert ring.gateways[0].accounts[7].level < PLAN.burst / 6


def test_a_silent_neighbours_share_is_borrowed_and_returned():
    ring = FakeTier()
    ring.run(2, lambda me: 1.0)
    stopped = ring.gateways.pop(1)
    ring.run(2, lambda me: 1.0)
    borrower, other = ring.gateways[2], ring.gateways[0]
    account = borrower.accounts[7]
    assert borrower.quota_share(account) == pytest.approx(
        borrower.accounts[7].base_share() + account.ledgers[1].peer_share
    )
    assert other.quota_share(other.accounts[7]) == pytest.approx(other.accounts[7].base_share())
    ring.gateways[1] = stopped
    ring.run(1, lambda me: 1.0)
    assert borrower.quota_share(account) == pytest.approx(borrower.accounts[7].base_share())


def test_a_gateway_that_is_cut_off_borrows_nothing():
    ring = FakeTier()
    ring.run(2, lambda me: 1.0)
    ring.lost = lambda *args: True
    ring.run(3, lambda me: 1.0)
    for gateway in ring.gateways.values():
        assert gateway.quota_share(gateway.accounts[7]) == pytest.approx(gateway.accounts[7].base_share())


@pytest.mark.parametrize("payload", [b"", b"\x01abc", b"\x09" + bytes(60), bytes(13)])
def test_malformed_messages_are_dropped(payload):
    ring = FakeTier()
    ring.run(2, busy_at(0))
    before = ring.quota_shares()
    for gateway in ring.gateways.values():
        for peer in (0, 1, 2, 9):
            assert pick(gateway.handle(ring.now, [PeerMessage(peer, payload)]), Reject) == []
    assert ring.quota_shares() == before


def test_stale_incarnation_is_dropped():
    ring = FakeTier()
    ring.run(2, busy_at(0))
    gateway = ring.gateways[1]
    update = peer_messages.AccountUpdate(7, 0, 0, 3, 0.9, 9.0, 0.0, 9000, 50.0)
    before = ring.quota_shares()
    gateway.handle(
        ring.now,
        [
            PeerMessage(
                0,
                *peer_messages.encode_exchange(
                    gateway.peer_incarnations[0] - 5, gateway.incarnation, 10**6, [update]
                ),
            )
        ],
    )
    gateway.handle(
        ring.now,
        [
            PeerMessage(
                0,
                *peer_messages.encode_exchange(
                    gateway.peer_incarnations[0], gateway.incarnation - 5, 10**6, [update]
                ),
            )
        ],
    )
    assert ring.quota_shares() == before


def test_messages_fit_and_idle_customers_are_forgotten():
    ring = FakeTier()
    gateway = ring.gateways[0]
    actions = gateway.handle(ring.now, [request(1000 + i, customer=i, units=1.0) for i in range(60)])
    for account in gateway.accounts.values():
        account.level = 0.0
    ring.now += 0.3
    messages = pick(gateway.handle(ring.now, [TimerExpired(0)]), SendToPeer)
    assert actions and max(len(m.payload) for m in messages) <= peer_messages.MESSAGE_BYTES
    assert len([m for m in messages if m.peer == 1]) > 1
    for request_id, send in [(s.id, s) for s in pick(actions, StartAttempt)]:
        gateway.requests.attempts_in_flight.pop((request_id, 0))[1].in_flight -= 1
        assert send
    ring.now += 61
    gateway.handle(ring.now, [TimerExpired(0)])
    assert not gateway.accounts


def test_inactive_customers_cause_no_updates_and_are_forgotten_at_both_ends():
    ring, requesters = FakeTier(), []
    ring.run(3)
    ring.run(1, lambda me: 0.0 if requesters else requesters.append(me) or 1.0)
    ring.run(9)
    assert all(7 in gateway.accounts for gateway in ring.gateways.values())
    ring.delay = 100.0  # holds messages in flight; updates of each end used to keep the other's account alive
    ring.run(0.5)
    # all messages are empty
    assert {len(payload) for *_, payload in ring.in_flight} == {peer_messages.EXCHANGE_HEADER.size}
    ring.delay = 0.02
    ring.run(15)
    assert not any(gateway.accounts or gateway.active_accounts for gateway in ring.gateways.values())


@pytest.mark.parametrize("busy", [0, 2])
@pytest.mark.parametrize(
    "restarted, requester", [(restarted, requester) for restarted in range(3) for requester in range(3)]
)
def test_an_account_recreated_at_one_end_keeps_the_sum_and_its_units(busy, restarted, requester):
    ring = FakeTier()
    ring.run(8, busy_at(busy))  # shares and many units have moved
    ring.run(7)
    ring.gateways[restarted].accounts.clear()
    ring.gateways[restarted].active_accounts.clear()
    for _ in range(10):
        ring.run(0.3, lambda me: 0.05 if me == requester else 0.0)
        for gateway in ring.gateways.values():  # units moved before must not be taken from a bucket again
            assert (
                7 not in gateway.accounts
                or gateway.quota_exchange.state(gateway.accounts[7]).level
                > 0.25 * gateway.accounts[7].base_share() * PLAN.burst
            )
    assert total(ring) == pytest.approx(1, abs=0.02)


def test_totals_of_a_forgotten_account_are_taken_over_from_the_other_end():
    ring = FakeTier()
    ring.run(2)
    gateway = ring.gateways[1]
    # the bucket of the other end is full with 12 units received from this gateway
    update = peer_messages.AccountUpdate(7, 0, 0, 3, 0.6, 1.0, 18.0, 8000, 12.0)
    message = PeerMessage(0, *peer_messages.encode_exchange(5, gateway.incarnation, 1, [update]))
    sent = pick(gateway.handle(ring.now, [message]), SendToPeer)[-1]
    (reply,) = peer_messages.decode_exchange(sent.payload, 1, ring.gateways[0].settings).updates
    # if totals restarted from 0, the other end would lose them
    assert reply.received_units <= -11.0 and reply.received_share < -4000


def test_a_reordered_message_changes_nothing():
    ring = FakeTier()
    ring.run(1, busy_at(0))
    gateway = ring.gateways[0]
    peer_incarnation, ledger = gateway.peer_incarnations[1], gateway.accounts[7].ledgers[1]
    for number, received in ((10**6 + 2, 6000), (10**6 + 1, -3000)):
        update = peer_messages.AccountUpdate(7, 0, 0, 3, 0.5, 3.0, 5.0, received, received / 1000)
        gateway.handle(
            ring.now,
            [
                PeerMessage(
                    1, *peer_messages.encode_exchange(peer_incarnation, gateway.incarnation, number, [update])
                )
            ],
        )
    assert ledger.received_share == -6000 and ledger.received_units == -6.0


def test_a_new_incarnation_resets_the_ledger_at_once():
    ring = FakeTier()
    ring.run(5, busy_at(0))
    gateway = ring.gateways[0]
    assert gateway.accounts[7].ledgers[1].received_share > 0
    gateway.handle(
        ring.now,
        [PeerMessage(1, *peer_messages.encode_exchange(gateway.peer_incarnations[1] + 9000, 0, 1, []))],
    )
    assert gateway.accounts[7].ledgers[1].received_share == 0


class StandaloneExchange:
    """A quota exchange without a gateway, where accounts are not refilled and nothing is borrowed."""

    def __init__(self, gateway_index, plan=PLAN, gateway_count=2):
        self.table = AccountTable(settings(gateway_index, gateway_count, plans=(plan,)))
        self.account = self.table.create(7, 0, 0, gateway_count, 100.0)
        self.exchange = QuotaExchange(self.table.settings, self.table, self)

    def quota_share(self, account):
        return account.base_share()

    def refill(self, account):
        return account.base_share()

    def receive(self, peer, number, update, now=100.0):
        return self.exchange.receive(self.account, peer, number, update, False, now)


def test_a_pair_alone_moves_shares_towards_demand_and_conserves_their_sum():
    low, high = StandaloneExchange(0), StandaloneExchange(1)
    low.account.demand, high.account.demand = 1.0, 3.0
    for number in range(1, 20):
        update = low.exchange.update_for(7, low.account, 1, 100.0)
        reply = high.receive(0, number, update)
        assert low.receive(1, number, reply) is None  # the end with the lower index adopts the totals
        shares = low.account.base_share(), high.account.base_share()
        assert sum(shares) == pytest.approx(1.0, abs=1e-9)
        assert low.account.level + high.account.level == PLAN.burst
    assert shares == pytest.approx((0.25, 0.75), abs=0.01)
    assert low.account.ledgers[1].received_share == -high.account.ledgers[0].received_share


def test_a_pair_alone_conserves_the_sum_whatever_is_lost_or_repeated():
    low, high = StandaloneExchange(0), StandaloneExchange(1)
    low.account.demand, high.account.demand = 1.0, 3.0
    rng = random.Random(5)
    for number in range(1, 60):
        update = low.exchange.update_for(7, low.account, 1, 100.0)
        if rng.random() < 0.7:
            reply = high.receive(0, number, update)
            assert high.receive(0, number, update) is None  # duplicate
            if rng.random() < 0.7:
                low.receive(1, number, reply)
    update = low.exchange.update_for(7, low.account, 1, 100.0)
    low.receive(1, 60, high.receive(0, 60, update))
    assert low.account.base_share() + high.account.base_share() == pytest.approx(1.0, abs=1e-9)
    assert low.account.level + high.account.level == pytest.approx(PLAN.burst)


def test_updates_are_frequent_in_need_rare_otherwise_and_end_when_inactive():
    standalone = StandaloneExchange(0)
    standalone.table.active[7] = standalone.account
    assert [u.customer for u in standalone.exchange.due(100.0, lambda peer: True)[1]] == [7]
    assert standalone.exchange.due(100.0 + EXCHANGE_INTERVAL, lambda peer: True) == {1: []}
    standalone.account.level = 0.0
    assert standalone.exchange.due(100.0 + EXCHANGE_INTERVAL, lambda peer: False) == {1: []}
    assert len(standalone.exchange.due(100.0 + EXCHANGE_INTERVAL, lambda peer: True)[1]) == 1
    standalone.account.level = standalone.account.ledgers[1].peer_level = PLAN.burst
    assert standalone.exchange.due(100.0 + 2 * EXCHANGE_INTERVAL, lambda peer: True) == {1: []}
    assert len(standalone.exchange.due(100.0 + EXCHANGE_INTERVAL + IDLE_INTERVAL, lambda peer: True)[1]) == 1
    assert (
        standalone.exchange.due(100.0 + INACTIVITY_TIMEOUT, lambda peer: True) == {1: []}
        and not standalone.table.active
    )


def test_a_share_is_borrowed_only_from_a_silent_predecessor():
    standalone = StandaloneExchange(0, gateway_count=3)
    standalone.account.ledgers[2].peer_share = 0.2
    assert standalone.account.predecessor == 2
    standalone.exchange.peer_last_received_at = {1: 100.0, 2: 100.0}
    own = standalone.account.base_share()
    assert standalone.exchange.share_with_loan(standalone.account, 100.0 + SILENCE_TIMEOUT) == own
    # cut off from all peers
    assert standalone.exchange.share_with_loan(standalone.account, 100.1 + SILENCE_TIMEOUT) == own
    standalone.exchange.peer_last_received_at[1] = 101.0
    assert standalone.exchange.share_with_loan(standalone.account, 100.1 + SILENCE_TIMEOUT) == own + 0.2
