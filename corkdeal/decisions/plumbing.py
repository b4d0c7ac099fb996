"""What carries events to a gateway's decisions and its actions away; nothing is decided here."""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import TYPE_CHECKING

from . import peer_messages
from .actions import Action, Log, SendToPeer, SetTimer
from .backends import BackendRecord
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
from .records import Account, PeerLedger, PendingRequest, TreeEdge
from .settings import Settings

if TYPE_CHECKING:  # imported where an earlier life's knowledge is used; without one it costs nothing
    from . import aggregation_tree, persisted_state
    from .backends import Backends
    from .extensions import AdmissionRamp, MembershipView, QuotaRestoreView
    from .latency_model import LatencyModel


CORRECT_EVERY = 0.25  # s between words to one peer about its incarnation


def later(a: int, b: int) -> bool:
    """Whether a start was after another; 32 bits of milliseconds begin anew every 49.7 days."""
    return 0 < (a - b) % (1 << 32) < 1 << 31


class GatewayState:
    """Records, deadline timers, peers' incarnations and the way from an event to its handler."""

    backends: Backends
    latency_model: LatencyModel

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random, self.now = settings, random.Random(seed), 0.0
        self.accounts: dict[int, Account] = {}
        self.requests: dict[int, PendingRequest] = {}
        self.attempts_in_flight: dict[tuple[int, int], tuple[BackendRecord, Account]] = {}  # attempts out
        self.ring_neighbours: set[int] = set()  # adjacent members of narrow rings
        self.active_accounts: dict[
            int, Account
        ] = {}  # accounts of narrow rings that may have something to tell
        self.pending_updates: dict[int, Account] = {}  # accounts of wide rings with news
        self.deferred_updates: dict[int, float] = {}  # customers whose news may be told from then on
        self.next_deferred_at = math.inf  # when the first of them may be told
        self.last_exchange_at = self.last_poll_at = 0.0
        self.older_start_margin = 0  # ms
        self.waiting_requests: list[int] = []  # requests with no server yet
        self.deadline_timers: dict[int, int] = {}
        self.last_timer_token, self.message_round, self.is_scan_scheduled, self.has_started = (
            0,
            0,
            False,
            False,
        )
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
        self.incarnation = 0  # own incarnation, ms; 0 until the first event
        self.peer_incarnations: dict[int, int] = {}
        self.peer_last_heard: dict[int, float] = {}
        self.peer_corrected_at: dict[int, float] = {}  # peers last told of a later start of theirs
        self.aggregation_scheduler: aggregation_tree.Teller | None = None  # of wide rings
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

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Take what happened at `now` and say what to do about it."""
        self.now, self.actions = now, []
        if not self.has_started:
            self.has_started, start = True, int(now * 1000) & 0xFFFFFFFF or 1
            if not self.incarnation or (not self.resumed() and later(start, self.incarnation)):
                self.incarnation = start
            self.scan()
        for event in events:
            if handler := self.handlers.get(type(event)):
                handler(event)
        if self.deferred_updates and now >= self.next_deferred_at:
            self.recall_news()
        if self.pending_updates:
            self.tell_totals(self.aggregation_scheduler.due(self))
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
            self.incarnation, self.message_round, self.peer_incarnations = (
                known.incarnation,
                known.message_round,
                dict(known.peer_incarnations),
            )
        elif known.incarnation:  # the wall clock may have been set back, and peers take no earlier start
            self.incarnation = (known.incarnation + 1) & 0xFFFFFFFF or 1

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
            self.recall_news()
            self.scan()
            if self.membership is not None:
                self.membership.step()

    def put_off(self, key: int, until: float) -> None:
        """A customer's news has to wait until then."""
        self.deferred_updates[key] = until
        self.next_deferred_at = min(self.next_deferred_at, until)

    def recall_news(self) -> None:
        """Bring back the news that had to wait."""
        ready = [key for key, at in self.deferred_updates.items() if at <= self.now]
        for key in ready:
            del self.deferred_updates[key]
            if key in self.accounts:
                self.pending_updates[key] = self.accounts[key]
        self.next_deferred_at = min(self.deferred_updates.values(), default=math.inf)

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
            replies += self.take_note(peer, message.round_number, update)
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
            self.tell(peer, [self.note(key, a, peer) for key, a in given])
        return True

    def meet(self, peer: int, born: int) -> bool:
        """Follow a peer's incarnation: after a restart both ends start over; False for an earlier one."""
        known = self.peer_incarnations.get(peer)
        if known is None or later(born, known):
            self.peer_incarnations[peer] = born
            for a in self.accounts.values():
                if peer in a.ledgers:
                    a.ledgers[peer] = (
                        PeerLedger()
                        if self.quota_restore is None
                        else self.quota_restore.ledger_after_peer_restart(a.ledgers[peer])
                    )
                if peer in a.tree_edges:
                    a.tree_edges[peer].last_totals = None
        return born == self.peer_incarnations[peer]

    def correct(self, peer: int) -> None:
        """It speaks as an earlier start than is known of it: tell which, for its clock may have gone back.

        What an earlier life sent may come late as well, and costs one bare message in CORRECT_EVERY.
        """
        if self.now - self.peer_corrected_at.get(peer, -CORRECT_EVERY) >= CORRECT_EVERY:
            self.peer_corrected_at[peer] = self.now
            self.tell(peer, [])

    def outlive(self, mine: int) -> None:
        """A peer knows a later start of this gateway: its clock was set back, and nobody would listen to it.

        It goes on as one that started after all that is known, so peers are asked what they hold.
        """
        if mine and later(mine, self.incarnation):  # 0: it knows of none
            last = mine
            for born in self.peer_incarnations.values():
                last = born if later(born, last) else last
            self.incarnation = (last + self.older_start_margin + 1) & 0xFFFFFFFF or 1
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

    def note(self, key: int, a: Account, peer: int) -> peer_messages.AccountUpdate:
        """One customer's state and running totals for one neighbour."""
        pair = a.ledgers[peer]
        pair.last_sent_at, pair.is_update_due = self.now, False
        return peer_messages.AccountUpdate(
            key,
            a.plan_index,
            a.first_gateway,
            a.member_count,
            *self.state(a),
            pair.received_share,
            pair.received_units,
        )

    def totals(self, key: int, a: Account, edge: TreeEdge) -> peer_messages.TreeTotals:
        """One customer's running totals on this side of an edge."""
        edge.sent_asked, edge.last_sent_at = a.total_asked - edge.remote_asked, self.now
        return peer_messages.TreeTotals(
            key,
            a.plan_index,
            a.first_gateway,
            a.member_count,
            edge.sent_asked,
            a.total_spent - edge.remote_spent,
        )

    def take_totals(self, peer: int, born: int, n: peer_messages.TreeTotals) -> None:
        """Take what a wide ring's neighbour tells: its side's units asked and spent."""
        a = self.account(n.customer, n.plan_index, n.first_gateway, n.member_count)
        if peer in a.tree_edges:
            self.refill(a)
            asked, spent = a.tree_edges[peer].receive(n.asked, n.spent, self.older(born))
            self.ask(a, asked)
            self.spend(a, spent)
            a.last_peer_update_at, self.pending_updates[n.customer] = self.now, a
            a.has_parent_update = a.has_parent_update or peer == a.parent

    def older(self, born: int) -> bool:
        """Whether a peer of that start knows what was spent before this gateway's time."""
        return later(self.incarnation, born + self.older_start_margin)
