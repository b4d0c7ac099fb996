"""Plain records of the state that the decisions export and that a later start restores.

Nothing expires here: `corkdeal.persistence` weighs each record by its age before it is restored. Times in a
record are in seconds of the caller's clock; inside the decisions that is the clock of the decisions. Records
are stored as arrays, so the order of their fields is part of the storage format.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from .accounts import Account, PeerLedger, TreeEdge
from .backends import BackendRecord
from .events import Endpoint
from .settings import Plan, RequestClass


class StoredRejection(NamedTuple):
    """A request class that a backend rejected."""

    request_class: str
    duration: float  # seconds for which the class avoids the backend
    remaining: float  # seconds of it left at `StoredBackend.recorded_at`


class StoredBackend(NamedTuple):
    """The record of one backend."""

    backend: str
    started: float  # wall time in seconds, 0 for long ago; a restarted backend is a different one
    recorded_at: float
    latency_ratio: float  # its latency as a multiple of the fleet's at the same load
    failures: int  # failed attempts minus successful ones, at least 0
    is_ejected: bool
    ejection_time: float  # seconds, duration of the last ejection
    rejections: tuple[StoredRejection, ...] = ()
    address: str = ""  # host:port at which this gateway reached it; empty if unknown


class StoredLatency(NamedTuple):
    """The usual latency of one request class and size."""

    request_class: str
    size: int
    latency: float  # seconds
    recorded_at: float = 0.0


class StoredLedger(NamedTuple):
    """The ledger between this gateway and one ring neighbour."""

    peer: int
    received_share: int  # net, in units of 1 / peer_messages.SHARE_STEPS
    received_units: float
    last_round: int
    peer_share: float | None
    peer_level: float
    peer_state_at: float
    has_peer_totals: bool
    peer_incarnation: int = 0  # the peer's incarnation with which the ledger was kept


class StoredTreeEdge(NamedTuple):
    """Running totals between this gateway and one neighbour in the tree of an aggregated account."""

    peer: int
    remote_requested: float
    remote_spent: float
    last_totals: tuple[float, float] | None
    sent_requested: float
    peer_incarnation: int = 0  # the peer's incarnation that sent the last totals


class StoredAccount(NamedTuple):
    """One customer's account."""

    plan: str
    first_gateway: int
    member_count: int
    refilled_at: float  # time to which level, hard limit level and demand apply
    last_request_at: float
    level: float  # units
    hard_limit_level: float  # units
    demand: float  # units/s
    in_flight: int  # attempts
    total_requested: float = 0.0  # units; running total of an aggregated account
    total_spent: float = 0.0  # units; running total of an aggregated account
    ledgers: tuple[StoredLedger, ...] = ()
    tree_edges: tuple[StoredTreeEdge, ...] = ()


class StoredFleet(NamedTuple):
    """State common to all backends, and this gateway's identity in its tier."""

    pace: float  # queueing factor: fraction of the usual latency that each request in flight adds
    latency_ratio: float  # latency of the fleet as a multiple of the usual one
    retry_budget: float  # tokens
    usual_latencies: tuple[StoredLatency, ...] = ()
    gateway_index: int = 0
    gateway_count: int = 1
    incarnation: int = 0  # ms, modulo 2**32; 0 if unknown
    message_round: int = 0
    peer_incarnations: tuple[tuple[int, int], ...] = ()  # peer and incarnation
    quota_fraction: float = 1.0  # of this gateway's quota; the rest belonged to another process


class PersistedState(Protocol):
    """The state of an earlier process, aged to now; each record is returned once, in the decisions' clock."""

    # whether it comes directly from that process, not from a snapshot that may be older
    is_exact: bool

    def fleet(self, now: float, default_latencies: dict[str, float]) -> StoredFleet:
        """Return the fleet's record.

        `default_latencies` gives the latency in seconds of each class without a record.
        """

    def may_resume(self) -> bool:
        """Return whether the ledgers with peers may be resumed."""

    def backend(self, endpoint: Endpoint, now: float) -> StoredBackend | None:
        """Return the record of this endpoint's backend, if there is one."""

    def account(
        self, customer: int, plan: Plan, first_gateway: int, member_count: int, now: float
    ) -> StoredAccount | None:
        """Return the customer's account, its level reduced by what may have been spent unrecorded."""


def export_backend(
    backend: BackendRecord, classes: tuple[RequestClass, ...], now: float, offset: float
) -> StoredBackend:
    """Return a backend's record; `offset` is the caller's clock minus the decisions', in seconds."""
    recorded_at = now
    if backend.last_attempt_at > 0:  # the record's weight decays from the last attempt on
        recorded_at = min(now, backend.last_attempt_at)
    rejections = tuple(
        [
            StoredRejection(classes[index].name, duration, max(0.0, until - recorded_at))
            for index, (duration, until) in backend.rejecting_classes.items()
            if duration > 0
        ]
    )
    return StoredBackend(
        backend=str(backend.endpoint.backend),
        started=backend.endpoint.started,
        recorded_at=recorded_at + offset,
        latency_ratio=backend.latency_ratio,
        failures=backend.failures,
        is_ejected=backend.is_ejected,
        ejection_time=backend.ejection_time,
        rejections=rejections,
    )


def restore_backend(
    backend: BackendRecord, record: StoredBackend, classes: tuple[RequestClass, ...], now: float
) -> None:
    """Apply a stored record to a newly listed backend; if it was ejected, a trial is due."""
    class_indices = {request_class.name: index for index, request_class in enumerate(classes)}
    backend.latency_ratio = record.latency_ratio
    backend.failures = record.failures
    backend.last_attempt_at = now  # the record is already weighted by its age
    backend.is_ejected = record.is_ejected
    backend.ejected_until = now
    backend.ejection_time = record.ejection_time
    backend.rejecting_classes = {
        class_indices[rejection.request_class]: (rejection.duration, now + rejection.remaining)
        for rejection in record.rejections
        if rejection.request_class in class_indices
    }


def export_account(account: Account, offset: float, incarnations: dict[int, int]) -> StoredAccount:
    """Return an account's record, its level as of `refilled_at`; `incarnations` are the peers'."""
    ledgers = [
        _export_ledger(peer, ledger, offset, incarnations.get(peer, 0))
        for peer, ledger in account.ledgers.items()
    ]
    tree_edges = [
        _export_tree_edge(peer, edge, incarnations.get(peer, 0)) for peer, edge in account.tree_edges.items()
    ]
    return StoredAccount(
        account.plan.name,
        account.first_gateway,
        account.member_count,
        account.refilled_at + offset,
        account.last_request_at + offset,
        account.level,
        account.hard_limit_level,
        account.demand,
        account.in_flight,
        account.total_requested,
        account.total_spent,
        tuple(ledgers),
        tuple(tree_edges),
    )


def _export_ledger(peer: int, ledger: PeerLedger, offset: float, incarnation: int) -> StoredLedger:
    return StoredLedger(
        peer,
        ledger.received_share,
        ledger.received_units,
        ledger.last_round,
        ledger.peer_share,
        ledger.peer_level,
        max(0.0, ledger.peer_state_at + offset),
        ledger.has_peer_totals,
        incarnation,
    )


def _export_tree_edge(peer: int, edge: TreeEdge, incarnation: int) -> StoredTreeEdge:
    return StoredTreeEdge(
        peer, edge.remote_requested, edge.remote_spent, edge.last_totals, edge.sent_requested, incarnation
    )


def restore_account(
    account: Account, record: StoredAccount, may_resume: bool, incarnations: dict[int, int]
) -> None:
    """Apply a stored record to a new account, with its ledgers only if `may_resume`.

    A peer whose incarnation differs from the one in `incarnations` has restarted, so the ledger with it
    starts empty. Attempts in flight ended with their process and are not restored.
    """
    account.refilled_at = record.refilled_at
    account.last_request_at = record.last_request_at
    account.level = record.level
    account.hard_limit_level = record.hard_limit_level
    account.demand = record.demand
    account.has_peer_level = True  # the level is restored, not adopted from a neighbour
    if not may_resume:
        return
    for ledger in record.ledgers:
        is_same_incarnation = ledger.peer_incarnation == incarnations.get(ledger.peer, 0)
        if ledger.peer in account.ledgers and is_same_incarnation:
            account.ledgers[ledger.peer] = _restored_ledger(ledger)
    for edge in record.tree_edges:
        if edge.peer in account.tree_edges:
            is_same_incarnation = edge.peer_incarnation == incarnations.get(edge.peer, 0)
            last_totals = edge.last_totals if is_same_incarnation else None
            restored = TreeEdge(edge.remote_requested, edge.remote_spent, last_totals, edge.sent_requested)
            account.tree_edges[edge.peer] = restored
    account.total_requested = record.total_requested
    account.total_spent = record.total_spent


def _restored_ledger(record: StoredLedger) -> PeerLedger:
    return PeerLedger(
        record.received_share,
        record.received_units,
        record.last_round,
        record.peer_share,
        record.peer_level,
        record.peer_state_at,
        has_peer_totals=record.has_peer_totals,
        last_sent_at=record.peer_state_at,
    )
