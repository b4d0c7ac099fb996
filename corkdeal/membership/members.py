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
from .failure_detector import MAX_FULL_GOSSIP_SIZE, FailureDetector, MemberState
from .leases import KEPT_FRACTION, LEASE_TIME, TAKEOVER_TIME, Leases, TakeoverRequest
from .messages import GossipEntry, GossipKind, Heartbeat, HeartbeatFlag

if TYPE_CHECKING:
    from ..decisions.gateway import Gateway
    from ..decisions.records import Account

BEAT_EVERY, BEAT_MOST = 0.25, 0.6  # s between turns of beats; with the second a lease still bears two lost
BEATS = 12.0  # a second, as far as BEAT_MOST allows: with the trades under what a peer takes in
LOOK_EVERY = 0.2  # s between looks through all members: with a thousand that is work
ASK_EVERY = 0.5  # s between requests for one grant; it holds for LEASE_TIME
ANYBODY = 2  # beats a turn to members drawn by chance, whatever the tier's size
MOST_PARTNERS = 14  # ring neighbours told each turn
FIRST_BEATS = 10.0  # a second of the clock, more than are sent
REPLY_EVERY = 0.25  # s between replies to one member


class Members:
    """One gateway's, for as long as it runs."""

    def __init__(self, decisions: Gateway, later: Callable[[int, int], bool]) -> None:
        self.d, self.me = decisions, decisions.settings.gateway_index
        self.detector, self.leases = FailureDetector(later, decisions.settings.gateway_count), Leases()
        self.leased = (
            2 < decisions.settings.gateway_count <= MAX_FULL_GOSSIP_SIZE
        )  # else all go on with their own
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
        """How much of its own slice this gateway may spend: all while a neighbour leases it."""
        return 1.0 if self.sure(a) else KEPT_FRACTION

    def sure(self, a: Account) -> bool:
        """Whether nobody else spends any of the slice.

        Where no neighbour confirms it, it is so too if somebody else does and both neighbours are gone:
        whoever takes a slice hears all others, so who is in company would hear of the taker.
        """
        until, now = self.leases.held_until, self.d.now
        for p in a.ledgers:
            if now < until.get(p, 0.0):
                return True
        return (
            not (a.ledgers and self.leased)
            or self.trusts
            or self.old(a)
            or (
                any(now < u for u in until.values())
                and all(
                    self.detector.silence(p, now) > TAKEOVER_TIME + LEASE_TIME or self.gone(p)
                    for p in a.ledgers
                )
            )
        )

    def old(self, a: Account) -> bool:
        """Whether a neighbour speaks, but not of this: a program before it, which takes after a second."""
        return any(
            p not in self.detector.members and p in self.d.peer_incarnations and not self.d.silent(p)
            for p in a.ledgers
        )

    def lends(self, a: Account, member: int) -> float:
        """Which part of its silent predecessor's slice this gateway may spend."""
        if member not in self.taken:
            return 0.0
        by = a.second_predecessor
        granted = by is None or self.gone(by) or self.detector.members[member].has_announced_leave
        granted = granted or self.leases.is_granted(TakeoverRequest(by, member), self.d.now)
        return 1 - KEPT_FRACTION if granted else 0.0

    def gone(self, member: int) -> bool:
        """Whether a member is held for dead, or said that it left."""
        return self.detector.is_dead_or_left(member)

    # Time and messages

    def unpack(self, payload: bytes, peer: int) -> Heartbeat | None:
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
            self.detector.update(now)
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
        until = self.leases.held_until
        return not any(self.d.now < until.get(p, 0.0) for p in self.d.ring_neighbours)

    def anybody(self) -> list[int]:
        """Some members, drawn anew each time."""
        others = [m for m in range(self.d.settings.gateway_count) if m != self.me]
        return self.chance.sample(others, min(ANYBODY, len(others)))

    def count(self) -> None:
        """The next beat's number; one is sent to all that are told in a turn.

        The first goes by the clock, so that a life that goes on as another's incarnation goes on behind it.
        """
        self.number = messages.next_sequence(
            self.number or int(self.d.now * FIRST_BEATS) % (messages.SEQUENCE_MODULUS - 1)
        )
        self.leases.record_sent(self.d.now, self.number)

    def tell(self, member: int, *rows: GossipEntry) -> None:
        """This turn's beat to a member, with what is known of the others."""
        now, ack = self.d.now, 0
        if member in self.heard and self.leases.may_renew(member, now) and not self.left:
            ack = self.heard[member]
            if ack != self.leases.renewed_sequences.get(
                member
            ):  # what was confirmed before may be said again
                self.give_back(member)
                self.leases.record_renewal(member, ack, now)
        lapsed = now >= self.leases.held_until.get(member, 0.0) and (
            member in self.d.ring_neighbours or self.unheard()
        )
        flags = HeartbeatFlag(0)
        if self.left:
            flags |= HeartbeatFlag.LEAVING
        if lapsed and self.d.ring_neighbours:
            flags |= HeartbeatFlag.REPLY_REQUESTED
        news = self.detector.gossip(member, messages.MAX_ENTRIES - len(rows), self.chance)
        beat = Heartbeat(
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

    def hear(self, peer: int, beat: Heartbeat) -> None:
        """A member's beat; its incarnation was looked at before."""
        now, mine = self.d.now, beat.receiver_incarnation == self.d.incarnation
        m = self.detector.members.get(peer)
        if m is not None and m.incarnation != beat.incarnation:
            self.leases.restart(peer)
            self.heard.pop(peer, None)
        leaving = HeartbeatFlag.LEAVING in beat.flags
        self.detector.record_heartbeat(
            now,
            GossipEntry(
                GossipKind.LEFT if leaving else GossipKind.ALIVE_UPDATE, peer, beat.incarnation, beat.sequence
            ),
        )
        if not self.heard.get(peer) or messages.is_newer(beat.sequence, self.heard[peer]):
            self.heard[peer] = beat.sequence
        if mine:
            self.leases.record_received_by(peer, beat.received_sequence)
        if (
            mine
            and beat.renewed_sequence
            and (until := self.leases.renewed_until(peer, beat.renewed_sequence)) is not None
        ):
            if now >= self.leases.held_until.get(peer, 0.0):
                self.settle(peer)  # what filled until now did so at what it was sure of
            self.leases.held_until[peer] = until
        replies = []
        for row in beat.entries:
            if row.kind in (GossipKind.ALIVE_UPDATE, GossipKind.LEFT):
                if row.member != self.me:
                    self.detector.record_gossip(now, row)
            elif not mine or row.member == self.me:
                continue
            elif row.kind == GossipKind.LEASE_REQUEST and self.leases.try_grant(row.member, now):
                replies.append(GossipEntry(GossipKind.LEASE_GRANT, row.member, row.incarnation, row.sequence))
            elif row.kind == GossipKind.LEASE_GRANT:
                self.leases.record_grant(TakeoverRequest(peer, row.member), row.sequence)
        asked = replies or any(r.kind == GossipKind.LEASE_REQUEST for r in beat.entries)
        prompt = (
            HeartbeatFlag.REPLY_REQUESTED in beat.flags
            and now - self.replied.get(peer, -REPLY_EVERY) >= REPLY_EVERY
        )
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
        self.detector.resume(self.d.now)
        for member in list(self.leases.received_by):
            self.leases.received_by[member] += gap
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
            self.tell(
                by,
                GossipEntry(
                    GossipKind.LEASE_REQUEST, member, self.detector.members[member].incarnation, self.number
                ),
            )

    def free(self, member: int) -> bool:
        """Whether its slices may be spent here: it left, or it alone is silent or deaf, and not sure."""
        m, now = self.detector.members.get(member), self.d.now
        if m is None or not self.leased:
            return False
        if m.has_announced_leave:
            return True
        unheard = self.gone(member) or (m.state != MemberState.SUSPECT and self.leases.is_deaf(member, now))
        return unheard and self.leases.has_lapsed(member, now) and self.detector.is_silent_alone(member, now)

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
        for c in self.detector.take_changes():
            self.said.append(
                {
                    "what": "member",
                    "member": c.member,
                    "state": c.state.value,
                    "before": c.previous.value,
                    "why": c.reason,
                }
            )

    def figures(self) -> dict[str, int]:
        """How the tier is seen now."""
        states = [m.state for m in self.detector.members.values()]
        return {
            "now_members": len(states),
            "now_suspect": states.count(MemberState.SUSPECT),
            "now_gone": states.count(MemberState.DEAD),
            "now_taken": len(self.taken),
            "lapses": self.lapses,
        }
