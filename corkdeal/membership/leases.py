"""Which of two gateways may spend a slice when they don't hear each other.

A gateway's slice of an account is confirmed by its two ring neighbours, X: it is sure of the slice until
LEASE after it *sent* the last beat that X confirmed. X takes it, or lets the other neighbour take it (a
grant), only TAKE after X *sent* its last confirmation, and confirms nothing for TAKE after a grant. Since
LEASE is less than TAKE by more than clocks differ in that time, owner and taker never spend the same part
(docs/membership.md).

One that nobody confirms can't tell whether all others died or it was cut off. So it goes on with KEEP of its
slice, which nobody ever takes; the rest may be in use by then.
"""

from __future__ import annotations

import math

LEASE, TAKE = 2.0, 2.5  # s; MARGIN lies between: clocks' rates, and a turn's length from look to send
KEEP = 0.25  # of a slice that stays with its owner, whatever is lost
ASK_EVERY = 0.5  # s between askings for one grant; it holds for LEASE
BEATS_KEPT = LEASE + TAKE  # s that the times of own beats are known, however many replies go out


class Leases:
    """One gateway's, both as an owner and as a neighbour."""

    def __init__(self) -> None:
        self.begun = math.inf  # when this life began: what an earlier one confirmed may hold for TAKE more
        self.sent: dict[int, float] = {}  # own beats and when they were sent, the latest last
        self.until: dict[int, float] = {}  # by member: until when it won't let this gateway's slices be taken
        self.acks: dict[int, int] = {}  # by member: its last beat that was confirmed
        self.acked: dict[int, float] = {}  # and when that was first said
        self.given: dict[int, float] = {}  # by member: when another was last granted its slices
        self.grants: dict[tuple[int, int], float] = {}  # by neighbour and member: until when the grant holds
        self.heard_by: dict[int, float] = {}  # by member: when the last own beat that it heard was sent

    def beat(self, now: float, number: int) -> None:
        """A beat goes out."""
        self.begun = min(now, self.begun)
        self.sent[number] = now
        while self.sent[first := next(iter(self.sent))] < now - BEATS_KEPT:
            del self.sent[first]

    def heard(self, member: int, beat: int) -> None:
        """A member heard that beat."""
        if (at := self.sent.get(beat)) is not None:
            self.heard_by[member] = max(at, self.heard_by.get(member, at))

    def renewed(self, member: int, ack: int) -> float | None:
        """A member confirmed a beat: until when its lease lasts now, if that is later than before."""
        if (at := self.sent.get(ack)) is None:
            return None
        return at + LEASE if at + LEASE > self.until.get(member, 0.0) else None

    def may_ack(self, member: int, now: float) -> bool:
        """Whether a member that was heard may be confirmed: nobody may be using its slices, and it hears."""
        return now >= self.given.get(member, -TAKE) + TAKE and not self.deaf(member, now)

    def deaf(self, member: int, now: float) -> bool:
        """Whether it has heard nothing from here for so long that it can't be sure by this gateway."""
        return now - self.heard_by.setdefault(member, now) > TAKE

    def confirm(self, member: int, beat: int, now: float) -> None:
        """That beat of a member is confirmed for the first time; to say so again lengthens nothing."""
        self.acks[member], self.acked[member] = beat, now

    def lapsed(self, member: int, now: float) -> bool:
        """Whether a member can't be sure of its slices any more by this gateway's word."""
        return now >= self.acked.get(member, self.begun) + TAKE

    def grant(self, member: int, now: float) -> bool:
        """Let another neighbour take a member's slices, if nothing said here speaks against it."""
        if not self.lapsed(member, now):
            return False
        self.given[member] = now
        return True

    def granted(self, by: int, member: int, beat: int) -> None:
        """A neighbour granted a member's slices in answer to that beat."""
        if (at := self.sent.get(beat)) is not None:
            self.grants[by, member] = at + LEASE

    def forget(self, member: int) -> None:
        """A member started again: it knows of no grant, and has heard nothing. What it confirmed holds.

        Its new life takes nothing for TAKE after its start, which is longer than any confirmation lasts.
        """
        self.heard_by.pop(member, None)
        self.acks.pop(member, None)
        self.grants = {key: until for key, until in self.grants.items() if key[0] != member}
