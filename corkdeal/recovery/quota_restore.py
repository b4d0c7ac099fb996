"""Restoring quota shares after a start, from ring neighbours that hold the ledgers' running totals.

Both ends of a peer ledger hold the same totals, so the end that went on can give them to the one that started
again:

- the end that went on keeps the totals when the other starts anew, and sends them with its next message;
- the end that started sends a neighbour no updates before the neighbour sent it a message, had PEER_TIMEOUT
  to, or is known to have started at about the same time, so that its zeros do not wipe out what it asks for;
- the totals it receives become its side of the ledger without a change to its token bucket: those units were
  spent before;
- its demand begins where shares and demand balance with the neighbour's, and decays into its own;
- a stored ledger serves until then; it may be an older copy, so the neighbour's totals override it;
- without a neighbour's totals or a stored ledger it begins at zero, and its first update sets the other end
  to zero as well.

So in each case both ends have the same totals after the first updates that arrive, and the shares add up to
the whole. An aggregated ring has no ledgers but running totals of what was spent; a start there begins at the
bucket level at which it admits the quota's rate and no burst, since others may have spent that.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.accounts import Account, PeerLedger
from ..decisions.peer_messages import SHARE_STEPS, AccountUpdate
from .host import QuotaRestoreHost

if TYPE_CHECKING:  # at run time only a gateway that restores stored state imports it
    from ..decisions.persisted_state import StoredAccount

PEER_TIMEOUT = 1.0  # s that neighbours have to send a message; three exchanges and a late one
AGGREGATION_DELAY = 4.0  # s after a start until an aggregated ring's totals have arrived
AGGREGATED_INITIAL_FILL = 0.4  # of the burst, at which an aggregated ring admits its rate
MAX_REPORTED_ACCOUNTS = 56  # eight datagrams of the sixty a second that a peer accepts


class QuotaRestore:
    """One gateway's restoring of quota shares, for as long as it runs."""

    def __init__(self, host: QuotaRestoreHost) -> None:
        self.host = host
        self.started_at: float | None = None  # s, of the first account
        self.asked: set[int] = set()  # neighbours that were sent a message for their totals
        self.replied: set[int] = set()  # neighbours that sent a message to this incarnation

    def apply_stored(self, account: Account, stored: StoredAccount, has_current_ledgers: bool) -> None:
        """Take ledgers from a stored record; they serve until a neighbour sends its totals.

        The record may be an older copy, so the neighbour's totals override it, and of two bucket levels the
        lower counts.
        """
        account.has_peer_level = False
        if not has_current_ledgers:
            return
        for record in stored.ledgers:
            if record.peer in account.ledgers:
                account.ledgers[record.peer] = PeerLedger(
                    record.received_share, record.received_units, has_peer_totals=True
                )

    def account_created(self, account: Account) -> None:
        """An account was just made: ask its neighbours, and trust no level that others may have spent."""
        now = self.host.now
        if self.started_at is None:
            self.started_at = now
        is_early = now - self.started_at < AGGREGATION_DELAY
        if account.is_aggregated and is_early and not self.host.has_resumed():
            account.level = min(account.level, AGGREGATED_INITIAL_FILL * account.plan.burst)
        for peer in sorted(account.ledgers.keys() - self.asked):
            self.asked.add(peer)
            self.host.send_updates(peer, [])

    def record_reply(self, peer: int) -> None:
        """A neighbour sent a message to this incarnation."""
        self.replied.add(peer)

    def may_send_updates(self, peer: int) -> bool:
        """Whether updates may go to a neighbour: it sent what it holds, or has nothing to send."""
        if peer in self.replied or self.host.has_resumed():
            return True
        if self.started_at is None or self.host.now - self.started_at > PEER_TIMEOUT:
            return True
        incarnation = self.host.peer_incarnations.get(peer)
        return incarnation is not None and not self.host.is_older(incarnation)

    def apply_update(self, peer: int, update: AccountUpdate) -> None:
        """Begin an account's demand where it balances with that of a neighbour that went on."""
        account = self.host.account(
            update.customer, update.plan_index, update.first_gateway, update.member_count
        )
        ledger = account.ledgers.get(peer)
        if ledger is None or ledger.last_round or account.has_peer_level or update.share <= 0:
            return
        if not self.host.is_older(self.host.peer_incarnations[peer]):
            return
        restored = account.base_share() - (ledger.received_share + update.received_share) / SHARE_STEPS
        share = max(0.0, min(1.0, restored))
        account.demand = max(account.demand, min(account.plan.rate, update.demand * share / update.share))

    def ledger_after_peer_restart(self, ledger: PeerLedger) -> PeerLedger:
        """What is left of a ledger whose other end started anew: its totals."""
        return PeerLedger(ledger.received_share, ledger.received_units, has_peer_totals=True)

    def accounts_to_report(self, peer: int) -> list[tuple[int, Account]]:
        """The accounts, by customer, whose totals go to a neighbour that started anew, largest first."""
        accounts = [
            (customer, account)
            for customer, account in self.host.accounts.items()
            if _has_totals(account.ledgers.get(peer))
        ]
        accounts.sort(key=lambda item: (-abs(item[1].ledgers[peer].received_share), item[0]))
        return accounts[:MAX_REPORTED_ACCOUNTS]


def _has_totals(ledger: PeerLedger | None) -> bool:
    """Whether anything was moved over a ledger."""
    return ledger is not None and bool(ledger.received_share or ledger.received_units)
