"""What carries events to a gateway's decisions and its actions away; nothing is decided here."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

from . import peer_messages
from .accounts import Account, AccountTable, PeerLedger
from .actions import Action, Log, SendToPeer, SetTimer
from .aggregation_tree import AggregationScheduler
from .events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointUpdate,
    Event,
    PeerMessage,
    Request,
    StreamStarted,
    TimerExpired,
)
from .incarnations import Greeting, Incarnations
from .quota_exchange import QuotaExchange
from .records import BackendRecord, PendingRequest
from .settings import Settings

if TYPE_CHECKING:  # imported where an earlier life's knowledge is used; without one it costs nothing
    from ..membership.members import Members
    from ..recovery.admission_ramp import AfterPause, AfterStart
    from ..recovery.quota_restore import Ledgers
    from . import persisted_state


class GatewayState:
    """Records, deadline timers, peers' incarnations and the way from an event to its handler."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random, self.now = settings, random.Random(seed), 0.0
        self.backends: dict[object, BackendRecord] = {}
        self.account_table = AccountTable(settings)
        self.requests: dict[int, PendingRequest] = {}
        self.attempts_in_flight: dict[tuple[int, int], tuple[BackendRecord, Account]] = {}  # attempts out
        self.preferred_backends: list[BackendRecord] = []  # the servers it prefers
        self.usual_latencies: dict[tuple[int, int], float] = {}  # usual latency by class and size
        self.last_poll_at = 0.0
        self.waiting_requests: list[int] = []  # requests with no server yet
        self.deadline_timers: dict[int, int] = {}
        self.last_timer_token, self.message_round, self.is_scan_scheduled, self.has_started = (
            0,
            0,
            False,
            False,
        )
        self.restored_state: persisted_state.Memory | None = None  # of an earlier life
        self.changed_customers: set[int] | None = (
            None  # customers met since a keeper last looked, if there is one
        )
        self.quota_restore: Ledgers | None = None  # of taking up slices after a start, where that is on
        self.membership: Members | None = (
            None  # who is there, and whose slices may be spent, where that is on
        )
        self.admission_ramp: AfterPause | AfterStart | None = None  # the budget of the first seconds
        self.is_endpoint_list_stale = False  # the list may be old: nothing is sent by it
        self.quota_fraction = 1.0  # of this gateway's quota that is this life's, while two of them serve
        self.incarnations = Incarnations()
        self.quota_exchange = QuotaExchange(settings, self.account_table, self)
        self.aggregation_scheduler = AggregationScheduler(settings.gateway_count, settings.peer_message_rate)
        self.actions: list[Action] = []
        self.rejection_causes: Counter[str] = (
            Counter()
        )  # why requests were given up on, inside and beyond their quotas
        self.handlers = {
            EndpointUpdate: self.on_list,
            Request: self.on_request,
            AttemptEnded: self.on_outcome,
            StreamStarted: self.on_stream,
            ClientDisconnected: lambda e: self.requests.pop(e.id, None),
            TimerExpired: self.on_timer,
            PeerMessage: self.on_peer,
        }

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
            if handler := self.handlers.get(type(event)):
                handler(event)
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
            and self.restored_state.resumes()
            and (self.quota_restore is None or self.restored_state.exact)
        )

    def take_fleet(self, known: persisted_state.FleetMemory) -> None:
        """Take usual work from an earlier life, and its incarnation or, where that is over, a later one."""
        classes = {c.name: i for i, c in enumerate(self.settings.classes)}
        self.usual_latencies = {(classes[w.cls], w.size): w.seconds for w in known.work}
        if self.resumed():
            self.message_round = known.round
            self.incarnations.resume(known.born, dict(known.peers))
        else:
            self.incarnations.succeed(known.born)

    def learned(self) -> persisted_state.FleetMemory:
        """What is known of the fleet and of peers' incarnations, for a later life."""
        from . import persisted_state

        work = tuple(
            [
                persisted_state.WorkMemory(self.settings.classes[cls].name, size, seconds)
                for (cls, size), seconds in self.usual_latencies.items()
            ]
        )
        return persisted_state.FleetMemory(
            self.queueing_factor,
            self.fleet_slowness,
            self.retry_budget,
            work,
            self.settings.gateway_index,
            self.settings.gateway_count,
            self.incarnation,
            self.message_round,
            tuple(self.peer_incarnations.items()),
            self.quota_fraction,
        )

    def new_server(self, entry: Endpoint) -> BackendRecord:
        """A server that the list names for the first time, with what an earlier life knew of it."""
        server = BackendRecord(entry, first_seen_at=self.now)
        if self.restored_state and (known := self.restored_state.server(entry, self.now)):
            from . import persisted_state

            persisted_state.put_server(server, known, self.settings.classes, self.now)
        return server

    def recall_account(self, a: Account, customer: int) -> None:
        """Give an account that was just made what an earlier life knew of it."""
        if self.restored_state and (
            known := self.restored_state.account(customer, a.plan, a.first_gateway, a.member_count, self.now)
        ):
            from . import persisted_state

            persisted_state.put_account(a, known, self.resumed(), self.peer_incarnations)
            if self.quota_restore is not None and not self.resumed():
                self.quota_restore.recalled(a, known, self.restored_state.resumes())
        if self.quota_restore is not None:
            self.quota_restore.met(self, a)

    def set_deadline(self, rid: int, delay: float) -> None:
        """Have the request's last moment announced."""
        self.last_timer_token += 1
        self.deadline_timers[self.last_timer_token] = rid
        self.actions.append(SetTimer(max(0.0, delay), self.last_timer_token))

    def on_timer(self, e: TimerExpired) -> None:
        """Token 0 is the scan; any other is a request's last moment to be answered."""
        req = self.requests.get(self.deadline_timers.pop(e.token, -1))
        if req and not req.is_streaming:
            self.answer(req)
        elif not e.token:
            self.is_scan_scheduled = False
            self.aggregation_scheduler.resume_deferred(self.now, self.accounts)
            self.scan()
            if self.membership is not None:
                self.membership.step()

    def on_stream(self, e: StreamStarted) -> None:
        """A started stream belongs to the client: no deadline, no further answer.

        A long answer to a usual request is work done: however slowly it is taken, it loads no server.
        """
        server, _ = self.attempts_in_flight.get((e.id, e.attempt), (None, None))
        if server is not None:
            server.last_answer_at = self.now
        if req := self.requests.get(e.id):
            req.is_streaming = True
            if server is not None and not req.request_class.is_streaming and e.id in server.in_flight:
                server.streaming[e.id] = server.in_flight.pop(e.id)

    def on_peer(self, e: PeerMessage) -> None:
        """Hand on a peer's message; anything malformed, foreign or stale is dropped."""
        totals = peer_messages.decode_totals(e.payload, e.peer, self.settings)
        if totals is not None:
            self.on_totals(e.peer, totals)
            return
        if self.membership is not None and (beat := self.membership.unpack(e.payload, e.peer)) is not None:
            if self.greeted(e.peer, beat.born, beat.yours):
                self.membership.hear(e.peer, beat)
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
            self.quota_restore.told.add(peer)
        replies = []
        for update in message.updates:
            if self.quota_restore is not None:
                self.quota_restore.take(self, peer, update)
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
            given = self.quota_restore.given(self, peer) if self.quota_restore is not None else []
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
        for a in self.accounts.values():
            if peer in a.ledgers:
                a.ledgers[peer] = (
                    PeerLedger() if self.quota_restore is None else self.quota_restore.kept(a.ledgers[peer])
                )
            if peer in a.tree_edges:
                a.tree_edges[peer].last_totals = None

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
        if notes or self.membership is None or not self.membership.speaks(peer):
            self.tell(peer, notes)

    def tell_totals(self, due: dict[int, list[peer_messages.TreeTotals]]) -> None:
        """Notes of wide rings, by peer."""
        for peer, notes in due.items() if self.settings.may_message_peers else ():
            self.actions += [
                SendToPeer(peer, message) for message in peer_messages.encode_totals(self.incarnation, notes)
            ]

    def opens(self) -> bool:
        """Whether the budget of the first seconds, if there is one, has room for a first attempt."""
        return self.admission_ramp is None or self.admission_ramp.allows(
            self.now, len(self.attempts_in_flight)
        )

    def cleared(self, peer: int) -> bool:
        """Whether that neighbour has told what it holds of an earlier life, so that notes may go to it."""
        return self.quota_restore is None or self.quota_restore.cleared(self, peer)

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
