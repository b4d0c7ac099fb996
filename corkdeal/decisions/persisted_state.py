"""What the decisions learned, as plain records, and how it goes into and out of their own state.

Nothing is decided and nothing is aged here: `corkdeal.persistence` weighs each record by its age before it
comes back. Times in a record are seconds of whatever clock the caller names; in the decisions they are the
module's.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from .backends import BackendRecord
from .events import Endpoint
from .records import Account, PeerLedger, TreeEdge
from .settings import Plan, RequestClass


class StoredRejection(NamedTuple):
    """A class that a server turned away: how long it was shut out, and for how much longer."""

    request_class: str
    duration: float  # s
    remaining: float  # s, from the moment of the server's record


class StoredBackend(NamedTuple):
    """One server's record."""

    backend: str
    started: float  # wall time in s, 0 for long ago; another start is another server
    recorded_at: float  # when the record was made
    slowness: float  # its latency in terms of what the fleet takes at like load
    failures: int
    is_ejected: bool
    ejection_time: float  # s, the last ejection
    rejections: tuple[StoredRejection, ...] = ()
    address: str = ""  # host:port as this gateway reached it; empty where it is not known


class StoredLatency(NamedTuple):
    """Usual latency of one class and size."""

    request_class: str
    size: int
    latency: float
    recorded_at: float = 0.0


class StoredLedger(NamedTuple):
    """A ledger between this gateway and one adjacent member of a customer's ring."""

    peer: int
    received_share: int  # parts of 1 / peer_messages.SHARE_STEPS, received net
    received_units: float
    last_round: int
    peer_share: float | None
    peer_level: float
    peer_state_at: float
    has_peer_totals: bool
    peer_incarnation: int = 0  # the peer's incarnation that this ledger is with


class StoredTreeEdge(NamedTuple):
    """Running totals between this gateway and one neighbour in a wide ring."""

    peer: int
    remote_asked: float
    remote_spent: float
    last_totals: tuple[float, float] | None
    sent_asked: float
    peer_incarnation: int = 0  # the neighbour's incarnation that was heard


class StoredAccount(NamedTuple):
    """One customer's account."""

    plan: str
    first_gateway: int
    member_count: int
    refilled_at: float  # the time that level, ceiling and demand speak of
    last_request_at: float
    level: float  # units
    hard_limit_level: float  # units
    demand: float  # units a second
    in_flight: int  # attempts out
    total_asked: float = 0.0  # running totals of a wide ring
    total_spent: float = 0.0
    ledgers: tuple[StoredLedger, ...] = ()
    tree_edges: tuple[StoredTreeEdge, ...] = ()


class StoredFleet(NamedTuple):
    """What is known of all servers together, and this gateway's place in its tier."""

    pace: float  # part of a class's latency that each request in work adds
    slowness: float  # how slow the fleet is now against its usual work
    retry_budget: float  # further attempts saved up
    usual_latencies: tuple[StoredLatency, ...] = ()
    gateway_index: int = 0
    gateway_count: int = 1
    incarnation: int = 0  # this gateway's incarnation, ms modulo 2**32
    message_round: int = 0  # of its messages
    peer_incarnations: tuple[tuple[int, int], ...] = ()  # incarnations of the others
    quota_fraction: float = 1.0  # of this gateway's quota that the life had; the rest was another life's


class PersistedState(Protocol):
    """What an earlier life learned, aged; each record is given once, in the module's clock."""

    is_exact: bool  # whether it comes from that life itself, and not from a store that may hold an older copy

    def fleet(self, now: float, first_work: dict[str, float]) -> StoredFleet:
        """The fleet's record; `first_work` is what a class of that name takes where nothing is known (s)."""

    def resumes(self) -> bool:
        """Whether the ledgers with peers may go on where they were."""

    def server(self, entry: Endpoint, now: float) -> StoredBackend | None:
        """The record of the server that this line of the list names."""

    def account(self, customer: int, plan: Plan, first: int, spread: int, now: float) -> StoredAccount | None:
        """The customer's account, with what may have been spent unseen taken off its level."""


def export_backend(
    server: BackendRecord, classes: tuple[RequestClass, ...], now: float, shift: float
) -> StoredBackend:
    """A server's record as it stands; `shift` is what the caller's clock shows more than the module's (s)."""
    fresh = (
        min(now, server.last_attempt_at) if server.last_attempt_at > 0 else now
    )  # the record fades from the last send on
    shut = tuple(
        [
            StoredRejection(classes[cls].name, wait, max(0.0, until - fresh))
            for cls, (wait, until) in server.rejecting_classes.items()
            if wait > 0 and cls is not None
        ]
    )
    return StoredBackend(
        str(server.endpoint.backend),
        server.endpoint.started,
        fresh + shift,
        server.slowness,
        server.failures,
        server.is_ejected,
        server.ejection_time,
        shut,
    )


def restore_backend(
    server: BackendRecord, m: StoredBackend, classes: tuple[RequestClass, ...], now: float
) -> None:
    """Give a newly listed server its record; one that was out is due for a trial."""
    names = {c.name: i for i, c in enumerate(classes)}
    server.slowness, server.failures = m.slowness, m.failures
    server.last_attempt_at = now  # its record fades from here on; what faded before is in its weight
    server.is_ejected, server.ejected_until, server.ejection_time = m.is_ejected, now, m.ejection_time
    server.rejecting_classes = {
        names[s.request_class]: (s.duration, now + s.remaining)
        for s in m.rejections
        if s.request_class in names
    }


def export_account(a: Account, shift: float, born: dict[int, int]) -> StoredAccount:
    """An account as it stands, its level that of `at`; `born` has the incarnations of peers."""
    return StoredAccount(
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
                StoredLedger(
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
                StoredTreeEdge(
                    peer, e.remote_asked, e.remote_spent, e.last_totals, e.sent_asked, born.get(peer, 0)
                )
                for peer, e in a.tree_edges.items()
            ]
        ),
    )


def restore_account(a: Account, m: StoredAccount, resumes: bool, born: dict[int, int]) -> None:
    """Give a newly met account its record; ledgers only where both ends go on with them.

    A peer whose incarnation is not the one in `born` started again, so the ledger begins anew too.
    Attempts that were out ended with the process that had them, so none is open.
    """
    a.refilled_at, a.last_request_at, a.level, a.hard_limit_level, a.demand = (
        m.refilled_at,
        m.last_request_at,
        m.level,
        m.hard_limit_level,
        m.demand,
    )
    a.has_peer_level = True  # it knows what it spent; a neighbour need not tell it
    if not resumes:
        return
    for p in m.ledgers:
        if p.peer in a.ledgers and p.peer_incarnation == born.get(p.peer, 0):
            a.ledgers[p.peer] = PeerLedger(
                p.received_share,
                p.received_units,
                p.last_round,
                p.peer_share,
                p.peer_level,
                p.peer_state_at,
                has_peer_totals=p.has_peer_totals,
                last_sent_at=p.peer_state_at,
            )
    for e in m.tree_edges:
        if e.peer in a.tree_edges:
            heard = e.last_totals if e.peer_incarnation == born.get(e.peer, 0) else None
            a.tree_edges[e.peer] = TreeEdge(e.remote_asked, e.remote_spent, heard, e.sent_asked)
    a.total_asked, a.total_spent = m.total_asked, m.total_spent
