"""One gateway's membership: beats out and in, what is seen of the others, and what that allows it to spend.

The brain asks `part` for its own slice of an account and `lends` for its predecessor's; `step` and `hear` are
called with the time that it is. What is meant for operators stands in `said` until somebody takes it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..decisions.actions import SendToPeer
from . import messages
from .failure_detector import AWAY, GONE, SUSPECT, WHOLE, Table
from .leases import ASK_EVERY, KEEP, LEASE, TAKE, Leases
from .messages import ASK, GRANT, LEAVING, LEFT, NEWS, PROMPT, Beat, Row

if TYPE_CHECKING:
    from ..decisions.accounts import Account
    from ..decisions.gateway import Gateway

BEAT_EVERY, BEAT_MOST = 0.25, 0.6  # s between turns of beats; with the second a lease still bears two lost
BEATS = 12.0  # a second, as far as BEAT_MOST allows: with the trades under what a peer takes in
LOOK_EVERY = 0.2  # s between looks through all members: with a thousand that is work
ANYBODY = 2  # beats a turn to members drawn by chance, whatever the tier's size
MOST_PARTNERS = 14  # ring neighbours told each turn
FIRST_BEATS = 10.0  # a second of the clock, more than are sent
REPLY_EVERY = 0.25  # s between replies to one member


class Members:
    """One gateway's, for as long as it runs."""

    def __init__(self, decisions: Gateway, later: Callable[[int, int], bool]) -> None:
        self.d, self.me = decisions, decisions.settings.gateway_index
        self.table, self.leases = Table(later, decisions.settings.gateway_count), Leases()
        self.leased = 2 < decisions.settings.gateway_count <= WHOLE  # else all go on with their own
        self.number, self.beaten, self.every, self.left = 0, -math.inf, BEAT_EVERY, False
        self.looked = -math.inf
        self.trusts = False  # another life of this gateway holds the leases, and gave this one its part
        self.chance = random.Random(decisions.random.random())
        self.heard: dict[int, int] = {}  # by member: its last beat that came from itself
        self.replied: dict[int, float] = {}
        self.asked: dict[tuple[int, int], float] = {}
        self.taken: set[int] = set()  # members whose slices may be spent here, as far as this gateway goes
        self.met: set[int] = set()  # neighbours that were told of this life
        self.lapses = 0  # times that no neighbour confirmed a slice
        self.held: dict[tuple[int, ...], bool] = {}  # by an account's neighbours: whether its slice was sure
        self.said: list[dict[str, object]] = []

    # What the brain asks

    def slice(self, a: Account) -> float:
        """What this gateway may spend of an account: of its own slice, and of a silent predecessor's."""
        made, lost = a.base_share() * self.part(a), a.predecessor
        if lost in self.taken:
            told = a.ledgers[lost].peer_share
            made += self.lends(a, lost) * (1 / a.member_count if told is None else told)
        return min(1.0, made)

    def part(self, a: Account) -> float:
        """How much of its own slice this gateway may spend: all while a neighbour confirms it, else KEEP."""
        return 1.0 if self.sure(a) else KEEP

    def sure(self, a: Account) -> bool:
        """Whether nobody else spends any of the slice.

        Where no neighbour confirms it, it is so too if somebody else does and both neighbours are gone:
        whoever takes a slice hears all others, so who is in company would hear of the taker.
        """
        until, now = self.leases.until, self.d.now
        for p in a.ledgers:
            if now < until.get(p, 0.0):
                return True
        return (
            not (a.ledgers and self.leased)
            or self.trusts
            or self.old(a)
            or (
                any(now < u for u in until.values())
                and all(self.table.silence(p, now) > TAKE + LEASE or self.gone(p) for p in a.ledgers)
            )
        )

    def old(self, a: Account) -> bool:
        """Whether a neighbour speaks, but not of this: a program before it, which takes after a second."""
        return any(
            p not in self.table.members and p in self.d.peer_incarnations and not self.d.silent(p)
            for p in a.ledgers
        )

    def lends(self, a: Account, member: int) -> float:
        """Which part of its silent predecessor's slice this gateway may spend."""
        if member not in self.taken:
            return 0.0
        by = a.second_predecessor
        granted = by is None or self.gone(by) or self.table.members[member].itself
        granted = granted or self.d.now < self.leases.grants.get((by, member), 0.0)
        return 1 - KEEP if granted else 0.0

    def gone(self, member: int) -> bool:
        """Whether a member is held for gone, or said that it left."""
        m = self.table.members.get(member)
        return m is not None and m.state in (GONE, AWAY)

    # Time and messages

    def unpack(self, payload: bytes, peer: int) -> Beat | None:
        """A payload as a beat, or None for another kind of message."""
        return messages.unpack(payload, peer, self.d.settings)

    def speaks(self, member: int) -> bool:
        """Whether a member tells beats, so that no other sign of life is needed between the two."""
        return member in self.heard

    def step(self) -> None:
        """Look at everybody; beat if it is time, and at once to a neighbour that is new."""
        now, due = self.d.now, set()
        if now - self.looked >= LOOK_EVERY:
            self.looked = now
            self.table.look(now)
        if now - self.beaten >= self.every - 0.025:
            self.beaten = now
            self.take()
            self.look_at_slices()
            near = sorted(self.d.ring_neighbours)
            near = near if len(near) <= MOST_PARTNERS else self.chance.sample(near, MOST_PARTNERS)
            due = {*self.anybody(), *near, *self.company()}
            self.every = min(BEAT_MOST, max(BEAT_EVERY, len(due) / BEATS))
        due |= self.d.ring_neighbours - self.met
        self.met |= self.d.ring_neighbours
        if due and not self.left:
            self.count()
            for member in sorted(due):
                self.tell(member)
        self.report()

    def company(self) -> list[int]:
        """Whom to ask for a word each turn while no neighbour confirms anything: some that were heard."""
        if not self.d.ring_neighbours or not self.unheard():
            return []
        there = sorted(m for m in self.heard if m not in self.d.ring_neighbours and not self.gone(m))
        return self.chance.sample(there, min(ANYBODY, len(there)))

    def unheard(self) -> bool:
        """Whether no neighbour confirms anything."""
        until = self.leases.until
        return not any(self.d.now < until.get(p, 0.0) for p in self.d.ring_neighbours)

    def anybody(self) -> list[int]:
        """Some members, drawn anew each time."""
        others = [m for m in range(self.d.settings.gateway_count) if m != self.me]
        return self.chance.sample(others, min(ANYBODY, len(others)))

    def count(self) -> None:
        """The next beat's number; one is sent to all that are told in a turn.

        The first goes by the clock, so that a life that goes on as another's incarnation goes on behind it.
        """
        self.number = messages.following(self.number or int(self.d.now * FIRST_BEATS) % (messages.WRAP - 1))
        self.leases.beat(self.d.now, self.number)

    def tell(self, member: int, *rows: Row) -> None:
        """This turn's beat to a member, with what is known of the others."""
        now, ack = self.d.now, 0
        if member in self.heard and self.leases.may_ack(member, now) and not self.left:
            ack = self.heard[member]
            if ack != self.leases.acks.get(member):  # what was confirmed before may be said again
                self.give_back(member)
                self.leases.confirm(member, ack, now)
        lapsed = now >= self.leases.until.get(member, 0.0) and (
            member in self.d.ring_neighbours or self.unheard()
        )
        flags = LEAVING * self.left + PROMPT * (lapsed and bool(self.d.ring_neighbours))
        news = self.table.rows(member, messages.ROWS - len(rows), self.chance)
        beat = Beat(
            self.d.incarnation,
            self.d.peer_incarnations.get(member, 0),
            self.number,
            self.heard.get(member, 0),
            ack,
            flags,
            (*rows, *news),
        )
        if self.d.settings.may_message_peers:
            self.d.actions.append(SendToPeer(member, messages.pack(beat)))

    def hear(self, peer: int, beat: Beat) -> None:
        """A member's beat; its incarnation was looked at before."""
        now, mine = self.d.now, beat.yours == self.d.incarnation
        m = self.table.members.get(peer)
        if m is not None and m.born != beat.born:
            self.leases.forget(peer)
            self.heard.pop(peer, None)
        leaving = beat.flags & LEAVING
        self.table.heard(now, Row(LEFT if leaving else NEWS, peer, beat.born, beat.beat))
        if not self.heard.get(peer) or messages.newer(beat.beat, self.heard[peer]):
            self.heard[peer] = beat.beat
        if mine:
            self.leases.heard(peer, beat.heard)
        if mine and beat.ack and (until := self.leases.renewed(peer, beat.ack)) is not None:
            if now >= self.leases.until.get(peer, 0.0):
                self.settle(peer)  # what filled until now did so at what it was sure of
            self.leases.until[peer] = until
        replies = []
        for row in beat.rows:
            if row.kind in (NEWS, LEFT):
                if row.member != self.me:
                    self.table.news(now, row)
            elif not mine or row.member == self.me:
                continue
            elif row.kind == ASK and self.leases.grant(row.member, now):
                replies.append(Row(GRANT, row.member, row.born, row.beat))
            elif row.kind == GRANT:
                self.leases.granted(peer, row.member, row.beat)
        asked = replies or any(r.kind == ASK for r in beat.rows)
        prompt = beat.flags & PROMPT and now - self.replied.get(peer, -REPLY_EVERY) >= REPLY_EVERY
        if (asked or prompt) and not leaving:
            self.replied[peer] = now
            self.count()
            self.tell(peer, *replies)

    def leave(self) -> None:
        """This gateway ends and spends nothing more: all neighbours are told, twice, and some others."""
        self.left = True
        some = sorted({*self.d.ring_neighbours, *self.anybody()})
        for _ in range(2):
            self.count()
            for member in some:
                self.tell(member)

    def woke(self, gap: float) -> None:
        """This process stood still: nobody is accused for that time, and nothing is taken any more."""
        self.table.woke(self.d.now)
        for member in list(self.leases.heard_by):
            self.leases.heard_by[member] += gap
        self.taken.clear()
        self.beaten = -math.inf  # all are told at once that it is there

    # Slices

    def take(self) -> None:
        """Take over from members that nobody hears, and ask those for leave who could have confirmed them."""
        now, wanted = self.d.now, set()
        lost = {a.predecessor for a in self.d.active_accounts.values() if a.predecessor is not None}
        free = {member for member in lost if self.free(member)}
        for member in sorted(self.taken - free):
            self.give_back(member)
        for member in sorted(free - self.taken):
            self.settle(member)
            self.taken.add(member)
            self.said.append({"what": "slices_taken", "member": member})
        for a in self.d.active_accounts.values():
            if (
                a.predecessor in free
                and a.second_predecessor is not None
                and not self.gone(a.second_predecessor)
            ):
                wanted.add((a.second_predecessor, a.predecessor))
        wanted = {pair for pair in wanted if now - self.asked.get(pair, -ASK_EVERY) >= ASK_EVERY - 0.025}
        if wanted:
            self.count()
        for by, member in sorted(wanted):
            self.asked[by, member] = now
            self.tell(by, Row(ASK, member, self.table.members[member].born, self.number))

    def free(self, member: int) -> bool:
        """Whether its slices may be spent here: it left, or it alone is silent or deaf, and not sure."""
        m, now = self.table.members.get(member), self.d.now
        if m is None or not self.leased:
            return False
        if m.itself:
            return True
        unheard = self.gone(member) or (m.state != SUSPECT and self.leases.deaf(member, now))
        return unheard and self.leases.lapsed(member, now) and self.table.alone(member, now)

    def give_back(self, member: int) -> None:
        """It is about to be confirmed, or may not be alone: from here on only itself spends its slices."""
        if member in self.taken:
            self.settle(member)
            self.taken.discard(member)
            self.said.append({"what": "slices_back", "member": member})

    def settle(self, member: int) -> None:
        """Bring the buckets that a change touches up to now, at what held until now."""
        for a in self.d.accounts.values():
            if member in a.ledgers:
                self.d.refill(a)

    def look_at_slices(self) -> None:
        """Note which slices are not sure any more, for the log."""
        seen: dict[tuple[int, ...], bool] = {}
        for a in self.d.active_accounts.values():
            key = tuple(a.ledgers)
            if key and key not in seen:
                seen[key] = self.sure(a)
                if seen[key] != self.held.get(key, seen[key]):
                    self.lapses += not seen[key]
                    self.said.append(
                        {
                            "what": "slices_sure" if seen[key] else "slices_unsure",
                            "neighbours": ",".join(map(str, key)),
                        }
                    )
        self.held.update(seen)

    def report(self) -> None:
        """What is seen otherwise, for the log."""
        for c in self.table.changes:
            self.said.append(
                {"what": "member", "member": c.member, "state": c.state, "before": c.before, "why": c.why}
            )
        self.table.changes.clear()

    def figures(self) -> dict[str, int]:
        """How the tier is seen now."""
        states = [m.state for m in self.table.members.values()]
        return {
            "now_members": len(states),
            "now_suspect": states.count(SUSPECT),
            "now_gone": states.count(GONE),
            "now_taken": len(self.taken),
            "lapses": self.lapses,
        }
