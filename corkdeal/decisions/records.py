"""Plain records that the brain keeps; no decision is made here."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .events import Endpoint, Request
from .peer_messages import SLICE_UNIT, TOTAL_WRAP
from .settings import Plan, RequestClass


@dataclass(slots=True, eq=False)
class Server:
    """What a gateway knows of one server, from its list and its own attempts."""

    entry: Endpoint
    met_at: float = math.inf  # by this gateway's clock, which may be behind that of `entry.started`
    out: dict[int, tuple[float, float]] = field(default_factory=dict)  # request -> (sent at, load met)
    giving: dict[int, tuple[float, float]] = field(default_factory=dict)  # the same, once answered in part
    slow: float = 1.0  # its latency in terms of what the fleet takes at like load
    failures: int = 0  # failed attempts less answered ones, never below 0
    answered_at: float = 0.0
    sent_at: float = float("-inf")
    ejected_until: float = 0.0
    ejected: bool = False  # out until a trial, then until its failures are made good
    out_for: float = 0.0  # s, the last ejection
    others: float = 0.0  # requests of other gateways by its last report
    others_at: float = float("-inf")
    cold_left: float = 0.0  # work it may still be sent while cold
    cold_at: float | None = None
    shut: dict[int | None, tuple[float, float]] = field(default_factory=dict)  # class -> (s, until)


@dataclass(slots=True)
class FadingRate:
    """Amount a second, averaged over the last seconds and right from the first ones."""

    memory: float  # s in which the weight of what was added falls to 1 / e
    total: float = 0.0
    at: float = 0.0
    since: float = math.inf

    def add(self, now: float, amount: float) -> None:
        """Book an amount; the first one only starts the clock, else it would count as a whole rate."""
        self.total *= math.exp((self.at - now) / self.memory)
        self.total += amount if self.since < now else 0.0
        self.at, self.since = now, min(now, self.since)

    def rate(self, now: float, assumed: float = 0.0, span: float = 0.0) -> float:
        """The rate, averaged with one that is assumed for `span` seconds."""
        known = self.memory * (1 - math.exp(min(0.0, self.since - now) / self.memory))
        total = self.total * math.exp((self.at - now) / self.memory) + assumed * span
        return total / (known + span) if total else 0.0


@dataclass(slots=True)
class Pair:
    """The ledger between a gateway and one neighbour for one customer."""

    slice: int = 0  # net slice received so far
    units: float = 0.0  # net bucket units received so far
    round: int = 0  # last round heard
    told_slice: float | None = None
    told_level: float = 0.0
    told_at: float = float("-inf")
    sent_at: float = float("-inf")
    due: bool = False
    told_totals: bool = False  # whether it last told of anything moved between the two


@dataclass(slots=True)
class Edge:
    """Running totals that two gateways of a wide ring told each other for one customer."""

    asked: float = 0.0  # units asked and spent on the other side, as far as told
    spent: float = 0.0
    heard: tuple[float, float] | None = None  # the totals as last heard
    told: float = 0.0  # this side's units asked, as last told
    told_at: float = float("-inf")

    def hear(self, asked: float, spent: float, older: bool) -> tuple[float, float]:
        """Units new since it was last heard; a total that was overtaken on its way adds nothing.

        At first hearing all of a total is new, but for an `older` gateway's: that holds what was before.
        """
        last = self.heard or ((asked, spent) if older else (0.0, 0.0))
        new = (asked - last[0]) % TOTAL_WRAP, (spent - last[1]) % TOTAL_WRAP
        if max(new) >= TOTAL_WRAP / 2:
            return 0.0, 0.0
        self.heard, self.asked, self.spent = (asked, spent), self.asked + new[0], self.spent + new[1]
        return new


@dataclass(slots=True)
class Account:
    """One customer at one gateway: its slice, its bucket and its part of the ceiling."""

    plan: Plan
    plan_number: int
    first: int
    spread: int
    at: float
    asked_at: float
    pairs: dict[int, Pair] = field(default_factory=dict)
    inside: bool = False  # whether this gateway is one of the customer's
    heir_of: int | None = None  # ring predecessor
    before: int | None = None  # that one's predecessor, where it is a third
    level: float = 0.0
    ceiling: float = 0.0
    open: int = 0
    demand: float = 0.0
    told_at: float = float("-inf")
    caught_up: bool = False
    wide: bool = False  # whether the ring is too wide for trades between adjacent gateways
    upward: int | None = None  # in a wide ring, the neighbour on the way to the ring's collecting point
    edges: dict[int, Edge] = field(default_factory=dict)
    from_above: bool = False  # whether there is news from that one, to be passed on
    asked: float = 0.0  # units asked and spent so far, here and as told by all edges
    spent: float = 0.0

    def base(self) -> float:
        """Traded slice, without loans: the even share and what the ledgers moved, never below 0."""
        return max(0.0, 1 / self.spread + sum(p.slice for p in self.pairs.values()) / SLICE_UNIT)


@dataclass(slots=True, eq=False)
class Pending:
    """A request that still needs its final answer."""

    e: Request
    cls: RequestClass
    account: Account
    units: float  # what the try counts: its units, or one where only attempts out are limited
    came: float
    deadline: float
    inside: bool = True  # whether the customer's quota had room for it
    attempts: int = 0
    server: Server | None = None  # where an attempt is out
    streaming: bool = False
    cancelled: bool = False
    tried: list[Server] = field(default_factory=list)
    ran_at: float | None = None  # when the first attempt that may have run was sent
    ran_on: Server | None = None
