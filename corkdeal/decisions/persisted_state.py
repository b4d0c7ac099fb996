"""What the decisions learned, as plain records, and how it goes into and out of their own state.

Nothing is decided and nothing is aged here: `corkdeal.persistence` weighs each record by its age before it
comes back. Times in a record are seconds of whatever clock the caller names; in the decisions they are the
module's.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from .accounts import Account, PeerLedger, TreeEdge
from .events import Endpoint
from .records import BackendRecord
from .settings import Plan, RequestClass


class ShutMemory(NamedTuple):
    """A class that a server turned away: how long it was shut out, and for how much longer."""

    cls: str
    wait: float  # s
    left: float  # s, from the moment of the server's record


class ServerMemory(NamedTuple):
    """One server's record."""

    server: str
    started: float  # wall time in s, 0 for long ago; another start is another server
    at: float  # when the record was made
    slow: float  # its latency in terms of what the fleet takes at like load
    failures: int
    ejected: bool
    out_for: float  # s, the last ejection
    shut: tuple[ShutMemory, ...] = ()
    address: str = ""  # host:port as this gateway reached it; empty where it is not known


class WorkMemory(NamedTuple):
    """Usual latency of one class and size."""

    cls: str
    size: int
    seconds: float
    at: float = 0.0


class PairMemory(NamedTuple):
    """A ledger between this gateway and one adjacent member of a customer's ring."""

    peer: int
    slice: int  # parts of 1 / peer_messages.SHARE_STEPS, received net
    units: float
    round: int
    told_slice: float | None
    told_level: float
    told_at: float
    told_totals: bool
    born: int = 0  # the peer's incarnation that this ledger is with


class EdgeMemory(NamedTuple):
    """Running totals between this gateway and one neighbour in a wide ring."""

    peer: int
    asked: float
    spent: float
    heard: tuple[float, float] | None
    told: float
    born: int = 0  # the neighbour's incarnation that was heard


class AccountMemory(NamedTuple):
    """One customer's account."""

    plan: str
    first: int
    spread: int
    at: float  # the time that level, ceiling and demand speak of
    asked_at: float
    level: float  # units
    ceiling: float  # units
    demand: float  # units a second
    open: int  # attempts out
    asked: float = 0.0  # running totals of a wide ring
    spent: float = 0.0
    pairs: tuple[PairMemory, ...] = ()
    edges: tuple[EdgeMemory, ...] = ()


class FleetMemory(NamedTuple):
    """What is known of all servers together, and this gateway's place in its tier."""

    pace: float  # part of a class's latency that each request in work adds
    slow: float  # how slow the fleet is now against its usual work
    retries: float  # further attempts saved up
    work: tuple[WorkMemory, ...] = ()
    me: int = 0
    gateways: int = 1
    born: int = 0  # this gateway's incarnation, ms modulo 2**32
    round: int = 0  # of its messages
    peers: tuple[tuple[int, int], ...] = ()  # incarnations of the others
    part: float = 1.0  # of this gateway's quota that the life had; the rest was another life's


class Memory(Protocol):
    """What an earlier life learned, aged; each record is given once, in the module's clock."""

    exact: bool  # whether it comes from that life itself, and not from a store that may hold an older copy

    def fleet(self, now: float, first_work: dict[str, float]) -> FleetMemory:
        """The fleet's record; `first_work` is what a class of that name takes where nothing is known (s)."""

    def resumes(self) -> bool:
        """Whether the ledgers with peers may go on where they were."""

    def server(self, entry: Endpoint, now: float) -> ServerMemory | None:
        """The record of the server that this line of the list names."""

    def account(self, customer: int, plan: Plan, first: int, spread: int, now: float) -> AccountMemory | None:
        """The customer's account, with what may have been spent unseen taken off its level."""


def server_of(
    server: BackendRecord, classes: tuple[RequestClass, ...], now: float, shift: float
) -> ServerMemory:
    """A server's record as it stands; `shift` is what the caller's clock shows more than the module's (s)."""
    fresh = (
        min(now, server.last_attempt_at) if server.last_attempt_at > 0 else now
    )  # the record fades from the last send on
    shut = tuple(
        [
            ShutMemory(classes[cls].name, wait, max(0.0, until - fresh))
            for cls, (wait, until) in server.rejecting_classes.items()
            if wait > 0 and cls is not None
        ]
    )
    return ServerMemory(
        str(server.endpoint.backend),
        server.endpoint.started,
        fresh + shift,
        server.slowness,
        server.failures,
        server.is_ejected,
        server.ejection_time,
        shut,
    )


def put_server(server: BackendRecord, m: ServerMemory, classes: tuple[RequestClass, ...], now: float) -> None:
    """Give a newly listed server its record; one that was out is due for a trial."""
    names = {c.name: i for i, c in enumerate(classes)}
    server.slowness, server.failures = m.slow, m.failures
    server.last_attempt_at = now  # its record fades from here on; what faded before is in its weight
    server.is_ejected, server.ejected_until, server.ejection_time = m.ejected, now, m.out_for
    server.rejecting_classes = {names[s.cls]: (s.wait, now + s.left) for s in m.shut if s.cls in names}


def account_of(a: Account, shift: float, born: dict[int, int]) -> AccountMemory:
    """An account as it stands, its level that of `at`; `born` has the incarnations of peers."""
    return AccountMemory(
        a.plan.name,
        a.first_gateway,
        a.member_count,
        a.refilled_at + shift,
        a.last_request_at + shift,
        a.level,
        a.hard_limit_level,
        a.demand,
        a.in_flight,
        a.total_asked,
        a.total_spent,
        tuple(
            [
                PairMemory(
                    peer,
                    p.received_share,
                    p.received_units,
                    p.last_round,
                    p.peer_share,
                    p.peer_level,
                    max(0.0, p.peer_state_at + shift),
                    p.has_peer_totals,
                    born.get(peer, 0),
                )
                for peer, p in a.ledgers.items()
            ]
        ),
        tuple(
            [
                EdgeMemory(
                    peer, e.remote_asked, e.remote_spent, e.last_totals, e.sent_asked, born.get(peer, 0)
                )
                for peer, e in a.tree_edges.items()
            ]
        ),
    )


def put_account(a: Account, m: AccountMemory, resumes: bool, born: dict[int, int]) -> None:
    """Give a newly met account its record; ledgers only where both ends go on with them.

    A peer whose incarnation is not the one in `born` started again, so the ledger begins anew too.
    Attempts that were out ended with the process that had them, so none is open.
    """
    a.refilled_at, a.last_request_at, a.level, a.hard_limit_level, a.demand = (
        m.at,
        m.asked_at,
        m.level,
        m.ceiling,
        m.demand,
    )
    a.has_peer_level = True  # it knows what it spent; a neighbour need not tell it
    if not resumes:
        return
    for p in m.pairs:
        if p.peer in a.ledgers and p.born == born.get(p.peer, 0):
            a.ledgers[p.peer] = PeerLedger(
                p.slice,
                p.units,
                p.round,
                p.told_slice,
                p.told_level,
                p.told_at,
                has_peer_totals=p.told_totals,
                last_sent_at=p.told_at,
            )
    for e in m.edges:
        if e.peer in a.tree_edges:
            heard = e.heard if e.born == born.get(e.peer, 0) else None
            a.tree_edges[e.peer] = TreeEdge(e.asked, e.spent, heard, e.told)
    a.total_asked, a.total_spent = m.asked, m.spent
