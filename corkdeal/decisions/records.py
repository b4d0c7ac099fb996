"""Plain records that the brain keeps; no decision is made here."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .events import Request
from .peer_messages import SHARE_STEPS, TOTALS_WRAP
from .settings import Plan, RequestClass

if TYPE_CHECKING:
    from .backends import BackendRecord


@dataclass(slots=True)
class PeerLedger:
    """The ledger between a gateway and one neighbour for one customer."""

    received_share: int = 0  # net slice received so far
    received_units: float = 0.0  # net bucket units received so far
    last_round: int = 0  # last round heard
    peer_share: float | None = None
    peer_level: float = 0.0
    peer_state_at: float = float("-inf")
    last_sent_at: float = float("-inf")
    is_update_due: bool = False
    has_peer_totals: bool = False  # whether it last told of anything moved between the two


@dataclass(slots=True)
class TreeEdge:
    """Running totals that two gateways of a wide ring told each other for one customer."""

    remote_asked: float = 0.0  # units asked and spent on the other side, as far as told
    remote_spent: float = 0.0
    last_totals: tuple[float, float] | None = None  # the totals as last heard
    sent_asked: float = 0.0  # this side's units asked, as last told
    last_sent_at: float = float("-inf")

    def receive(self, asked: float, spent: float, older: bool) -> tuple[float, float]:
        """Units new since it was last heard; a total that was overtaken on its way adds nothing.

        At first hearing all of a total is new, but for an `older` gateway's: that holds what was before.
        """
        last = self.last_totals or ((asked, spent) if older else (0.0, 0.0))
        new = (asked - last[0]) % TOTALS_WRAP, (spent - last[1]) % TOTALS_WRAP
        if max(new) >= TOTALS_WRAP / 2:
            return 0.0, 0.0
        self.last_totals, self.remote_asked, self.remote_spent = (
            (asked, spent),
            self.remote_asked + new[0],
            self.remote_spent + new[1],
        )
        return new


@dataclass(slots=True)
class Account:
    """One customer at one gateway: its slice, its bucket and its part of the ceiling."""

    plan: Plan
    plan_index: int
    first_gateway: int
    member_count: int
    refilled_at: float
    last_request_at: float
    ledgers: dict[int, PeerLedger] = field(default_factory=dict)
    is_member: bool = False  # whether this gateway is one of the customer's
    predecessor: int | None = None  # ring predecessor
    second_predecessor: int | None = None  # that one's predecessor, where it is a third
    level: float = 0.0
    hard_limit_level: float = 0.0
    in_flight: int = 0
    demand: float = 0.0
    last_peer_update_at: float = float("-inf")
    has_peer_level: bool = False
    is_aggregated: bool = False  # whether the ring is too wide for trades between adjacent gateways
    parent: int | None = None  # in a wide ring, the neighbour on the way to the ring's collecting point
    tree_edges: dict[int, TreeEdge] = field(default_factory=dict)
    has_parent_update: bool = False  # whether there is news from that one, to be passed on
    total_asked: float = 0.0  # units asked and spent so far, here and as told by all edges
    total_spent: float = 0.0

    def base_share(self) -> float:
        """Traded slice, without loans: the even share and what the ledgers moved, never below 0."""
        return max(
            0.0, 1 / self.member_count + sum(p.received_share for p in self.ledgers.values()) / SHARE_STEPS
        )


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that still needs its final answer."""

    request: Request
    request_class: RequestClass
    account: Account
    units: float  # what the try counts: its units, or one where only attempts out are limited
    arrived_at: float
    deadline: float
    is_inside_quota: bool = True  # whether the customer's quota had room for it
    attempts: int = 0
    backend: BackendRecord | None = None  # where an attempt is out
    is_streaming: bool = False
    is_cancelled: bool = False
    tried_backends: list[BackendRecord] = field(default_factory=list)
    may_have_run_at: float | None = None  # when the first attempt that may have run was sent
    may_have_run_on: BackendRecord | None = None
