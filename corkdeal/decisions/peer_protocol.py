"""What a gateway and its peers send each other: incarnations, quota updates, tree totals and corrections.

Each message names its sender's incarnation. One from an earlier start of a peer is dropped and the peer is
corrected (`incarnations`). Updates of ring neighbours go to the quota exchange, whose replies are sent at
once; totals of aggregation trees are booked along the edge that they came by.
"""

from __future__ import annotations

from typing import Protocol

from . import peer_messages
from .accounts import Account, AccountTable, PeerLedger
from .actions import Action, Log, SendToPeer
from .aggregation_tree import AggregationScheduler
from .events import PeerMessage
from .extensions import MembershipView, QuotaRestoreView
from .incarnations import Greeting, Incarnations
from .quota_exchange import QuotaExchange
from .settings import Settings


class PeerHost(Protocol):
    """What the exchange of messages needs of the gateway that it belongs to."""

    now: float  # s
    actions: list[Action]  # of the present events
    membership: MembershipView | None
    quota_restore: QuotaRestoreView | None

    def account(self, customer: int, plan: int, first_gateway: int, member_count: int, /) -> Account:
        """The customer's account, which is made if there is none."""

    def refill(self, account: Account, /) -> float:
        """Bring an account's token bucket up to now; returns its quota share."""


class PeerProtocol:
    """One gateway's side of all conversations with its peers."""

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
        self.message_round = 0  # of the last message with updates

    def receive(self, event: PeerMessage) -> None:
        """Handle a peer's message; one that is malformed, foreign or stale is dropped."""
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
        """Follow a message's sender, which knows of `own_incarnation`; False if it is an earlier start."""
        known = self.incarnations.peers.get(peer, 0)
        if not self._follow(peer, incarnation):
            self._correct(peer)
            return False
        self._outlive(own_incarnation)
        self.quota_exchange.peer_last_heard[peer] = self.host.now
        if incarnation != known:
            self._report_totals(peer)
        return True

    def exchange_quotas(self) -> None:
        """Send updates to all ring neighbours; an empty message shows that this gateway runs."""
        for peer, updates in self.quota_exchange.due(self.host.now, self._may_send_updates).items():
            if updates or not self._sends_heartbeats(peer):
                self.send_updates(peer, updates)

    def send_updates(self, peer: int, updates: list[peer_messages.AccountUpdate]) -> None:
        """Send updates of the next round, in as many messages as they need, but one at least."""
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
        """Take totals of aggregation trees, unless an earlier start of the peer sent them."""
        if not self._follow(peer, message.sender_incarnation):
            self._correct(peer)
            return
        is_older_peer = self.incarnations.is_older(message.sender_incarnation)
        for totals in message.totals:
            self._apply_totals(peer, totals, is_older_peer)

    def _apply_totals(self, peer: int, totals: peer_messages.TreeTotals, is_older_peer: bool) -> None:
        """Count what was asked and spent on the other side of a tree edge."""
        account = self.host.account(
            totals.customer, totals.plan_index, totals.first_gateway, totals.member_count
        )
        edge = account.tree_edges.get(peer)
        if edge is None:
            return
        self.host.refill(account)
        asked, spent = edge.receive(totals.asked, totals.spent, is_older_peer)
        account.add_demand(asked)
        account.spend(spent)
        account.last_peer_update_at = self.host.now
        self.aggregation_scheduler.mark_pending(totals.customer, account)
        if peer == account.parent:
            account.has_parent_update = True

    def _receive_exchange(self, peer: int, message: peer_messages.ExchangeMessage) -> None:
        """Take a ring neighbour's updates and reply, if it knows of this gateway's present start."""
        if message.receiver_incarnation != self.incarnations.own:
            return
        quota_restore = self.host.quota_restore
        if quota_restore is not None:
            quota_restore.record_reply(peer)
        replies = []
        for update in message.updates:
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
        """Take a ring neighbour's update; returns the reply, if there is one."""
        account = self.host.account(
            update.customer, update.plan_index, update.first_gateway, update.member_count
        )
        is_older_peer = self.incarnations.is_older(self.incarnations.peers[peer])
        return self.quota_exchange.receive(account, peer, round_number, update, is_older_peer, self.host.now)

    def _follow(self, peer: int, incarnation: int) -> bool:
        """Follow a peer's latest incarnation, with ledgers begun anew; False for an earlier one."""
        greeting = self.incarnations.greet(peer, incarnation)
        if greeting is Greeting.NEW:
            self._restart_ledgers(peer)
        return greeting is not Greeting.STALE

    def _restart_ledgers(self, peer: int) -> None:
        """Begin anew what was booked with a peer's earlier incarnation."""
        for account in self.accounts.by_customer.values():
            if peer in account.ledgers:
                account.ledgers[peer] = self._ledger_after_restart(account.ledgers[peer])
            if peer in account.tree_edges:
                account.tree_edges[peer].last_totals = None

    def _ledger_after_restart(self, ledger: PeerLedger) -> PeerLedger:
        """What is left of a ledger whose other end started again."""
        if self.host.quota_restore is None:
            return PeerLedger()
        return self.host.quota_restore.ledger_after_peer_restart(ledger)

    def _report_totals(self, peer: int) -> None:
        """Send a peer that started again what its earlier incarnation exchanged."""
        updates = []
        if self.host.quota_restore is not None:
            for customer, account in self.host.quota_restore.accounts_to_report(peer):
                updates.append(self.quota_exchange.update_for(customer, account, peer, self.host.now))
        self.send_updates(peer, updates)

    def _correct(self, peer: int) -> None:
        """Send a peer that goes by an earlier incarnation the one that is followed."""
        if self.incarnations.may_correct(peer, self.host.now):
            self.send_updates(peer, [])

    def _outlive(self, own_incarnation: int) -> None:
        """Go on as a later incarnation if a peer knows a later one of this gateway."""
        if self.incarnations.outlive(own_incarnation):
            self.host.actions.append(
                Log(
                    "peers know a later start of this gateway, so its wall clock went back; "
                    f"it goes on as start {self.incarnations.own}"
                )
            )

    def _sends_heartbeats(self, peer: int) -> bool:
        """Whether heartbeats of the membership come from a peer, so that it needs no empty message."""
        membership = self.host.membership
        return membership is not None and membership.sends_heartbeats(peer)

    def _may_send_updates(self, peer: int) -> bool:
        """Whether a neighbour sent what it holds of an earlier incarnation, so that updates may go to it."""
        return self.host.quota_restore is None or self.host.quota_restore.may_send_updates(peer)
