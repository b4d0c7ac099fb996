"""Aggregation: when the gateways of a large set tell each other what was asked and spent of one quota.

Totals go by the customer's tree, which `tree_routes` lays. Members report to the aggregator of their block
at once, aggregators report to the root, and the root pushes the sums down by the aggregators when the quota
is near its end. Only aggregators and roots wait, each for a stated time after its last message; what waited
goes out in one message for all customers that share the route. So a total is old by about one wait of an
aggregator, one of the root and the delay of four messages, however many the members are.

The waits follow from the rate at which a gateway may receive messages: PUSH_FRACTION of it comes from the
ROOTS roots, and a root gets REPORT_FRACTION of it from aggregators. What an aggregator gets from its block
is as much as is asked there.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Protocol

from .accounts import AGGREGATED_DEMAND_TIME_CONSTANT, Account, TreeEdge
from .peer_messages import TreeTotals
from .tree_routes import ROOTS, aggregator_count

PUSH_FRACTION = 0.2  # of the messages that a gateway receives, from roots
REPORT_FRACTION = 0.35  # of the messages that a root receives, from aggregators
DEFAULT_MESSAGE_RATE = 60.0  # messages a second, where the settings have none
PUSH_STEP = 0.4  # of the burst, asked since the last push
PUSH_DEMAND = 0.8  # of the rate, demand from which on totals are pushed
PUSH_LEVEL = 0.4  # of the burst, level below which totals are pushed


class QuotaRates(Protocol):
    """What the scheduler needs to know of an account's quota."""

    def refill(self, account: Account, /) -> float:
        """Bring the account up to the present time."""

    def rate(self, account: Account, /) -> float:
        """Units a second that the account may spend."""


class AggregationScheduler:
    """When a gateway passes on what was asked of itself and what it was told, and to whom."""

    def __init__(self, gateway_count: int, message_rate: float) -> None:
        """`message_rate` is what a gateway may receive, in messages a second; 0 for the default."""
        received = message_rate or DEFAULT_MESSAGE_RATE
        self.push_interval = ROOTS / (PUSH_FRACTION * received)  # s
        self.report_interval = aggregator_count(gateway_count) / (REPORT_FRACTION * received)  # s
        self.reported_at: dict[int, float] = {}  # by root
        self.pushed_at = -math.inf
        self.pending: dict[int, Account] = {}  # by customer, accounts with something new
        self.deferred_until: dict[int, float] = {}  # by customer
        self.next_deferred_at = math.inf  # no deferred update is due before

    def mark_pending(self, customer: int, account: Account) -> None:
        """Something new was asked of the account, here or elsewhere."""
        self.pending[customer] = account

    def defer(self, customer: int, until: float) -> None:
        """Let a customer's update wait until then."""
        self.deferred_until[customer] = until
        self.next_deferred_at = min(self.next_deferred_at, until)

    def resume_deferred(self, now: float, accounts: Mapping[int, Account]) -> None:
        """Make updates pending again whose wait is over; those of forgotten accounts are dropped."""
        ready = [customer for customer, until in self.deferred_until.items() if until <= now]
        for customer in ready:
            del self.deferred_until[customer]
            if customer in accounts:
                self.pending[customer] = accounts[customer]
        self.next_deferred_at = min(self.deferred_until.values(), default=math.inf)

    def due(self, now: float, quotas: QuotaRates) -> dict[int, list[TreeTotals]]:
        """Take the pending updates: totals to be sent now, by peer. The others are deferred."""
        pending = self.pending
        self.pending = {}
        due: dict[int, list[TreeTotals]] = {}
        reported_to: set[int] = set()
        is_pushed = False
        for customer, account in pending.items():
            quotas.refill(account)
            for peer, edge in account.tree_edges.items():
                earliest = self._earliest(now, quotas, account, peer, edge)
                if earliest is None:
                    continue
                if earliest > now:
                    self.defer(customer, earliest)
                    continue
                due.setdefault(peer, []).append(_send_totals(now, customer, account, edge))
                if peer == account.parent:
                    reported_to.add(peer)
                is_pushed = is_pushed or account.parent is None
            account.has_parent_update = False
        self.reported_at.update(dict.fromkeys(reported_to, now))
        if is_pushed:
            self.pushed_at = now
        return due

    def _earliest(
        self, now: float, quotas: QuotaRates, account: Account, peer: int, edge: TreeEdge
    ) -> float | None:
        """From when on totals may go to a peer; None while there is nothing for it."""
        unsent = account.total_asked - edge.remote_asked - edge.sent_asked
        if unsent <= 0:
            return None
        if peer == account.parent:
            is_aggregator = len(account.tree_edges) > 1
            return self.reported_at.get(peer, -math.inf) + self.report_interval if is_aggregator else now
        if account.parent is not None:  # an aggregator passes a push on
            return now if account.has_parent_update else None
        rate = quotas.rate(account)
        is_near_end = account.demand > PUSH_DEMAND * rate or account.level < PUSH_LEVEL * account.plan.burst
        step = PUSH_STEP * (account.plan.burst or rate * AGGREGATED_DEMAND_TIME_CONSTANT)
        return self.pushed_at + self.push_interval if is_near_end and unsent >= step else None


def _send_totals(now: float, customer: int, account: Account, edge: TreeEdge) -> TreeTotals:
    """An account's running totals on this side of an edge, booked as sent."""
    edge.sent_asked = account.total_asked - edge.remote_asked
    edge.last_sent_at = now
    return TreeTotals(
        customer,
        account.plan_index,
        account.first_gateway,
        account.member_count,
        edge.sent_asked,
        account.total_spent - edge.remote_spent,
    )
