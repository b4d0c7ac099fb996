"""What carries events to a gateway's decisions and its actions away; nothing is decided here."""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import TYPE_CHECKING

from . import peer_messages
from .actions import Action, Log, SendToPeer, SetTimer
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
from .records import Account, Edge, Pair, Pending, Server
from .settings import Settings

if TYPE_CHECKING:  # imported where an earlier life's knowledge is used; without one it costs nothing
    from ..membership.members import Members
    from ..recovery.admission_ramp import AfterPause, AfterStart
    from ..recovery.quota_restore import Ledgers
    from . import aggregation_tree, persisted_state


CORRECT_EVERY = 0.25  # s between words to one peer about its incarnation


def later(a: int, b: int) -> bool:
    """Whether a start was after another; 32 bits of milliseconds begin anew every 49.7 days."""
    return 0 < (a - b) % (1 << 32) < 1 << 31


class Plumbing:
    """Records, deadline timers, peers' incarnations and the way from an event to its handler."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.s, self.rng, self.now = settings, random.Random(seed), 0.0
        self.servers: dict[object, Server] = {}
        self.accounts: dict[int, Account] = {}
        self.requests: dict[int, Pending] = {}
        self.sent: dict[tuple[int, int], tuple[Server, Account]] = {}  # attempts out
        self.mine: list[Server] = []  # the servers it prefers
        self.neighbours: set[int] = set()  # adjacent members of narrow rings
        self.lively: dict[int, Account] = {}  # accounts of narrow rings that may have something to tell
        self.untold: dict[int, Account] = {}  # accounts of wide rings with news
        self.work: dict[tuple[int, int], float] = {}  # usual latency by class and size
        self.later: dict[int, float] = {}  # customers whose news may be told from then on
        self.later_at = math.inf  # when the first of them may be told
        self.traded_at = self.asked_list = 0.0
        self.older_by = 0  # ms
        self.held: list[int] = []  # requests with no server yet
        self.timers: dict[int, int] = {}
        self.token, self.round, self.ticking, self.begun = 0, 0, False, False
        self.earlier: persisted_state.Memory | None = None  # of an earlier life
        self.touched: set[int] | None = None  # customers met since a keeper last looked, if there is one
        self.ledgers: Ledgers | None = None  # of taking up slices after a start, where that is on
        self.members: Members | None = None  # who is there, and whose slices may be spent, where that is on
        self.opening: AfterPause | AfterStart | None = None  # the budget of the first seconds
        self.blind = False  # the list may be old: nothing is sent by it
        self.part = 1.0  # of this gateway's quota that is this life's, while two of them serve
        self.born = 0  # own incarnation, ms; 0 until the first event
        self.peer_born: dict[int, int] = {}
        self.peer_heard: dict[int, float] = {}
        self.corrected: dict[int, float] = {}  # peers last told of a later start of theirs
        self.teller: aggregation_tree.Teller | None = None  # of wide rings
        self.out: list[Action] = []
        self.causes: Counter[str] = Counter()  # why requests were given up on, inside and beyond their quotas
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
        self.now, self.out = now, []
        if not self.begun:
            self.begun, start = True, int(now * 1000) & 0xFFFFFFFF or 1
            if not self.born or (not self.resumed() and later(start, self.born)):
                self.born = start
            self.scan()
        for event in events:
            if handler := self.handlers.get(type(event)):
                handler(event)
        if self.later and now >= self.later_at:
            self.recall_news()
        if self.untold:
            self.tell_totals(self.teller.due(self))
        wait = None if self.ticking else self.next_scan()
        if wait is not None:
            self.ticking = True
            self.out.append(SetTimer(wait, 0))
        return self.out

    def resumed(self) -> bool:
        """Whether it goes on as an earlier incarnation, with that one's ledgers.

        What was stored may be an older copy, so where neighbours are asked it never does on a store's word.
        """
        return (
            self.earlier is not None
            and self.earlier.resumes()
            and (self.ledgers is None or self.earlier.exact)
        )

    def take_fleet(self, known: persisted_state.FleetMemory) -> None:
        """Take usual work from an earlier life, and its incarnation or, where that is over, a later one."""
        classes = {c.name: i for i, c in enumerate(self.s.classes)}
        self.work = {(classes[w.cls], w.size): w.seconds for w in known.work}
        if self.resumed():
            self.born, self.round, self.peer_born = known.born, known.round, dict(known.peers)
        elif known.born:  # the wall clock may have been set back, and peers take no earlier start
            self.born = (known.born + 1) & 0xFFFFFFFF or 1

    def learned(self) -> persisted_state.FleetMemory:
        """What is known of the fleet and of peers' incarnations, for a later life."""
        from . import persisted_state

        work = tuple(
            [
                persisted_state.WorkMemory(self.s.classes[cls].name, size, seconds)
                for (cls, size), seconds in self.work.items()
            ]
        )
        return persisted_state.FleetMemory(
            self.pace,
            self.slow,
            self.retries_left,
            work,
            self.s.gateway_index,
            self.s.gateway_count,
            self.born,
            self.round,
            tuple(self.peer_born.items()),
            self.part,
        )

    def new_server(self, entry: Endpoint) -> Server:
        """A server that the list names for the first time, with what an earlier life knew of it."""
        server = Server(entry, met_at=self.now)
        if self.earlier and (known := self.earlier.server(entry, self.now)):
            from . import persisted_state

            persisted_state.put_server(server, known, self.s.classes, self.now)
        return server

    def recall_account(self, a: Account, customer: int) -> None:
        """Give an account that was just made what an earlier life knew of it."""
        if self.earlier and (known := self.earlier.account(customer, a.plan, a.first, a.spread, self.now)):
            from . import persisted_state

            persisted_state.put_account(a, known, self.resumed(), self.peer_born)
            if self.ledgers is not None and not self.resumed():
                self.ledgers.recalled(a, known, self.earlier.resumes())
        if self.ledgers is not None:
            self.ledgers.met(self, a)

    def set_deadline(self, rid: int, delay: float) -> None:
        """Have the request's last moment announced."""
        self.token += 1
        self.timers[self.token] = rid
        self.out.append(SetTimer(max(0.0, delay), self.token))

    def on_timer(self, e: TimerExpired) -> None:
        """Token 0 is the scan; any other is a request's last moment to be answered."""
        req = self.requests.get(self.timers.pop(e.token, -1))
        if req and not req.streaming:
            self.answer(req)
        elif not e.token:
            self.ticking = False
            self.recall_news()
            self.scan()
            if self.members is not None:
                self.members.step()

    def put_off(self, key: int, until: float) -> None:
        """A customer's news has to wait until then."""
        self.later[key] = until
        self.later_at = min(self.later_at, until)

    def recall_news(self) -> None:
        """Bring back the news that had to wait."""
        ready = [key for key, at in self.later.items() if at <= self.now]
        for key in ready:
            del self.later[key]
            if key in self.accounts:
                self.untold[key] = self.accounts[key]
        self.later_at = min(self.later.values(), default=math.inf)

    def on_stream(self, e: StreamStarted) -> None:
        """A started stream belongs to the client: no deadline, no further answer.

        A long answer to a usual request is work done: however slowly it is taken, it loads no server.
        """
        server, _ = self.sent.get((e.id, e.attempt), (None, None))
        if server is not None:
            server.answered_at = self.now
        if req := self.requests.get(e.id):
            req.streaming = True
            if server is not None and not req.cls.is_streaming and e.id in server.out:
                server.giving[e.id] = server.out.pop(e.id)

    def on_peer(self, e: PeerMessage) -> None:
        """Hand on a neighbour's notes; anything malformed, foreign or stale is dropped."""
        if totals := peer_messages.unpack_totals(e.payload, e.peer, self.s):
            born, notes = totals
            if not self.meet(e.peer, born):
                return self.correct(e.peer)
            for note in notes:
                self.take_totals(e.peer, born, note)
            return
        if self.members is not None and (beat := self.members.unpack(e.payload, e.peer)) is not None:
            return self.members.hear(e.peer, beat) if self.greeted(e.peer, beat.born, beat.yours) else None
        message = peer_messages.unpack(e.payload, e.peer, self.s)
        if message is None or not self.greeted(e.peer, *message[:2]):
            return
        born, mine, number, notes = message
        if self.ledgers is not None and mine == self.born:
            self.ledgers.told.add(e.peer)
        replies = []
        for note in notes if mine == self.born else []:
            if self.ledgers is not None:
                self.ledgers.take(self, e.peer, note)
            replies += self.take_note(e.peer, number, note)
        if replies:
            self.tell(e.peer, replies)

    def greeted(self, peer: int, born: int, mine: int) -> bool:
        """A peer spoke to this gateway, knowing of its start `mine`; False if by an earlier life."""
        known = self.peer_born.get(peer, 0)
        if not self.meet(peer, born):
            self.correct(peer)
            return False
        self.outlive(mine)
        self.peer_heard[peer] = self.now
        if born != known:
            given = self.ledgers.given(self, peer) if self.ledgers is not None else []
            self.tell(peer, [self.note(key, a, peer) for key, a in given])
        return True

    def meet(self, peer: int, born: int) -> bool:
        """Follow a peer's incarnation: after a restart both ends start over; False for an earlier one."""
        known = self.peer_born.get(peer)
        if known is None or later(born, known):
            self.peer_born[peer] = born
            for a in self.accounts.values():
                if peer in a.pairs:
                    a.pairs[peer] = Pair() if self.ledgers is None else self.ledgers.kept(a.pairs[peer])
                if peer in a.edges:
                    a.edges[peer].heard = None
        return born == self.peer_born[peer]

    def correct(self, peer: int) -> None:
        """It speaks as an earlier start than is known of it: tell which, for its clock may have gone back.

        What an earlier life sent may come late as well, and costs one bare message in CORRECT_EVERY.
        """
        if self.now - self.corrected.get(peer, -CORRECT_EVERY) >= CORRECT_EVERY:
            self.corrected[peer] = self.now
            self.tell(peer, [])

    def outlive(self, mine: int) -> None:
        """A peer knows a later start of this gateway: its clock was set back, and nobody would listen to it.

        It goes on as one that started after all that is known, so peers are asked what they hold.
        """
        if mine and later(mine, self.born):  # 0: it knows of none
            last = mine
            for born in self.peer_born.values():
                last = born if later(born, last) else last
            self.born = (last + self.older_by + 1) & 0xFFFFFFFF or 1
            self.out.append(
                Log(
                    "peers know a later start of this gateway, so its wall clock went back; "
                    f"it goes on as start {self.born}"
                )
            )

    def tell(self, peer: int, notes: list[peer_messages.Note]) -> None:
        """Both incarnations and a round, then the notes, in as many messages as they need."""
        self.round += 1
        if self.s.may_message_peers:
            messages = peer_messages.pack(self.born, self.peer_born.get(peer, 0), self.round, notes)
            self.out += [SendToPeer(peer, message) for message in messages]

    def greet(self, peer: int, notes: list[peer_messages.Note]) -> None:
        """Tell a neighbour; where there is nothing to tell and it hears this one's beats, that is enough."""
        if notes or self.members is None or not self.members.speaks(peer):
            self.tell(peer, notes)

    def tell_totals(self, due: dict[int, list[peer_messages.Totals]]) -> None:
        """Notes of wide rings, by peer."""
        for peer, notes in due.items() if self.s.may_message_peers else ():
            self.out += [SendToPeer(peer, message) for message in peer_messages.pack_totals(self.born, notes)]

    def opens(self) -> bool:
        """Whether the budget of the first seconds, if there is one, has room for a first attempt."""
        return self.opening is None or self.opening.allows(self.now, len(self.sent))

    def cleared(self, peer: int) -> bool:
        """Whether that neighbour has told what it holds of an earlier life, so that notes may go to it."""
        return self.ledgers is None or self.ledgers.cleared(self, peer)

    def note(self, key: int, a: Account, peer: int) -> peer_messages.Note:
        """One customer's state and running totals for one neighbour."""
        pair = a.pairs[peer]
        pair.sent_at, pair.due = self.now, False
        return peer_messages.Note(
            key, a.plan_number, a.first, a.spread, *self.state(a), pair.slice, pair.units
        )

    def totals(self, key: int, a: Account, edge: Edge) -> peer_messages.Totals:
        """One customer's running totals on this side of an edge."""
        edge.told, edge.told_at = a.asked - edge.asked, self.now
        return peer_messages.Totals(key, a.plan_number, a.first, a.spread, edge.told, a.spent - edge.spent)

    def take_totals(self, peer: int, born: int, n: peer_messages.Totals) -> None:
        """Take what a wide ring's neighbour tells: its side's units asked and spent."""
        a = self.account(n.customer, n.plan, n.first, n.spread)
        if peer in a.edges:
            self.refill(a)
            asked, spent = a.edges[peer].hear(n.asked, n.spent, self.older(born))
            self.ask(a, asked)
            self.spend(a, spent)
            a.told_at, self.untold[n.customer] = self.now, a
            a.from_above = a.from_above or peer == a.upward

    def older(self, born: int) -> bool:
        """Whether a peer of that start knows what was spent before this gateway's time."""
        return later(self.born, born + self.older_by)
