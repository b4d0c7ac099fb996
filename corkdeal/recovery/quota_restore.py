"""Restores quota shares after a start, from ring neighbours that hold the same running totals of the ledgers.

Both ends of a peer ledger hold the same totals, so the end that kept running can send them to the end that
restarted:

- The end that kept running retains the totals when the other end restarts, and sends them with its next
  message.
- The end that restarted sends a neighbour no updates until that neighbour has sent it a message, PEER_TIMEOUT
  has passed, or the neighbour is known to have started at about the same time. Otherwise its zeros would
  overwrite the totals that it asks for.
- The totals that it receives replace its side of the ledger without changing its token bucket, as those units
  were spent before.
- Its demand starts at the value that balances share against demand with the neighbour, and decays towards its
  actual demand.
- A stored ledger is used until the neighbour's totals arrive. These override it, as it may be out of date.
- Without totals from the neighbour or a stored ledger the totals start at zero, and the first update sets
  those of the other end to zero as well.

In each case both ends hold the same totals after the first updates have arrived, and the quota shares add up
to the whole quota. An aggregated ring has no ledgers but running totals of what was spent. There a start
begins with the bucket level at which the quota's rate is admitted but no burst, since others may have spent
the burst.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.accounts import Account, PeerLedger
from ..decisions.peer_messages import SHARE_STEPS, AccountUpdate
from .host import QuotaRestoreHost

if TYPE_CHECKING:  # at run time only a gateway that restores stored state imports it
    from ..decisions.persisted_state import StoredAccount

PEER_TIMEOUT = 1.0  # s that neighbours have to send a message; three exchanges and a delayed one
AGGREGATION_DELAY = 4.0  # s from a start until the totals of an aggregated ring have arrived
AGGREGATED_INITIAL_FILL = 0.4  # of the burst; at this level an aggregated ring admits the quota's rate
MAX_REPORTED_ACCOUNTS = 56  # they fill eight of the sixty datagrams per second that a peer accepts


class QuotaRestore:
    """Restores the quota shares of one gateway; lives as long as the process."""

    def __init__(self, host: QuotaRestoreHost) -> None:
        self.host = host
        self.started_at: float | None = None  # s, when the first account was created
        # neighbours that were sent a message so that they reply with their totals
        self.queried: set[int] = set()
        self.responded_peers: set[int] = set()  # neighbours that have sent a message to this incarnation

    def apply_stored(self, account: Account, stored: StoredAccount, has_current_ledgers: bool) -> None:
        """Use the ledgers of a stored account until a neighbour sends its totals.

        The stored account may be out of date, so the neighbour's totals override it, and the lower of the two
        bucket levels is used.
        """
        account.has_peer_level = False
        if not has_current_ledgers:
            return
        for record in stored.ledgers:
            if record.peer in account.ledgers:
                account.ledgers[record.peer] = PeerLedger(
                    record.received_share, record.received_units, has_peer_totals=True
                )

    def query_totals(self, account: Account) -> None:
        """Ask the neighbours of a new account for their totals.

        In an aggregated ring, soon after a start, also lower the level, which others may have spent.
        """
        now = self.host.now
        if self.started_at is None:
            self.started_at = now
        is_early = now - self.started_at < AGGREGATION_DELAY
        if account.is_aggregated and is_early and not self.host.has_resumed():
            account.level = min(account.level, AGGREGATED_INITIAL_FILL * account.plan.burst)
        for peer in sorted(account.ledgers.keys() - self.queried):
            self.queried.add(peer)
            self.host.send_updates(peer, [])

    def record_peer_message(self, peer: int) -> None:
        """Record that a neighbour sent a message to this incarnation."""
        self.responded_peers.add(peer)

    def may_send_updates(self, peer: int) -> bool:
        """Return whether updates may be sent to a neighbour: it has sent its totals, or has none to send."""
        if peer in self.responded_peers or self.host.has_resumed():
            return True
        if self.started_at is None or self.host.now - self.started_at > PEER_TIMEOUT:
            return True
        incarnation = self.host.peer_incarnations.get(peer)
        return incarnation is not None and not self.host.predates_start(incarnation)

    def apply_update(self, peer: int, update: AccountUpdate) -> None:
        """Set the initial demand of an account from an update by a neighbour that kept running.

        It is the demand with which the restored share balances the neighbour's.
        """
        account = self.host.account(
            update.customer, update.plan_index, update.first_gateway, update.member_count
        )
        ledger = account.ledgers.get(peer)
        if ledger is None or ledger.last_round or account.has_peer_level or update.share <= 0:
            return
        if not self.host.predates_start(self.host.peer_incarnations[peer]):
            return
        restored = account.base_share() - (ledger.received_share + update.received_share) / SHARE_STEPS
        share = max(0.0, min(1.0, restored))
        account.demand = max(account.demand, min(account.plan.rate, update.demand * share / update.share))

    def ledger_after_peer_restart(self, ledger: PeerLedger) -> PeerLedger:
        """Return what is kept of a ledger whose other end restarted: its totals."""
        return PeerLedger(ledger.received_share, ledger.received_units, has_peer_totals=True)

    def accounts_to_report(self, peer: int) -> list[tuple[int, Account]]:
        """Return the accounts, by customer, whose totals to send to a neighbour that restarted.

        Those with the largest transferred shares come first.
        """
        accounts = [
            (customer, account)
            for customer, account in self.host.accounts.items()
            if _has_totals(account.ledgers.get(peer))
        ]
        accounts.sort(key=lambda item: (-abs(item[1].ledgers[peer].received_share), item[0]))
        return accounts[:MAX_REPORTED_ACCOUNTS]


def _has_totals(ledger: PeerLedger | None) -> bool:
    """Return whether any quota was transferred over a ledger."""
    return ledger is not None and bool(ledger.received_share or ledger.received_units)
