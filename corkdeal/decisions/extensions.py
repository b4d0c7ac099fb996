"""What the decisions ask of optional subsystems, as Protocols; the subsystems are made by the host."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from .accounts import Account, PeerLedger
from .peer_messages import AccountUpdate

if TYPE_CHECKING:  # at run time only a gateway that restores stored state imports it
    from .persisted_state import StoredAccount


class AdmissionRamp(Protocol):
    """A limit on first attempts in the first seconds after a start or a stall."""

    def try_admit(self, now: float, in_flight: int) -> bool:
        """Whether one more attempt may start while so many are in flight; if so it is counted."""

    def record_outcome(self, is_success: bool) -> None:
        """An attempt ended."""


class QuotaRestoreView(Protocol):
    """Takes quota shares up from ring neighbours after a start."""

    def apply_stored(self, account: Account, stored: StoredAccount, has_current_ledgers: bool) -> None:
        """Take ledgers from a stored record, until a neighbour sends newer ones."""

    def account_created(self, account: Account) -> None:
        """An account was just made."""

    def may_send_updates(self, peer: int) -> bool:
        """Whether updates may go to a neighbour without wiping out what it holds."""

    def record_reply(self, peer: int) -> None:
        """A neighbour sent a message to this incarnation."""

    def apply_update(self, peer: int, update: AccountUpdate) -> None:
        """Take what a neighbour's update shows of the time before this start."""

    def ledger_after_peer_restart(self, ledger: PeerLedger) -> PeerLedger:
        """What is left of a ledger whose other end started anew."""

    def accounts_to_report(self, peer: int) -> list[tuple[int, Account]]:
        """The accounts, by customer, whose totals go to a neighbour that started anew."""


class MembershipView(Protocol):
    """Which members of the tier are alive, and how much of an account may be spent here."""

    def quota_share(self, account: Account) -> float:
        """The part of an account that may be spent here."""

    def is_share_exclusive(self, account: Account) -> bool:
        """Whether nobody else spends any of this gateway's share of an account."""

    def sends_heartbeats(self, member: int) -> bool:
        """Whether heartbeats come from a member."""

    def receive_payload(
        self, payload: bytes, peer: int, is_accepted: Callable[[int, int, int], bool]
    ) -> bool:
        """Apply a payload if it is a heartbeat that is accepted; False for another kind of message.

        `is_accepted` gets the peer, its incarnation and the one of this gateway that it knows, else 0.
        """

    def step(self) -> None:
        """Do what the time has come for."""

    def resume(self, stall_time: float) -> None:
        """The process was stalled for so many seconds."""

    def metrics(self) -> dict[str, int]:
        """Metrics by the names on the log line `figures`."""
