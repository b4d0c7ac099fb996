"""Transfer of state from an earlier process to this gateway, and from this gateway to a later process.

`persisted_state` defines the records; it is imported only if a gateway restores or exports state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .accounts import Account
from .backends import BackendRecord
from .latency_model import LatencyModel, initial_latency
from .peer_protocol import PeerProtocol
from .retries import MAX_RETRY_BUDGET, Retries
from .settings import Settings

if TYPE_CHECKING:
    from .extensions import QuotaRestoreView
    from .persisted_state import PersistedState, StoredFleet


class StateTransfer:
    """Restores and exports the state of one gateway's decisions."""

    def __init__(
        self, settings: Settings, latency_model: LatencyModel, retries: Retries, peers: PeerProtocol
    ) -> None:
        self.settings = settings
        self.latency_model = latency_model
        self.retries = retries
        self.peers = peers
        self.restored: PersistedState | None = None  # state of an earlier process

    def restore_fleet(
        self, state: PersistedState, now: float, quota_restore: QuotaRestoreView | None
    ) -> None:
        """Restore an earlier process's state; backends and accounts get their records when first seen."""
        self.restored = state
        fleet = state.fleet(now, {c.name: initial_latency(c) for c in self.settings.classes})
        class_indices = {c.name: index for index, c in enumerate(self.settings.classes)}
        self.latency_model.usual_latencies = {
            (class_indices[record.request_class], record.size): record.latency
            for record in fleet.usual_latencies
        }
        self._restore_incarnation(fleet, quota_restore)
        # each request in flight may have one of every other gateway before it
        max_queueing_factor = float(self.settings.gateway_count)
        self.latency_model.queueing_factor = max(0.0, min(max_queueing_factor, fleet.pace))
        self.latency_model.fleet_latency_ratio = max(0.0, fleet.latency_ratio)
        self.retries.budget = max(0.0, min(MAX_RETRY_BUDGET, fleet.retry_budget))

    def has_resumed(self, quota_restore: QuotaRestoreView | None) -> bool:
        """Return whether this gateway resumes an earlier incarnation together with its ledgers.

        A snapshot may be outdated, so no incarnation is resumed from one if `quota_restore` gets the totals
        from the neighbours.
        """
        if self.restored is None or not self.restored.may_resume():
            return False
        return quota_restore is None or self.restored.is_exact

    def restore_backend(self, record: BackendRecord, now: float) -> None:
        """Apply the earlier process's record of a backend, if any, to a new record."""
        if self.restored is None:
            return
        stored = self.restored.backend(record.endpoint, now)
        if stored is not None:
            from . import persisted_state

            persisted_state.restore_backend(record, stored, self.settings.classes, now)

    def restore_account(
        self, customer: int, account: Account, now: float, quota_restore: QuotaRestoreView | None
    ) -> None:
        """Apply the earlier process's record of an account, if any, to a new account."""
        if self.restored is None:
            return
        stored = self.restored.account(
            customer, account.plan, account.first_gateway, account.member_count, now
        )
        if stored is None:
            return
        from . import persisted_state

        has_resumed = self.has_resumed(quota_restore)
        persisted_state.restore_account(account, stored, has_resumed, self.peers.incarnations.peers)
        if quota_restore is not None and not has_resumed:
            quota_restore.apply_stored(account, stored, self.restored.may_resume())

    def export_fleet(self, quota_fraction: float) -> StoredFleet:
        """Return the state of the fleet and of the peers' incarnations for a later process."""
        from . import persisted_state

        latencies = [
            persisted_state.StoredLatency(self.settings.classes[class_index].name, size, latency)
            for (class_index, size), latency in self.latency_model.usual_latencies.items()
        ]
        return persisted_state.StoredFleet(
            pace=self.latency_model.queueing_factor,
            latency_ratio=self.latency_model.fleet_latency_ratio,
            retry_budget=self.retries.budget,
            usual_latencies=tuple(latencies),
            gateway_index=self.settings.gateway_index,
            gateway_count=self.settings.gateway_count,
            incarnation=self.peers.incarnations.own,
            message_round=self.peers.message_round,
            peer_incarnations=tuple(self.peers.incarnations.peers.items()),
            quota_fraction=quota_fraction,
        )

    def _restore_incarnation(self, fleet: StoredFleet, quota_restore: QuotaRestoreView | None) -> None:
        """Resume the earlier incarnation or, if it has ended, choose a later one."""
        incarnations = self.peers.incarnations
        if self.has_resumed(quota_restore):
            self.peers.message_round = fleet.message_round
            incarnations.resume(fleet.incarnation, dict(fleet.peer_incarnations))
        else:
            incarnations.start_after(fleet.incarnation)
