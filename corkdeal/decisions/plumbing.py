"""What carries events to a gateway's decisions and its actions away; nothing is decided here."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

from . import peer_messages
from .accounts import Account, AccountTable, PeerLedger
from .actions import Action, Log, SendToPeer, SetTimer
from .aggregation_tree import AggregationScheduler
from .backends import BackendRecord
from .events import Endpoint, Event, PeerMessage
from .incarnations import Greeting, Incarnations
from .quota_exchange import QuotaExchange
from .records import PendingRequest
from .settings import Settings

if TYPE_CHECKING:  # persisted_state is imported at run time only where state is restored or handed over
    from . import persisted_state
    from .backends import Backends
    from .extensions import AdmissionRamp, MembershipView, QuotaRestoreView
    from .latency_model import LatencyModel
    from .retries import Retries


class GatewayState:
    """Records, deadline timers, peers' incarnations and the way from an event to its handler."""

    backends: Backends
    latency_model: LatencyModel
    retries: Retries

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random, self.now = settings, random.Random(seed), 0.0
        self.account_table = AccountTable(settings)
        self.requests: dict[int, PendingRequest] = {}
        self.attempts_in_flight: dict[tuple[int, int], tuple[BackendRecord, Account]] = {}
        self.last_poll_at = 0.0  # s
        self.waiting_requests: list[int] = []  # requests with no server yet
        self.message_round = 0
        self.is_scan_scheduled = False
        self.has_started = False
        self.restored_state: persisted_state.PersistedState | None = None  # of an earlier life
        self.changed_customers: set[int] | None = (
            None  # customers met since a keeper last looked, if there is one
        )
        self.quota_restore: QuotaRestoreView | None = (
            None  # of taking up slices after a start, where that is on
        )
        self.membership: MembershipView | None = (
            None  # who is there, and whose slices may be spent, where that is on
        )
        self.admission_ramp: AdmissionRamp | None = None  # the budget of the first seconds
        self.is_endpoint_list_stale = False  # the list may be old: nothing is sent by it
        self.quota_fraction = 1.0  # of this gateway's quota that is this life's, while two of them serve
        self.incarnations = Incarnations()
        self.quota_exchange = QuotaExchange(settings, self.account_table, self)
        self.aggregation_scheduler = AggregationScheduler(settings.gateway_count, settings.peer_message_rate)
        self.actions: list[Action] = []
        self.rejection_causes: Counter[str] = (
            Counter()
        )  # why requests were given up on, inside and beyond their quotas

    @property
    def accounts(self) -> dict[int, Account]:
        """Accounts by customer."""
        return self.account_table.by_customer

    @property
    def active_accounts(self) -> dict[int, Account]:
        """Accounts with ring neighbours that may need an exchange, by customer."""
        return self.account_table.active

    @property
    def ring_neighbours(self) -> set[int]:
        """Neighbours in the rings of all accounts."""
        return self.account_table.ring_neighbours

    @property
    def peer_last_heard(self) -> dict[int, float]:
        """When each peer was last heard, s."""
        return self.quota_exchange.peer_last_heard

    @property
    def last_exchange_at(self) -> float:
        """When ring neighbours were last sent updates, s."""
        return self.quota_exchange.last_exchange_at

    @last_exchange_at.setter
    def last_exchange_at(self, time: float) -> None:
        self.quota_exchange.last_exchange_at = time

    @property
    def incarnation(self) -> int:
        """This gateway's own incarnation, ms; 0 until the first event."""
        return self.incarnations.own

    @property
    def peer_incarnations(self) -> dict[int, int]:
        """The incarnation of each peer that is followed."""
        return self.incarnations.peers

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Take what happened at `now` and say what to do about it."""
        self.now, self.actions = now, []
        if not self.has_started:
            self.has_started = True
            if not self.incarnation or not self.resumed():
                self.incarnations.start(now)
            self.scan()
        for event in events:
            self.handle_event(event)
        scheduler = self.aggregation_scheduler
        if now >= scheduler.next_deferred_at:
            scheduler.resume_deferred(now, self.accounts)
        if scheduler.pending:
            self.tell_totals(scheduler.due(now, self))
        wait = None if self.is_scan_scheduled else self.next_scan()
        if wait is not None:
            self.is_scan_scheduled = True
            self.actions.append(SetTimer(wait, 0))
        return self.actions

    def resumed(self) -> bool:
        """Whether it goes on as an earlier incarnation, with that one's ledgers.

        What was stored may be an older copy, so where neighbours are asked it never does on a store's word.
        """
        return (
            self.restored_state is not None
            and self.restored_state.may_resume()
            and (self.quota_restore is None or self.restored_state.is_exact)
        )

    def take_fleet(self, known: persisted_state.StoredFleet) -> None:
        """Take usual work from an earlier life, and its incarnation or, where that is over, a later one."""
        classes = {c.name: i for i, c in enumerate(self.settings.classes)}
        self.latency_model.usual_latencies = {
            (classes[w.request_class], w.size): w.latency for w in known.usual_latencies
        }
        if self.resumed():
            self.message_round = known.message_round
            self.incarnations.resume(known.incarnation, dict(known.peer_incarnations))
        else:
            self.incarnations.succeed(known.incarnation)

    def learned(self) -> persisted_state.StoredFleet:
        """What is known of the fleet and of peers' incarnations, for a later life."""
        from . import persisted_state

        work = tuple(
            [
                persisted_state.StoredLatency(self.settings.classes[cls].name, size, seconds)
                for (cls, size), seconds in self.latency_model.usual_latencies.items()
            ]
        )
        return persisted_state.StoredFleet(
            self.latency_model.queueing_factor,
            self.latency_model.fleet_slowness,
            self.retries.budget,
            work,
            self.settings.gateway_index,
            self.settings.gateway_count,
            self.incarnation,
            self.message_round,
            tuple(self.peer_incarnations.items()),
            self.quota_fraction,
        )

    def new_backend(self, entry: Endpoint) -> BackendRecord:
        """The record of a backend that is new in the endpoint list, with what was restored of it."""
        server = BackendRecord(entry, first_seen_at=self.now)
        if self.restored_state and (known := self.restored_state.server(entry, self.now)):
            from . import persisted_state

            persisted_state.restore_backend(server, known, self.settings.classes, self.now)
        return server

    def recall_account(self, a: Account, customer: int) -> None:
        """Give an account that was just made what an earlier life knew of it."""
        if self.restored_state and (
            known := self.restored_state.account(customer, a.plan, a.first_gateway, a.member_count, self.now)
        ):
            from . import persisted_state

            persisted_state.restore_account(a, known, self.resumed(), self.peer_incarnations)
            if self.quota_restore is not None and not self.resumed():
                self.quota_restore.apply_stored(a, known, self.restored_state.may_resume())
        if self.quota_restore is not None:
            self.quota_restore.account_created(a)

    def handle_scan_timer(self) -> None:
        """Take up deferred updates, scan and step the membership."""
        self.is_scan_scheduled = False
        self.aggregation_scheduler.resume_deferred(self.now, self.accounts)
        self.scan()
        if self.membership is not None:
            self.membership.step()

    def on_peer(self, e: PeerMessage) -> None:
        """Hand on a peer's message; anything malformed, foreign or stale is dropped."""
        totals = peer_messages.decode_totals(e.payload, e.peer, self.settings)
        if totals is not None:
            self.on_totals(e.peer, totals)
            return
        if self.membership is not None and self.membership.receive_payload(e.payload, e.peer, self.greeted):
            return
        message = peer_messages.decode_exchange(e.payload, e.peer, self.settings)
        if message is not None and self.greeted(
            e.peer, message.sender_incarnation, message.receiver_incarnation
        ):
            self.on_exchange(e.peer, message)

    def on_totals(self, peer: int, message: peer_messages.TotalsMessage) -> None:
        """Take totals of aggregation trees, unless an earlier start of the peer sent them."""
        if not self.meet(peer, message.sender_incarnation):
            self.correct(peer)
            return
        for totals in message.totals:
            self.take_totals(peer, message.sender_incarnation, totals)

    def on_exchange(self, peer: int, message: peer_messages.ExchangeMessage) -> None:
        """Take a ring neighbour's updates and reply, if it knows of this gateway's present start."""
        if message.receiver_incarnation != self.incarnation:
            return
        if self.quota_restore is not None:
            self.quota_restore.record_reply(peer)
        replies = []
        for update in message.updates:
            if self.quota_restore is not None:
                self.quota_restore.apply_note(peer, update)
            reply = self.receive_update(peer, message.round_number, update)
            if reply is not None:
                replies.append(reply)
        if replies:
            self.tell(peer, replies)

    def greeted(self, peer: int, born: int, mine: int) -> bool:
        """A peer spoke to this gateway, knowing of its start `mine`; False if by an earlier life."""
        known = self.peer_incarnations.get(peer, 0)
        if not self.meet(peer, born):
            self.correct(peer)
            return False
        self.outlive(mine)
        self.peer_last_heard[peer] = self.now
        if born != known:
            given = self.quota_restore.accounts_to_report(peer) if self.quota_restore is not None else []
            self.tell(peer, [self.quota_exchange.update_for(key, a, peer, self.now) for key, a in given])
        return True

    def meet(self, peer: int, incarnation: int) -> bool:
        """Follow a peer's incarnation: after a restart both ends start over; False for an earlier one."""
        greeting = self.incarnations.greet(peer, incarnation)
        if greeting is Greeting.NEW:
            self.restart_ledgers(peer)
        return greeting is not Greeting.STALE

    def restart_ledgers(self, peer: int) -> None:
        """Begin anew what was booked with a peer's earlier incarnation."""
        for account in self.accounts.values():
            if peer in account.ledgers:
                account.ledgers[peer] = self.ledger_after_restart(account.ledgers[peer])
            if peer in account.tree_edges:
                account.tree_edges[peer].last_totals = None

    def ledger_after_restart(self, ledger: PeerLedger) -> PeerLedger:
        """What is left of a ledger whose other end started again."""
        if self.quota_restore is None:
            return PeerLedger()
        return self.quota_restore.ledger_after_peer_restart(ledger)

    def correct(self, peer: int) -> None:
        """Tell a peer that speaks as an earlier incarnation which one is followed."""
        if self.incarnations.may_correct(peer, self.now):
            self.tell(peer, [])

    def outlive(self, known: int) -> None:
        """Go on as a later incarnation if a peer knows a later one of this gateway."""
        if self.incarnations.outlive(known):
            self.actions.append(
                Log(
                    "peers know a later start of this gateway, so its wall clock went back; "
                    f"it goes on as start {self.incarnation}"
                )
            )

    def tell(self, peer: int, notes: list[peer_messages.AccountUpdate]) -> None:
        """Both incarnations and a round, then the notes, in as many messages as they need."""
        self.message_round += 1
        if self.settings.may_message_peers:
            messages = peer_messages.encode_exchange(
                self.incarnation, self.peer_incarnations.get(peer, 0), self.message_round, notes
            )
            self.actions += [SendToPeer(peer, message) for message in messages]

    def greet(self, peer: int, notes: list[peer_messages.AccountUpdate]) -> None:
        """Tell a neighbour; where there is nothing to tell and it hears this one's beats, that is enough."""
        if notes or self.membership is None or not self.membership.sends_heartbeats(peer):
            self.tell(peer, notes)

    def tell_totals(self, due: dict[int, list[peer_messages.TreeTotals]]) -> None:
        """Notes of wide rings, by peer."""
        for peer, notes in due.items() if self.settings.may_message_peers else ():
            self.actions += [
                SendToPeer(peer, message) for message in peer_messages.encode_totals(self.incarnation, notes)
            ]

    def opens(self) -> bool:
        """Whether the budget of the first seconds, if there is one, has room for a first attempt."""
        return self.admission_ramp is None or self.admission_ramp.try_admit(
            self.now, len(self.attempts_in_flight)
        )

    def cleared(self, peer: int) -> bool:
        """Whether that neighbour has told what it holds of an earlier life, so that notes may go to it."""
        return self.quota_restore is None or self.quota_restore.may_send_notes(peer)

    def take_totals(self, peer: int, born: int, n: peer_messages.TreeTotals) -> None:
        """Take what a wide ring's neighbour tells: its side's units asked and spent."""
        a = self.account(n.customer, n.plan_index, n.first_gateway, n.member_count)
        if peer in a.tree_edges:
            self.refill(a)
            asked, spent = a.tree_edges[peer].receive(n.asked, n.spent, self.older(born))
            a.add_demand(asked)
            a.spend(spent)
            a.last_peer_update_at = self.now
            self.aggregation_scheduler.mark_pending(n.customer, a)
            a.has_parent_update = a.has_parent_update or peer == a.parent

    def older(self, incarnation: int) -> bool:
        """Whether a peer of that incarnation knows what was spent before this gateway's time."""
        return self.incarnations.is_older(incarnation)
