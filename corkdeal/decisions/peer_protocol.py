"""The messages between a gateway and its peers: incarnations, quota updates, tree totals and corrections.

Each message carries its sender's incarnation. A message from an earlier incarnation of a peer is dropped and
the peer is corrected (`incarnations`). Updates from ring neighbours go to the quota exchange, and its replies
are sent at once; totals of aggregation trees are recorded on the tree edge to their sender.
"""

from __future__ import annotations

from typing import Protocol

from . import peer_messages
from .accounts import Account, AccountTable, PeerLedger
from .actions import Action, Log, SendToPeer
from .aggregation_tree import AggregationScheduler
from .events import PeerMessage
from .extensions import MembershipView, QuotaRestoreView
from .incarnations import Incarnations, IncarnationStatus
from .quota_exchange import QuotaExchange
from .settings import Settings


class PeerHost(Protocol):
    """What the peer protocol needs of its gateway."""

    now: float  # s
    actions: list[Action]  # in response to the events being handled
    membership: MembershipView | None
    quota_restore: QuotaRestoreView | None

    def account(self, customer: int, plan: int, first_gateway: int, member_count: int, /) -> Account:
        """Return the customer's account, created if missing."""

    def has_room_for(self, customer: int, /) -> bool:
        """Return whether the customer has an account, or may get one."""

    def refill(self, account: Account, /) -> float:
        """Advance an account's token bucket to the present time; returns its quota share."""


class PeerProtocol:
    """One gateway's side of the protocol with all its peers."""

    def __init__(
        self,
        settings: Settings,
        host: PeerHost,
        accounts: AccountTable,
        quota_exchange: QuotaExchange,
        aggregation_scheduler: AggregationScheduler,
    ) -> None:
        self.settings = settings
        self.host = host
        self.accounts = accounts
        self.quota_exchange = quota_exchange
        self.aggregation_scheduler = aggregation_scheduler
        self.incarnations = Incarnations()
        self.message_round = 0  # round number of the last updates sent

    def receive(self, event: PeerMessage) -> None:
        """Handle a message; drop it if malformed, from a non-peer or from an earlier incarnation."""
        totals = peer_messages.decode_totals(event.payload, event.peer, self.settings)
        if totals is not None:
            self._receive_totals(event.peer, totals)
            return
        membership = self.host.membership
        if membership is not None and membership.receive_payload(event.payload, event.peer, self.accept):
            return
        message = peer_messages.decode_exchange(event.payload, event.peer, self.settings)
        if message is None:
            return
        if self.accept(event.peer, message.sender_incarnation, message.receiver_incarnation):
            self._receive_exchange(event.peer, message)

    def accept(self, peer: int, incarnation: int, own_incarnation: int) -> bool:
        """Process the incarnations in the header of a message.

        `own_incarnation` is the incarnation of this gateway that the sender knows. Returns False for messages
        from an earlier incarnation of the sender.
        """
        known = self.incarnations.peers.get(peer, 0)
        if not self._update_incarnation(peer, incarnation):
            self._send_correction(peer)
            return False
        self._advance_incarnation(own_incarnation)
        self.quota_exchange.peer_last_received_at[peer] = self.host.now
        if incarnation != known:
            self._report_totals(peer)
        return True

    def exchange_quotas(self) -> None:
        """Send updates to all ring neighbours; an empty message shows that this gateway is running."""
        for peer, updates in self.quota_exchange.due(self.host.now, self._may_send_updates).items():
            if updates or not self._sends_heartbeats(peer):
                self.send_updates(peer, updates)

    def send_updates(self, peer: int, updates: list[peer_messages.AccountUpdate]) -> None:
        """Send updates as the next round, in as many messages as needed but at least one."""
        self.message_round += 1
        if not self.settings.may_message_peers:
            return
        payloads = peer_messages.encode_exchange(
            self.incarnations.own, self.incarnations.peers.get(peer, 0), self.message_round, updates
        )
        self.host.actions += [SendToPeer(peer, payload) for payload in payloads]

    def send_totals(self, due: dict[int, list[peer_messages.TreeTotals]]) -> None:
        """Send totals of aggregation trees, by peer."""
        if not self.settings.may_message_peers:
            return
        for peer, totals in due.items():
            payloads = peer_messages.encode_totals(self.incarnations.own, totals)
            self.host.actions += [SendToPeer(peer, payload) for payload in payloads]

    def _receive_totals(self, peer: int, message: peer_messages.TotalsMessage) -> None:
        """Apply totals of aggregation trees, unless an earlier incarnation of the peer sent them."""
        if not self._update_incarnation(peer, message.sender_incarnation):
            self._send_correction(peer)
            return
        peer_predates_start = self.incarnations.predates_start(message.sender_incarnation)
        for totals in message.totals:
            self._apply_totals(peer, totals, peer_predates_start)

    def _apply_totals(self, peer: int, totals: peer_messages.TreeTotals, peer_predates_start: bool) -> None:
        """Apply the units requested and spent on the far side of a tree edge; without room they are lost."""
        if not self.host.has_room_for(totals.customer):
            return
        account = self.host.account(
            totals.customer, totals.plan_index, totals.first_gateway, totals.member_count
        )
        edge = account.tree_edges.get(peer)
        if edge is None:
            return
        self.host.refill(account)
        requested, spent = edge.receive(totals.requested, totals.spent, peer_predates_start)
        account.add_demand(requested)
        account.spend(spent)
        account.last_peer_update_at = self.host.now
        self.aggregation_scheduler.mark_pending(totals.customer, account)
        if peer == account.parent:
            account.has_parent_update = True

    def _receive_exchange(self, peer: int, message: peer_messages.ExchangeMessage) -> None:
        """Apply a ring neighbour's updates and reply, if it knows this gateway's present incarnation."""
        if message.receiver_incarnation != self.incarnations.own:
            return
        quota_restore = self.host.quota_restore
        if quota_restore is not None:
            quota_restore.record_peer_message(peer)
        replies = []
        for update in message.updates:
            if not self.host.has_room_for(update.customer):
                continue  # as if it was lost; the next one holds the same running totals
            if quota_restore is not None:
                quota_restore.apply_update(peer, update)
            reply = self.receive_update(peer, message.round_number, update)
            if reply is not None:
                replies.append(reply)
        if replies:
            self.send_updates(peer, replies)

    def receive_update(
        self, peer: int, round_number: int, update: peer_messages.AccountUpdate
    ) -> peer_messages.AccountUpdate | None:
        """Apply a ring neighbour's update; returns the reply, if any."""
        account = self.host.account(
            update.customer, update.plan_index, update.first_gateway, update.member_count
        )
        peer_predates_start = self.incarnations.predates_start(self.incarnations.peers[peer])
        return self.quota_exchange.receive(
            account, peer, round_number, update, peer_predates_start, self.host.now
        )

    def _update_incarnation(self, peer: int, incarnation: int) -> bool:
        """Record a peer's incarnation, resetting its ledgers if it is new; False for an earlier one."""
        status = self.incarnations.update_peer(peer, incarnation)
        if status is IncarnationStatus.NEW:
            self._restart_ledgers(peer)
        return status is not IncarnationStatus.STALE

    def _restart_ledgers(self, peer: int) -> None:
        """Reset ledgers and tree edges kept with a peer's earlier incarnation."""
        for account in self.accounts.by_customer.values():
            if peer in account.ledgers:
                account.ledgers[peer] = self._ledger_after_restart(account.ledgers[peer])
            if peer in account.tree_edges:
                account.tree_edges[peer].last_totals = None

    def _ledger_after_restart(self, ledger: PeerLedger) -> PeerLedger:
        """Return what remains of a ledger after the peer restarted."""
        if self.host.quota_restore is None:
            return PeerLedger()
        return self.host.quota_restore.ledger_after_peer_restart(ledger)

    def _report_totals(self, peer: int) -> None:
        """Send a restarted peer the totals that its earlier incarnation exchanged."""
        updates = []
        if self.host.quota_restore is not None:
            for customer, account in self.host.quota_restore.accounts_to_report(peer):
                updates.append(self.quota_exchange.update_for(customer, account, peer, self.host.now))
        self.send_updates(peer, updates)

    def _send_correction(self, peer: int) -> None:
        """Send a peer that uses an earlier incarnation the latest known one."""
        if self.incarnations.may_correct(peer, self.host.now):
            self.send_updates(peer, [])

    def _advance_incarnation(self, own_incarnation: int) -> None:
        """Switch to a later incarnation if a peer knows a later one of this gateway."""
        if self.incarnations.advance_past(own_incarnation):
            self.host.actions.append(
                Log(
                    "peers know a later start of this gateway, so its wall clock was set back; "
                    f"continuing as incarnation {self.incarnations.own}"
                )
            )

    def _sends_heartbeats(self, peer: int) -> bool:
        """Return whether a peer exchanges membership heartbeats, which replace empty messages to it."""
        membership = self.host.membership
        return membership is not None and membership.sends_heartbeats(peer)

    def _may_send_updates(self, peer: int) -> bool:
        """Return whether updates may be sent to a neighbour without overwriting the totals that it holds."""
        return self.host.quota_restore is None or self.host.quota_restore.may_send_updates(peer)
