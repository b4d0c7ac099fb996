"""Leases on quota shares: which of two gateways may spend a share while they receive nothing from each other.

A gateway's share of an account is leased to it by its two ring neighbours. It holds the lease from neighbour
X until LEASE_TIME after it *sent* the last heartbeat that X renewed. X takes the share over, or permits the
other neighbour to, no earlier than TAKEOVER_TIME after X *sent* its last renewal, and X renews nothing for
TAKEOVER_TIME after such a grant. LEASE_TIME is shorter than TAKEOVER_TIME by more than clocks drift in that
time, so the owner and the gateway that takes over never spend the same part (docs/membership.md).

A gateway whose lease nobody renews can't tell whether all others failed or it was partitioned. It continues
to spend KEPT_FRACTION of its share, which is never taken over; the rest may be in use elsewhere by then.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

LEASE_TIME = 2.0  # s
# s; the margin over LEASE_TIME covers clock drift and the delay between deciding and sending
TAKEOVER_TIME = 2.5
KEPT_FRACTION = 0.25  # of a quota share, which its owner may always spend
# s for which send times are kept, regardless of the number of replies sent
SENT_HISTORY_TIME = LEASE_TIME + TAKEOVER_TIME


@dataclass(frozen=True, order=True, slots=True)
class TakeoverRequest:
    """A request to a member's other ring neighbour for permission to take over that member's share."""

    neighbour: int
    member: int


@dataclass(slots=True)
class Leases:
    """The leases that one gateway holds, renews and grants; all times are in seconds."""

    # renewals by an earlier incarnation may be in force for TAKEOVER_TIME after it
    started_at: float = math.inf
    sent_at: dict[int, float] = field(default_factory=dict)  # by own sequence number, latest last
    # by neighbour: end of the lease that it renewed
    held_until: dict[int, float] = field(default_factory=dict)
    # by member: its heartbeat by which its lease was last renewed
    renewed_sequences: dict[int, int] = field(default_factory=dict)
    # by member: when that heartbeat was first renewed
    renewed_at: dict[int, float] = field(default_factory=dict)
    # by member: when its share was last granted to another gateway
    granted_at: dict[int, float] = field(default_factory=dict)
    grants: dict[TakeoverRequest, float] = field(default_factory=dict)  # end of each grant received
    # by member: send time of the last heartbeat that it acknowledged
    acknowledged_sent_at: dict[int, float] = field(default_factory=dict)

    def record_sent(self, now: float, sequence: int) -> None:
        """Record the send time of a heartbeat of this gateway, and drop send times no longer needed."""
        self.started_at = min(now, self.started_at)
        self.sent_at[sequence] = now
        oldest = next(iter(self.sent_at))
        while self.sent_at[oldest] < now - SENT_HISTORY_TIME:
            del self.sent_at[oldest]
            oldest = next(iter(self.sent_at))

    def record_acknowledgement(self, member: int, sequence: int) -> None:
        """Record that a member acknowledged this gateway's heartbeat with that sequence number."""
        sent_at = self.sent_at.get(sequence)
        if sent_at is not None:
            self.acknowledged_sent_at[member] = max(sent_at, self.acknowledged_sent_at.get(member, sent_at))

    def renewed_until(self, neighbour: int, sequence: int) -> float | None:
        """Return the end of the lease that a neighbour renewed by naming a heartbeat of this gateway.

        None if the send time of that heartbeat is unknown, or the lease already held ends no earlier.
        """
        sent_at = self.sent_at.get(sequence)
        if sent_at is None:
            return None
        end = sent_at + LEASE_TIME
        return end if end > self.held_until.get(neighbour, 0.0) else None

    def is_held(self, neighbour: int, now: float) -> bool:
        """Return whether this gateway holds a lease from a neighbour."""
        return now < self.held_until.get(neighbour, 0.0)

    def may_renew(self, member: int, now: float) -> bool:
        """Return whether a member's lease may be renewed.

        That is so if no grant of its shares to another gateway can be in force, and it receives heartbeats.
        """
        is_free = now >= self.granted_at.get(member, -TAKEOVER_TIME) + TAKEOVER_TIME
        return is_free and not self.has_stopped_receiving(member, now)

    def has_stopped_receiving(self, member: int, now: float) -> bool:
        """Return whether a member can't hold a lease from this gateway, for lack of received heartbeats.

        That is so if it acknowledged no heartbeat sent in the last TAKEOVER_TIME. Without any acknowledgement
        that time counts from the first check.
        """
        return now - self.acknowledged_sent_at.setdefault(member, now) > TAKEOVER_TIME

    def record_renewal(self, member: int, sequence: int, now: float) -> None:
        """Record the first renewal of a member's lease by that heartbeat.

        Further renewals by the same heartbeat do not prolong the lease.
        """
        self.renewed_sequences[member] = sequence
        self.renewed_at[member] = now

    def has_lapsed(self, member: int, now: float) -> bool:
        """Return whether no lease from this gateway to a member can be in force any more."""
        return now >= self.renewed_at.get(member, self.started_at) + TAKEOVER_TIME

    def try_grant(self, member: int, now: float) -> bool:
        """Permit another neighbour to take over a member's share, if the member's lease has lapsed."""
        if not self.has_lapsed(member, now):
            return False
        self.granted_at[member] = now
        return True

    def record_grant(self, request: TakeoverRequest, sequence: int) -> None:
        """Record a grant that was received in reply to the heartbeat with that sequence number."""
        sent_at = self.sent_at.get(sequence)
        if sent_at is not None:
            self.grants[request] = sent_at + LEASE_TIME

    def is_granted(self, request: TakeoverRequest, now: float) -> bool:
        """Return whether a grant of that request is in force."""
        return now < self.grants.get(request, 0.0)

    def resume(self, stall_time: float) -> None:
        """Exclude a stall of this process from the time for which members received nothing.

        This gateway sent nothing during the stall.
        """
        for member in self.acknowledged_sent_at:
            self.acknowledged_sent_at[member] += stall_time

    def record_restart(self, member: int) -> None:
        """Reset the state of a member that restarted: its grants are void, and it has received nothing yet.

        Leases that it renewed remain in force: its new incarnation takes nothing over for TAKEOVER_TIME,
        which is longer than any lease.
        """
        self.acknowledged_sent_at.pop(member, None)
        self.renewed_sequences.pop(member, None)
        self.grants = {request: end for request, end in self.grants.items() if request.neighbour != member}
