"""Aggregation: schedules the totals by which a large set of gateways shares the use of one quota.

Totals travel along the customer's tree (`tree_routes`). Members report to the aggregator of their block at
once, aggregators report to the root, and the root pushes the sums back down through the aggregators when
the quota is nearly used up. Only aggregators and roots delay messages, each for a fixed interval after its
last one; everything deferred is then sent in one message for all customers on that route. The age of a total
is therefore about one report interval, one push interval and four message delays, whatever the number of
members.

The intervals follow from the message rate that a gateway may receive: PUSH_FRACTION of it comes from the
ROOTS roots, and a root receives REPORT_FRACTION of it from aggregators. The rate at which an aggregator
receives reports from its block is the rate of requests there.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Protocol

from .accounts import AGGREGATED_DEMAND_TIME_CONSTANT, Account, TreeEdge
from .peer_messages import TreeTotals
from .tree_routes import ROOTS, aggregator_count

PUSH_FRACTION = 0.2  # of a gateway's message rate, for pushes from roots
REPORT_FRACTION = 0.35  # of a root's message rate, for reports from aggregators
DEFAULT_MESSAGE_RATE = 60.0  # messages/s, if the settings give none
PUSH_STEP = 0.4  # of the burst; units requested since the last push that make a push due
PUSH_DEMAND = 0.8  # of the rate; totals are pushed while demand is above this
PUSH_LEVEL = 0.4  # of the burst; totals are pushed while the level is below this


class QuotaRates(Protocol):
    """What the scheduler reads of an account's quota."""

    def refill(self, account: Account, /) -> float:
        """Advance the account to the present time."""

    def rate(self, account: Account, /) -> float:
        """Return the rate at which the account may spend, in units/s."""


class AggregationScheduler:
    """Schedules when a gateway sends its own and received totals, and to which tree neighbours."""

    def __init__(self, gateway_count: int, message_rate: float) -> None:
        """`message_rate` is what a gateway may receive, in messages/s; 0 for DEFAULT_MESSAGE_RATE."""
        effective_rate = message_rate or DEFAULT_MESSAGE_RATE
        self.push_interval = ROOTS / (PUSH_FRACTION * effective_rate)  # s
        self.report_interval = aggregator_count(gateway_count) / (REPORT_FRACTION * effective_rate)  # s
        self.reported_at: dict[int, float] = {}  # by root
        self.pushed_at = -math.inf
        self.pending: dict[int, Account] = {}  # by customer, accounts with unsent totals
        self.deferred_until: dict[int, float] = {}  # by customer
        self.next_deferred_at = math.inf  # time of the earliest deferred update

    def mark_pending(self, customer: int, account: Account) -> None:
        """Queue an account whose totals changed."""
        self.pending[customer] = account

    def defer(self, customer: int, until: float) -> None:
        """Defer a customer's update until the given time."""
        self.deferred_until[customer] = until
        self.next_deferred_at = min(self.next_deferred_at, until)

    def resume_deferred(self, now: float, accounts: Mapping[int, Account]) -> None:
        """Requeue deferred updates that are due; those of dropped accounts are discarded."""
        ready = [customer for customer, until in self.deferred_until.items() if until <= now]
        for customer in ready:
            del self.deferred_until[customer]
            if customer in accounts:
                self.pending[customer] = accounts[customer]
        self.next_deferred_at = min(self.deferred_until.values(), default=math.inf)

    def due(self, now: float, quotas: QuotaRates) -> dict[int, list[TreeTotals]]:
        """Drain the pending updates; returns the totals to send now, by peer, and defers the rest."""
        pending = self.pending
        self.pending = {}
        due: dict[int, list[TreeTotals]] = {}
        reported_to: set[int] = set()
        has_pushed = False
        for customer, account in pending.items():
            quotas.refill(account)
            for peer, edge in account.tree_edges.items():
                earliest = self._earliest_send_time(now, quotas, account, peer, edge)
                if earliest is None:
                    continue
                if earliest > now:
                    self.defer(customer, earliest)
                    continue
                due.setdefault(peer, []).append(_record_sent_totals(now, customer, account, edge))
                if peer == account.parent:
                    reported_to.add(peer)
                has_pushed = has_pushed or account.parent is None
            account.has_parent_update = False
        self.reported_at.update(dict.fromkeys(reported_to, now))
        if has_pushed:
            self.pushed_at = now
        return due

    def _earliest_send_time(
        self, now: float, quotas: QuotaRates, account: Account, peer: int, edge: TreeEdge
    ) -> float | None:
        """Return the earliest time at which totals may go to a peer; None if there is nothing to send."""
        unsent = account.total_requested - edge.remote_requested - edge.sent_requested
        if unsent <= 0:
            return None
        if peer == account.parent:
            is_aggregator = len(account.tree_edges) > 1
            return self.reported_at.get(peer, -math.inf) + self.report_interval if is_aggregator else now
        if account.parent is not None:  # an aggregator forwards a push
            return now if account.has_parent_update else None
        rate = quotas.rate(account)
        is_near_end = account.demand > PUSH_DEMAND * rate or account.level < PUSH_LEVEL * account.plan.burst
        step = PUSH_STEP * (account.plan.burst or rate * AGGREGATED_DEMAND_TIME_CONSTANT)
        return self.pushed_at + self.push_interval if is_near_end and unsent >= step else None


def _record_sent_totals(now: float, customer: int, account: Account, edge: TreeEdge) -> TreeTotals:
    """Return an account's running totals on the near side of an edge, and record them as sent."""
    edge.sent_requested = account.total_requested - edge.remote_requested
    edge.last_sent_at = now
    return TreeTotals(
        customer,
        account.plan_index,
        account.first_gateway,
        account.member_count,
        edge.sent_requested,
        account.total_spent - edge.remote_spent,
    )
