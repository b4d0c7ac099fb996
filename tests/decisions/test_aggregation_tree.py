"""Aggregated accounts of large sets of gateways: tree routes, totals, admission, and backend subsets."""

import itertools
import math
import random

import pytest

from corkdeal.decisions import aggregation_tree, peer_messages
from corkdeal.decisions.accounts import MAX_EXCHANGE_MEMBERS, Account, TreeEdge
from corkdeal.decisions.actions import SendToPeer, SetTimer, StartAttempt
from corkdeal.decisions.backends import SUBSET_SIZE
from corkdeal.decisions.events import PeerMessage, Status, TimerExpired
from corkdeal.decisions.gateway import Gateway
from corkdeal.decisions.settings import Plan
from corkdeal.decisions.tree_routes import ROOTS, tree_routes
from corkdeal.experiment import quotas
from tests.helpers import SAFE, UNSAFE, outcome, pick, request, servers, settings

PLAN = Plan(rate=4.0, burst=16.0)


class AggregatedTier:
    """All members of one customer's set; messages are delayed by 20 ms, and may be lost or duplicated."""

    def __init__(self, spread, gateways, first=0, plan=PLAN, loss_rate=0, copies=1):
        self.set = (first, spread)
        self.gateways = {
            m: Gateway(settings(m, gateways, plans=(plan,), classes=(SAFE,)), seed=m)
            for m in ((first + i) % gateways for i in range(spread))
        }
        self.loss_rate, self.copies, self.in_transit, self.now, self.request_id = (
            loss_rate,
            copies,
            [],
            50.0,
            0,
        )
        self.timers, self.rng = [], random.Random(3)
        for m, gateway in self.gateways.items():
            self.apply_actions(m, gateway.handle(self.now, [servers("a", "b", "c")]))

    def apply_actions(self, me, actions):
        self.timers += [(self.now + x.delay, me) for x in pick(actions, SetTimer) if not x.token]
        for message in pick(actions, SendToPeer):
            if self.rng.random() >= self.loss_rate:
                self.in_transit += [
                    (self.now + 0.02 * (1 + i), me, message.peer, message.payload) for i in range(self.copies)
                ]

    def step(self, seconds):
        self.now += seconds
        due = [m for m in self.in_transit if m[0] <= self.now]
        self.in_transit = [m for m in self.in_transit if m[0] > self.now]
        for _, sender, to, payload in due:
            self.apply_actions(to, self.gateways[to].handle(self.now, [PeerMessage(sender, payload)]))
        ready = [me for at, me in self.timers if at <= self.now]
        self.timers = [x for x in self.timers if x[0] > self.now]
        for me in ready:
            self.apply_actions(me, self.gateways[me].handle(self.now, [TimerExpired(0)]))

    def send_request(self, me):
        self.request_id += 1
        gateway = self.gateways[me]
        actions = gateway.handle(
            self.now, [request(self.request_id, units=2.0, spread=self.set[1], first=self.set[0])]
        )
        self.apply_actions(me, actions)
        for send in pick(actions, StartAttempt):
            self.apply_actions(
                me, gateway.handle(self.now, [outcome(send.id, 0, send.backend, elapsed=0.05)])
            )
        return bool(pick(actions, StartAttempt))

    def send_requests(self, seconds, per_second):
        """Send requests to members in turn; returns the units admitted."""
        members, admitted = list(self.gateways), 0
        for i in range(round(seconds * per_second)):
            admitted += 2 * self.send_request(members[(i * 7919) % len(members)])
            for _ in range(4):
                self.step(0.25 / per_second)
        return admitted


@pytest.mark.parametrize(
    "spread, gateways, first",
    [(9, 12, 8), (9, 9, 0), (130, 130, 77), (130, 400, 350), (400, 412, 200), (110, 200, 150)],
)
@pytest.mark.parametrize("customer", [0, 7, 8, 1_000_005])
def test_every_member_is_reached_in_two_steps_from_one_root(spread, gateways, first, customer):
    routes = {me: tree_routes(me, customer, first, spread, gateways) for me in range(gateways)}
    edges = {me: set(ends) for me, (_, ends) in routes.items() if ends}
    assert all(m in edges[n] for m in edges for n in edges[m])  # the edge exists at both ends
    roots = [me for me in edges if routes[me][0] is None]
    assert len(roots) == 1
    assert all(routes[m][0] == n or routes[n][0] == m for m in edges for n in edges[m])  # parent and child
    aggregators = edges[roots[0]]
    reached = {*roots, *aggregators}.union(*(edges[m] for m in aggregators))
    members = {(first + i) % gateways for i in range(spread)}
    assert members <= reached == set(edges)
    assert sum(map(len, edges.values())) == 2 * (len(edges) - 1)  # a tree, so no total is counted twice
    assert max(map(len, edges.values())) <= 3 * gateways**0.5
    assert peer_messages.uses_tier_tree(spread, gateways) or set(edges) == members


@pytest.mark.parametrize("gateways", [200, 208, 220, 400, 1000])
def test_the_load_of_forwarding_is_spread(gateways):
    forwarders = [
        me
        for customer in range(ROOTS)
        for me in range(gateways)
        for parent, ends in [tree_routes(me, customer, 0, gateways, gateways)]
        if parent is None or len(ends) > 1
    ]
    assert max(forwarders.count(me) for me in forwarders) <= 2
    assert len(set(forwarders)) >= 0.9 * len(forwarders)  # few gateways are aggregator or root of two trees


class RecordingGateway(Gateway):
    """A gateway that records the totals it sends, as (time, peer)."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.sent_totals = []
        self.send_totals = self.peers.send_totals
        self.peers.send_totals = self.record_and_send

    def record_and_send(self, due):
        self.sent_totals += [(self.now, peer) for peer in due]
        self.send_totals(due)


def test_a_root_sends_totals_of_many_customers_in_one_message_and_waits_between_two():
    root = RecordingGateway(settings(0, 200, plans=(PLAN,), classes=(SAFE,)), seed=1)
    root.handle(50.0, [servers("a")])
    aggregator = tree_routes(0, 0, 0, 200, 200)[1][0]
    for i in range(40):  # demand of two customers with one tree is far beyond their quotas
        rows = [peer_messages.TreeTotals(c, 0, 0, 200, 8 * (i + 1), 2 * (i + 1)) for c in (0, ROOTS)]
        root.handle(50.0 + i / 20, [PeerMessage(aggregator, peer_messages.encode_totals(9, rows)[0])])
    other_aggregator = tree_routes(0, 0, 0, 200, 200)[1][1]
    times = [at for at, peer in root.sent_totals if peer == other_aggregator]
    assert (
        2 / root.aggregation_scheduler.push_interval - 1
        <= len(times)
        <= 2 / root.aggregation_scheduler.push_interval + 1
    )
    assert all(b - a >= root.aggregation_scheduler.push_interval for a, b in itertools.pairwise(times))
    assert all(root.accounts[c].tree_edges[other_aggregator].sent_requested > 0 for c in (0, ROOTS))


def test_a_fleet_keeps_near_its_quotas():
    """120 gateways, customers far beyond their quotas for seconds.

    Exchanging totals over doubling distances instead of the tree gave an over-quota cost of 0.29.
    """
    plans = (Plan(rate=1.3, burst=6.0, over_quota_cost=1.0), Plan(rate=20.0, burst=40.0, over_quota_cost=1.0))
    result = quotas.Simulation(quotas.Fleet(plans, (100, 16), gateways=120, seconds=10.0), seed=1).run()
    assert result["over_quota"] < 0.12
    assert result["inside"] > 0.95
    assert result["most_got"] < 50


@pytest.mark.parametrize("spread, loss_rate, copies", [(130, 0, 1), (130, 0.07, 1), (130, 0, 2), (400, 0, 1)])
def test_use_beyond_the_quota_is_limited_near_it(spread, loss_rate, copies):
    tier = AggregatedTier(spread, spread, loss_rate=loss_rate, copies=copies)
    tier.send_requests(15, per_second=8)  # 16 units/s, four times the rate, until all have the totals
    assert 0.5 * 25 * PLAN.rate < tier.send_requests(25, per_second=8) < 1.6 * 25 * PLAN.rate


def test_use_within_the_quota_is_admitted_everywhere():
    tier = AggregatedTier(130, 130)
    assert tier.send_requests(30, per_second=1) >= 0.95 * 60


def test_totals_count_once_when_messages_are_repeated_or_reordered():
    edge = AggregatedTier(9, 9).gateways[0].account(7, 0, 0, 9).tree_edges
    edge = next(iter(edge.values()))
    assert edge.receive(8190.0, 0.0, True) == (0.0, 0.0)
    assert edge.receive(3.0, 2.0, True) == (5.0, 2.0)  # wrapped around
    assert edge.receive(3.0, 2.0, True) == (0.0, 0.0)  # duplicate
    assert edge.receive(8191.0, 1.0, True) == (0.0, 0.0)  # reordered
    assert (edge.remote_requested, edge.remote_spent) == (5.0, 2.0)


def totals(plan=0, first=0, spread=130):
    return peer_messages.encode_totals(9, [peer_messages.TreeTotals(7, plan, first, spread, 5, 5)])[0]


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        bytes([peer_messages.TOTALS_VERSION]),
        totals()[:-1],
        totals(plan=9),
        totals(first=200, spread=30),
        totals(spread=131),
        totals(first=50, spread=20),
    ],
)
def test_foreign_and_malformed_totals_change_nothing(payload):
    gateway = Gateway(settings(3, 130, plans=(PLAN,)), seed=1)
    gateway.handle(50.0, [servers("a")])
    for peer in (2, 3, 400):
        assert not pick(gateway.handle(51.0, [PeerMessage(peer, payload)]), SendToPeer)
    assert not gateway.accounts


def test_gateways_prefer_few_backends_evenly():
    names, preferred_by = [f"s{i}" for i in range(80)], {}
    for me in range(400):
        gateway = Gateway(settings(me, 400, plans=(PLAN,)), seed=1)
        gateway.handle(50.0, [servers(*names)])
        assert len(gateway.backends.preferred) == SUBSET_SIZE > MAX_EXCHANGE_MEMBERS
        for backend in gateway.backends.preferred:
            preferred_by[backend.endpoint.backend] = preferred_by.get(backend.endpoint.backend, 0) + 1
    assert set(preferred_by.values()) == {50}


def test_one_of_many_gateways_sends_where_it_has_fewest_requests_in_flight():
    plan = Plan(rate=1e6, burst=1e6)
    for seed in range(5):
        gateway = Gateway(settings(3, 40, plans=(plan,)), seed=seed)
        gateway.handle(50.0, [servers(*[f"s{i}" for i in range(60)])])
        used = [
            pick(gateway.handle(51.0, [request(i, spread=40)]), StartAttempt)[0].backend
            for i in range(2 * SUBSET_SIZE)
        ]
        assert {used.count(backend) for backend in set(used)} == {2}
        assert len(set(used)) == SUBSET_SIZE


def test_a_backend_that_rejects_one_class_still_serves_the_other():
    plan = Plan(rate=1e6, burst=1e6)
    gateway = Gateway(settings(0, 20, plans=(plan,), classes=(SAFE, UNSAFE)), seed=1)
    gateway.handle(50.0, [servers("a", "b")])
    sent = {0: [], 1: []}
    for i in range(60):
        for send in pick(gateway.handle(51 + i / 10, [request(i, cls=i % 2, spread=20)]), StartAttempt):
            status = Status.REJECTED if (send.backend, i % 2) == ("a", 0) else Status.OK
            gateway.handle(51 + i / 10, [outcome(send.id, 0, send.backend, status, final=True)])
            sent[i % 2].append(send.backend)
    assert sent[1].count("a") > 5 and sent[0].count("a") < 6


@pytest.mark.parametrize("gateways", [130, 400])
def test_cold_backends_are_used_within_their_capacity(gateways):
    more = {"initial_capacity": 0.16, "warm_up_time": 18.0, "overload_multiple": 2.0, "overload_window": 1.5}
    plan = Plan(rate=1e6, burst=1e6)
    tier = [
        Gateway(settings(m, gateways, plans=(plan,), classes=(SAFE,), **more), seed=m)
        for m in range(gateways)
    ]
    sent = 0
    for gateway in tier:
        gateway.handle(100.0, [servers("new", started=100.0)])
    for window in range(4):
        for i, gateway in enumerate(tier):
            actions = gateway.handle(
                101.0 + 1.5 * window, [request(1000 * window + i, customer=i, spread=gateways)]
            )
            sent += len(pick(actions, StartAttempt))
    work, cores = 0.15, 2.0
    capacity = sum(2.0 * (0.16 + 0.84 * (1 + 1.5 * k) / 18) * cores * 1.5 for k in range(4))
    assert 0.2 * capacity < sent * work < capacity


def test_idle_gateway_sets_no_timer_and_sends_nothing():
    gateway = Gateway(settings(0, 400, plans=(PLAN,)), seed=1)
    assert gateway.handle(50.0, [servers("a", "b")]) == []


class FixedRate:
    """Quotas that do not change with time."""

    def refill(self, account):
        return 1.0

    def rate(self, account):
        return account.plan.rate


def scheduled(gateway_index, requested):
    """Return a scheduler, and one of 200 gateways' account with these units requested."""
    routes = tree_routes(gateway_index, 0, 0, 200, 200)
    account = Account(PLAN, 0, 0, 200, 0.0, 0.0, parent=routes.parent, level=PLAN.burst)
    account.tree_edges = {peer: TreeEdge() for peer in routes.peers}
    account.total_requested = requested
    scheduler = aggregation_tree.AggregationScheduler(200, 0.0)
    scheduler.mark_pending(7, account)
    return scheduler, account


def test_a_member_reports_at_once_and_only_what_is_new():
    scheduler, account = scheduled(5, requested=3.0)
    totals = peer_messages.TreeTotals(7, 0, 0, 200, requested=3.0, spent=0.0)
    assert scheduler.due(50.0, FixedRate()) == {account.parent: [totals]}
    scheduler.mark_pending(7, account)
    assert scheduler.due(50.1, FixedRate()) == {} == scheduler.pending


def test_an_aggregator_defers_what_comes_before_its_report_interval_is_over():
    scheduler, account = scheduled(1, requested=3.0)
    assert set(scheduler.due(50.0, FixedRate())) == {account.parent} == {0}
    account.total_requested += 2.0
    scheduler.mark_pending(7, account)
    assert scheduler.due(50.1, FixedRate()) == {}
    assert scheduler.next_deferred_at == scheduler.deferred_until[7] == 50.0 + scheduler.report_interval
    scheduler.resume_deferred(50.2, {7: account})
    assert not scheduler.pending
    scheduler.resume_deferred(scheduler.next_deferred_at, {7: account})
    assert scheduler.pending == {7: account} and scheduler.next_deferred_at == math.inf
    assert scheduler.due(51.0, FixedRate())[0][0].requested == 5.0


def test_a_deferred_update_of_a_forgotten_account_is_dropped():
    scheduler, _ = scheduled(1, requested=3.0)
    scheduler.pending.clear()
    scheduler.defer(7, 50.0)
    scheduler.resume_deferred(51.0, {})
    assert not scheduler.pending and not scheduler.deferred_until


def test_a_root_pushes_only_near_the_end_of_a_quota():
    scheduler, account = scheduled(0, requested=0.5 * PLAN.burst)
    assert scheduler.due(50.0, FixedRate()) == {}
    account.level = 0.3 * PLAN.burst
    scheduler.mark_pending(7, account)
    assert set(scheduler.due(50.0, FixedRate())) == set(account.tree_edges)
    assert scheduler.pushed_at == 50.0
