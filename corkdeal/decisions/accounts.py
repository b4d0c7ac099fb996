"""Per-customer accounts of one gateway: token bucket, hard limit, demand and neighbours.

In a small set of gateways each member holds a share of the customer's quota, and its token bucket covers
that share only. In a larger set the account is aggregated: every member keeps one bucket and one demand
estimate for the whole set.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import islice

from .peer_messages import SHARE_STEPS, TOTALS_WRAP
from .settings import Plan, Settings
from .tree_routes import tree_routes

MAX_EXCHANGE_MEMBERS = 8  # ring size limit; the exchange converges in about (members / 2)^2 rounds, here 4 s
DEMAND_TIME_CONSTANT = 2.0  # s, of the moving average of demand
AGGREGATED_DEMAND_TIME_CONSTANT = 2.5  # s, for aggregated accounts; a few times the age of totals
IDLE_TIMEOUT = 15.0  # s without requests at either end
AGGREGATED_IDLE_TIMEOUT = 60.0  # s without requests or totals
# of the quota share's burst; an account filled up to it differs little from a new one
REPLENISHED_FILL = 0.95
MAX_ACCOUNTS_CHECKED = 8  # the longest unused ones, which are looked at when an account is created


@dataclass(slots=True)
class PeerLedger:
    """The running totals of what a gateway exchanged with one ring neighbour for one account."""

    received_share: int = 0  # net, in units of 1 / SHARE_STEPS of the quota
    received_units: float = 0.0  # net
    last_round: int = 0  # highest round number received from the neighbour
    peer_share: float | None = None  # of the quota, as last reported
    peer_level: float = 0.0  # units, or free concurrency slots, as last reported
    peer_state_at: float = float("-inf")  # s, time of that report
    last_sent_at: float = float("-inf")  # s
    is_update_due: bool = False
    has_peer_totals: bool = False  # whether the neighbour's last update had nonzero totals


@dataclass(slots=True)
class TreeEdge:
    """Running totals that two neighbours in an aggregation tree sent each other for one account."""

    remote_requested: float = 0.0  # units requested on the far side of the edge, as reported
    remote_spent: float = 0.0
    last_totals: tuple[float, float] | None = None  # units requested and spent, as last received
    sent_requested: float = 0.0  # units requested on the near side, as last sent
    last_sent_at: float = float("-inf")  # s

    def receive(self, requested: float, spent: float, peer_predates_start: bool) -> tuple[float, float]:
        """Apply the far side's totals and return the increments, which are 0 for reordered messages.

        The first totals count in full, unless `peer_predates_start`: the sender started earlier, and its
        totals include units that were spent before this gateway started.
        """
        last = self.last_totals or ((requested, spent) if peer_predates_start else (0.0, 0.0))
        new_requested = (requested - last[0]) % TOTALS_WRAP
        new_spent = (spent - last[1]) % TOTALS_WRAP
        if max(new_requested, new_spent) >= TOTALS_WRAP / 2:
            return 0.0, 0.0
        self.last_totals = (requested, spent)
        self.remote_requested += new_requested
        self.remote_spent += new_spent
        return new_requested, new_spent


@dataclass(slots=True)
class Account:
    """One customer's state at one gateway."""

    plan: Plan
    plan_index: int
    first_gateway: int
    member_count: int
    refilled_at: float  # s
    last_request_at: float  # s
    ledgers: dict[int, PeerLedger] = field(default_factory=dict)  # by ring neighbour
    is_member: bool = False  # whether this gateway belongs to the customer's set
    predecessor: int | None = None  # ring neighbour before this gateway
    second_predecessor: int | None = None  # the predecessor of the predecessor; None in a ring of two
    level: float = 0.0  # units in the bucket
    hard_limit_level: float = 0.0  # units
    in_flight: int = 0  # attempts
    demand: float = 0.0  # units/s
    last_peer_update_at: float = float("-inf")  # s
    has_peer_level: bool = False  # whether a neighbour's level was adopted since the start
    is_aggregated: bool = False
    parent: int | None = None  # neighbour towards the root of the aggregation tree
    tree_edges: dict[int, TreeEdge] = field(default_factory=dict)  # by tree neighbour
    has_parent_update: bool = False  # whether totals from the parent await forwarding
    total_requested: float = 0.0  # units requested here and, as reported, beyond all edges
    total_spent: float = 0.0

    def base_share(self) -> float:
        """Return the quota share without loans: the even share plus the net of all ledgers, at least 0."""
        moved = sum(ledger.received_share for ledger in self.ledgers.values())
        return max(0.0, 1 / self.member_count + moved / SHARE_STEPS)

    def refill(self, now: float, share: float, may_shrink: bool, quota_fraction: float = 1.0) -> None:
        """Advance bucket, hard limit and demand to `now`; `may_shrink` permits a lower level.

        `share` is what of the quota may be spent here; `quota_fraction` is what of this gateway's part of the
        hard limit may, if another process has the rest.
        """
        elapsed = now - self.refilled_at
        self.refilled_at = now
        if self.is_aggregated and not elapsed:
            return
        level = min(self.plan.burst * share, self.level + self.plan.rate * share * elapsed)
        self.level = level if may_shrink else max(self.level, level)
        time_constant = AGGREGATED_DEMAND_TIME_CONSTANT if self.is_aggregated else DEMAND_TIME_CONSTANT
        self.demand *= math.exp(-elapsed / time_constant)
        fraction = quota_fraction / self.member_count if self.is_member else 0.0
        self.hard_limit_level = min(
            self.plan.hard_limit_burst * fraction,
            self.hard_limit_level + self.plan.hard_limit_rate * fraction * elapsed,
        )

    def spend(self, units: float) -> None:
        """Take units from the bucket; the level of an aggregated account does not go below 0."""
        self.total_spent += units
        self.level -= units
        if self.is_aggregated:
            self.level = max(0.0, self.level)

    def add_demand(self, units: float) -> None:
        """Count requested units; for an aggregated account these include requests at other gateways."""
        if self.is_aggregated:
            self.demand += units / AGGREGATED_DEMAND_TIME_CONSTANT
            self.total_requested += units
        else:
            self.demand += units / DEMAND_TIME_CONSTANT

    def is_idle(self, now: float) -> bool:
        """Return whether the account can be dropped and recreated on demand without losing state."""
        if self.is_aggregated:
            timeout = AGGREGATED_IDLE_TIMEOUT
        else:
            time_to_fill = self.plan.burst / self.plan.rate if self.plan.rate else 0.0
            timeout = max(IDLE_TIMEOUT, time_to_fill)
        return now - max(self.last_request_at, self.last_peer_update_at) > timeout and not self.in_flight

    def is_replenished(self, now: float) -> bool:
        """Return whether the account, if dropped now and recreated, would admit about what it does now."""
        if self.in_flight or self.plan.hard_limit_rate:
            return False
        if any(ledger.received_share or ledger.received_units for ledger in self.ledgers.values()):
            return False
        share = 1.0 if self.is_aggregated else 1 / self.member_count
        level = self.level + self.plan.rate * share * (now - self.refilled_at)
        return level >= REPLENISHED_FILL * self.plan.burst * share


class AccountTable:
    """All accounts of one gateway, and the ring neighbours that they lead to."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.max_accounts = math.inf  # a limit on memory, set by the host
        self.by_customer: OrderedDict[int, Account] = OrderedDict()  # the longest unused first
        self.active: dict[int, Account] = {}  # accounts with ring neighbours that take part in the exchange
        self.ring_neighbours: set[int] = set()

    def create(
        self, customer: int, plan_index: int, first_gateway: int, member_count: int, now: float
    ) -> Account:
        """Create an account with an even share of the quota."""
        member_count = max(1, min(member_count, self.settings.gateway_count))
        plan = self.settings.plans[plan_index]
        account = Account(plan, plan_index, first_gateway, member_count, now, now)
        self.by_customer[customer] = account
        offset = (self.settings.gateway_index - first_gateway) % self.settings.gateway_count
        account.is_member = offset < member_count
        account.is_aggregated = member_count > MAX_EXCHANGE_MEMBERS
        if account.is_aggregated:
            account.level = float(plan.burst)
            self._join_tree(account, customer)
        else:
            account.level = plan.burst / member_count
            if account.is_member and member_count > 1:
                self._join_ring(account)
        return account

    def touch(self, customer: int) -> Account:
        """Return an account, which becomes the latest used."""
        self.by_customer.move_to_end(customer)
        return self.by_customer[customer]

    def make_room(self, now: float) -> bool:
        """Drop accounts that are not needed any more; return whether one more may be created.

        Only a few are checked, so that the cost of a request does not depend on the number of accounts.
        At the limit, accounts that differ little from new ones make room, the longest unused first.
        """
        for customer, account in list(islice(self.by_customer.items(), MAX_ACCOUNTS_CHECKED)):
            is_full = len(self.by_customer) >= self.max_accounts
            if account.is_idle(now) or (is_full and account.is_replenished(now)):
                self.drop(customer)
        return len(self.by_customer) < self.max_accounts

    def drop(self, customer: int) -> None:
        """Drop one account."""
        del self.by_customer[customer]
        self.active.pop(customer, None)

    def mark_active(self, customer: int, account: Account) -> None:
        """Include an account in the exchange, if it has ring neighbours."""
        if account.ledgers:
            self.active[customer] = account

    def forget_idle(self, now: float) -> None:
        """Drop idle accounts."""
        idle = [customer for customer, account in self.by_customer.items() if account.is_idle(now)]
        for customer in idle:
            self.drop(customer)

    def _join_tree(self, account: Account, customer: int) -> None:
        routes = tree_routes(
            self.settings.gateway_index,
            customer,
            account.first_gateway,
            account.member_count,
            self.settings.gateway_count,
        )
        account.parent = routes.parent
        account.tree_edges = {peer: TreeEdge() for peer in routes.peers}

    def _join_ring(self, account: Account) -> None:
        """Create ledgers with the two members adjacent to this gateway in the order of indices."""
        members = range(account.first_gateway, account.first_gateway + account.member_count)
        ring = sorted(member % self.settings.gateway_count for member in members)
        position = ring.index(self.settings.gateway_index)
        successor = ring[(position + 1) % account.member_count]
        account.predecessor = ring[position - 1]
        account.second_predecessor = ring[position - 2] if account.member_count > 2 else None
        account.ledgers = {peer: PeerLedger() for peer in sorted({account.predecessor, successor})}
        self.ring_neighbours |= account.ledgers.keys()
