"""Protocols of the optional subsystems that the host may attach to the decisions."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from .accounts import Account, PeerLedger
from .peer_messages import AccountUpdate

if TYPE_CHECKING:  # at run time it is imported only by a gateway that restores state
    from .persisted_state import StoredAccount


class AdmissionRamp(Protocol):
    """A limit on attempts during the first seconds after a start or a stall."""

    def try_admit(self, now: float, in_flight: int) -> bool:
        """Return whether one more attempt may start beside `in_flight` others; if so it is counted."""

    def record_outcome(self, is_success: bool) -> None:
        """Record the outcome of an attempt."""


class QuotaRestoreView(Protocol):
    """Restores quota shares from ring neighbours after a start."""

    def apply_stored(self, account: Account, stored: StoredAccount, has_current_ledgers: bool) -> None:
        """Adopt the ledgers of a stored record until a neighbour sends newer ones."""

    def query_totals(self, account: Account) -> None:
        """Ask the neighbours of a new account for their totals; may lower an aggregated account's level."""

    def may_send_updates(self, peer: int) -> bool:
        """Return whether updates may be sent to a neighbour without overwriting the totals that it holds."""

    def record_peer_message(self, peer: int) -> None:
        """Record that a neighbour sent a message to this incarnation."""

    def apply_update(self, peer: int, update: AccountUpdate) -> None:
        """Initialize an account's demand from a neighbour's update after a start."""

    def ledger_after_peer_restart(self, ledger: PeerLedger) -> PeerLedger:
        """Return what remains of a ledger after the peer restarted."""

    def accounts_to_report(self, peer: int) -> list[tuple[int, Account]]:
        """Return the (customer, account) pairs whose totals go to a neighbour that restarted."""


class MembershipView(Protocol):
    """Liveness of the members of the tier, and the quota shares that follow from it."""

    def quota_share(self, account: Account) -> float:
        """Return the fraction of an account's quota that may be spent here."""

    def is_share_exclusive(self, account: Account) -> bool:
        """Return whether no other member may spend this gateway's share of an account."""

    def sends_heartbeats(self, member: int) -> bool:
        """Return whether a member sends heartbeats."""

    def receive_payload(
        self, payload: bytes, peer: int, is_accepted: Callable[[int, int, int], bool]
    ) -> bool:
        """Process a heartbeat and apply it if accepted; returns False for other kinds of message.

        `is_accepted` receives the peer, the peer's incarnation and the incarnation of this gateway that the
        peer knows, or 0 if it knows none.
        """

    def step(self) -> None:
        """Run periodic work that is due."""

    def resume(self, stall_time: float) -> None:
        """Notify that the process was stalled for `stall_time` seconds."""

    def metrics(self) -> dict[str, int]:
        """Return metrics by their names in the log event `figures`."""
