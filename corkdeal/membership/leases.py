"""Leases on quota shares: which of two gateways may spend a share when they do not receive each other.

A gateway's share of an account is leased to it by its two ring neighbours. It holds neighbour X's lease until
LEASE_TIME after it *sent* the last heartbeat that X renewed. X takes the share over, or grants the other
neighbour leave to, only TAKEOVER_TIME after X *sent* its last renewal, and renews nothing for TAKEOVER_TIME
after a grant. Since LEASE_TIME is less than TAKEOVER_TIME by more than clocks drift in that time, owner and
taker never spend the same part (docs/membership.md).

A gateway whose lease nobody renews can't tell whether all others died or it was partitioned. It goes on with
KEPT_FRACTION of its share, which nobody ever takes over; the rest may be in use by then.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

LEASE_TIME = 2.0  # s
TAKEOVER_TIME = 2.5  # s; the difference covers clock drift and the length of a turn from decision to send
KEPT_FRACTION = 0.25  # of a share that stays with its owner in every case
SENT_HISTORY_TIME = LEASE_TIME + TAKEOVER_TIME  # s for which send times are kept, however many replies go out


@dataclass(frozen=True, order=True, slots=True)
class TakeoverRequest:
    """A request to a ring neighbour of a member for leave to take that member's share over."""

    neighbour: int
    member: int


@dataclass(slots=True)
class Leases:
    """The leases that one gateway holds, renews and grants; all times are in seconds."""

    started_at: float = math.inf  # renewals by an earlier incarnation may last for TAKEOVER_TIME from then
    sent_at: dict[int, float] = field(default_factory=dict)  # by own sequence number, the latest last
    held_until: dict[int, float] = field(default_factory=dict)  # by neighbour: end of the lease from it
    renewed_sequences: dict[int, int] = field(default_factory=dict)  # by member: its last renewed heartbeat
    renewed_at: dict[int, float] = field(default_factory=dict)  # by member: when that was first sent
    granted_at: dict[int, float] = field(
        default_factory=dict
    )  # by member: last grant of its share to another
    grants: dict[TakeoverRequest, float] = field(default_factory=dict)  # end of each grant received
    received_by: dict[int, float] = field(
        default_factory=dict
    )  # by member: send time of the last it received

    def record_sent(self, now: float, sequence: int) -> None:
        """A heartbeat of this gateway is sent."""
        self.started_at = min(now, self.started_at)
        self.sent_at[sequence] = now
        oldest = next(iter(self.sent_at))
        while self.sent_at[oldest] < now - SENT_HISTORY_TIME:
            del self.sent_at[oldest]
            oldest = next(iter(self.sent_at))

    def record_received_by(self, member: int, sequence: int) -> None:
        """A member received this gateway's heartbeat of that number."""
        sent_at = self.sent_at.get(sequence)
        if sent_at is not None:
            self.received_by[member] = max(sent_at, self.received_by.get(member, sent_at))

    def renewed_until(self, neighbour: int, sequence: int) -> float | None:
        """The end of the lease that a neighbour renewed, or None if that is no later than the present one."""
        sent_at = self.sent_at.get(sequence)
        if sent_at is None:
            return None
        end = sent_at + LEASE_TIME
        return end if end > self.held_until.get(neighbour, 0.0) else None

    def is_held(self, neighbour: int, now: float) -> bool:
        """Whether a neighbour's lease on this gateway's shares lasts."""
        return now < self.held_until.get(neighbour, 0.0)

    def may_renew(self, member: int, now: float) -> bool:
        """Whether to renew a member's lease: nobody may be using its shares, and it receives heartbeats."""
        is_free = now >= self.granted_at.get(member, -TAKEOVER_TIME) + TAKEOVER_TIME
        return is_free and not self.is_deaf(member, now)

    def is_deaf(self, member: int, now: float) -> bool:
        """Whether a member received nothing for so long that it can hold no lease from this gateway."""
        return now - self.received_by.setdefault(member, now) > TAKEOVER_TIME

    def record_renewal(self, member: int, sequence: int, now: float) -> None:
        """A member's lease is renewed for the first time by that heartbeat; repeating it prolongs nothing."""
        self.renewed_sequences[member] = sequence
        self.renewed_at[member] = now

    def has_lapsed(self, member: int, now: float) -> bool:
        """Whether a member can't hold a lease from this gateway any more."""
        return now >= self.renewed_at.get(member, self.started_at) + TAKEOVER_TIME

    def try_grant(self, member: int, now: float) -> bool:
        """Grant another neighbour leave to take a member's share over, if the member's lease has lapsed."""
        if not self.has_lapsed(member, now):
            return False
        self.granted_at[member] = now
        return True

    def record_grant(self, request: TakeoverRequest, sequence: int) -> None:
        """A request was granted in answer to the heartbeat of that number."""
        sent_at = self.sent_at.get(sequence)
        if sent_at is not None:
            self.grants[request] = sent_at + LEASE_TIME

    def is_granted(self, request: TakeoverRequest, now: float) -> bool:
        """Whether a grant of that request lasts."""
        return now < self.grants.get(request, 0.0)

    def resume(self, stall_time: float) -> None:
        """This process was stalled for so many seconds, in which members had nothing to receive."""
        for member in self.received_by:
            self.received_by[member] += stall_time

    def restart(self, member: int) -> None:
        """A member started again: its grants are void and it received nothing. What it renewed stays.

        Its new incarnation takes nothing over for TAKEOVER_TIME, which is longer than any lease lasts.
        """
        self.received_by.pop(member, None)
        self.renewed_sequences.pop(member, None)
        self.grants = {request: end for request, end in self.grants.items() if request.neighbour != member}
