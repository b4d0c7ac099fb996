"""Unit tests of the peer protocol, with a fake host that holds accounts and records actions."""

import pytest

from corkdeal.decisions import peer_messages
from corkdeal.decisions.accounts import AccountTable
from corkdeal.decisions.actions import Log, SendToPeer
from corkdeal.decisions.aggregation_tree import AggregationScheduler
from corkdeal.decisions.events import PeerMessage
from corkdeal.decisions.incarnations import START_MARGIN
from corkdeal.decisions.peer_messages import SHARE_STEPS, AccountUpdate, TreeTotals
from corkdeal.decisions.peer_protocol import PeerProtocol
from corkdeal.decisions.quota_exchange import QuotaExchange
from tests.helpers import PLAN, settings

CUSTOMER = 7
OWN_INCARNATION = 100_000  # ms
PEER = 1
PEER_INCARNATION = 90_000  # ms


class FakeHost:
    """Accounts of one gateway; `membership` and `quota_restore` are off."""

    def __init__(self, config):
        self.now = 100.0
        self.actions = []
        self.membership = None
        self.quota_restore = None
        self.table = AccountTable(config)

    def has_room_for(self, customer):
        return True

    def account(self, customer, plan, first_gateway, member_count):
        accounts = self.table.by_customer
        if customer not in accounts:
            self.table.create(customer, plan, first_gateway, member_count, self.now)
        return accounts[customer]

    def quota_share(self, account):
        return account.base_share()

    def refill(self, account):
        account.refill(self.now, account.base_share(), True)
        return account.base_share()


def make(gateway_index=0, gateway_count=3):
    config = settings(gateway_index, gateway_count, plans=(PLAN,))
    host = FakeHost(config)
    exchange = QuotaExchange(config, host.table, host)
    peers = PeerProtocol(config, host, host.table, exchange, AggregationScheduler(gateway_count, 60.0))
    peers.incarnations.start(OWN_INCARNATION / 1000)
    return peers, host


def sent(host):
    """Return the messages sent since the last call, as (peer, payload)."""
    actions, host.actions = host.actions, []
    return [(action.peer, action.payload) for action in actions if isinstance(action, SendToPeer)]


def update(**more):
    given = {"share": 1 / 3, "demand": 1.0, "level": 2.0, "received_share": 0, "received_units": 0.0}
    return AccountUpdate(CUSTOMER, 0, 0, 3, **{**given, **more})


def exchange_message(updates, own_incarnation=OWN_INCARNATION, incarnation=PEER_INCARNATION, round_number=1):
    (payload,) = peer_messages.encode_exchange(incarnation, own_incarnation, round_number, updates)
    return PeerMessage(PEER, payload)


@pytest.mark.parametrize(("gateway_index", "replies"), [(0, 0), (2, 1)])
def test_an_update_is_answered_by_the_higher_numbered_end_alone(gateway_index, replies):
    peers, host = make(gateway_index)
    peers.incarnations.update_peer(PEER, PEER_INCARNATION)
    peers.receive(exchange_message([update()]))
    assert len(sent(host)) == replies
    ledger = host.table.by_customer[CUSTOMER].ledgers[PEER]
    moved = ledger.received_share / SHARE_STEPS  # moved by the replying end, towards the peer's demand
    assert (moved < 0) is bool(replies) and ledger.peer_share == pytest.approx(1 / 3 - moved, abs=1e-3)


def test_an_update_for_another_incarnation_of_this_gateway_is_not_applied():
    peers, host = make()
    peers.receive(exchange_message([update()], own_incarnation=OWN_INCARNATION - 1))
    assert CUSTOMER not in host.table.by_customer
    # but the peer does not count as silent
    assert peers.quota_exchange.peer_last_received_at[PEER] == host.now


def test_a_peer_gets_one_message_for_each_of_its_incarnations():
    peers, host = make()
    peers.receive(exchange_message([]))
    peers.receive(exchange_message([], round_number=2))
    assert [peer for peer, _ in sent(host)] == [PEER]
    peers.receive(exchange_message([], incarnation=PEER_INCARNATION + 1))
    assert [peer for peer, _ in sent(host)] == [PEER]


def test_an_earlier_incarnation_of_a_peer_is_corrected_and_its_message_dropped():
    peers, host = make()
    peers.incarnations.update_peer(PEER, PEER_INCARNATION)
    peers.receive(exchange_message([update()], incarnation=PEER_INCARNATION - 1))
    ((peer, payload),) = sent(host)
    message = peer_messages.decode_exchange(payload, 0, settings(PEER, 3, plans=(PLAN,)))
    assert peer == PEER and message.receiver_incarnation == PEER_INCARNATION
    assert CUSTOMER not in host.table.by_customer


def test_a_restart_of_a_peer_resets_its_ledgers():
    peers, host = make()
    peers.incarnations.update_peer(PEER, PEER_INCARNATION)
    account = host.account(CUSTOMER, 0, 0, 3)
    account.ledgers[PEER].received_share = SHARE_STEPS // 10
    peers.receive(exchange_message([], incarnation=PEER_INCARNATION + 1))
    assert account.ledgers[PEER].received_share == 0


def test_a_gateway_whose_clock_was_set_back_advances_past_what_its_peers_know():
    peers, host = make()
    peers.receive(exchange_message([], own_incarnation=OWN_INCARNATION + 5000))
    assert peers.incarnations.own == OWN_INCARNATION + 5000 + START_MARGIN + 1
    assert any(isinstance(action, Log) for action in host.actions)


@pytest.mark.parametrize("payload", [b"", b"\x03", b"\xff" * 40])
def test_a_malformed_message_is_dropped(payload):
    peers, host = make()
    peers.receive(PeerMessage(PEER, payload))
    assert not host.actions and not peers.incarnations.peers


def test_totals_of_a_tree_neighbour_count_as_demand_and_are_spent():
    peers, host = make(gateway_index=0, gateway_count=20)
    account = host.account(CUSTOMER, 0, 0, 20)
    neighbour = next(iter(account.tree_edges))
    totals = TreeTotals(CUSTOMER, 0, 0, 20, 3.0, 2.0)
    (payload,) = peer_messages.encode_totals(OWN_INCARNATION + 1, [totals])
    peers.receive(PeerMessage(neighbour, payload))
    assert (account.total_requested, account.total_spent) == (3.0, 2.0)
    assert account.level == PLAN.burst - 2.0 and peers.aggregation_scheduler.pending == {CUSTOMER: account}


def test_ring_neighbours_get_an_empty_message_where_nothing_is_due():
    peers, host = make()
    host.account(CUSTOMER, 0, 0, 3)  # with a full bucket, and not active
    peers.exchange_quotas()
    assert sorted(peer for peer, _ in sent(host)) == [1, 2]


def test_nothing_is_sent_where_messages_are_not_permitted():
    config = settings(0, 3, plans=(PLAN,), may_message_peers=False)
    host = FakeHost(config)
    exchange = QuotaExchange(config, host.table, host)
    peers = PeerProtocol(config, host, host.table, exchange, AggregationScheduler(3, 60.0))
    peers.send_updates(PEER, [update()])
    peers.send_totals({PEER: [TreeTotals(CUSTOMER, 0, 0, 20, 3.0, 2.0)]})
    assert host.actions == []
