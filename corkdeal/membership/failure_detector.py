"""Failure detection: the latest heartbeat known of each member, by whichever path it came, and its state.

Members' sequence numbers are gossiped (after Van Renesse, Minsky, Hayden: A gossip-style failure detection
service, 1998), so a member is reachable as long as any chain of gossip leads here, whatever pair is
partitioned. The silence after which a member is suspected or held for dead depends on how often its updates
arrived before (as in accrual detectors). Time in which this process was stalled does not count.
"""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from .messages import MAX_ENTRIES, SEQUENCE_MODULUS, GossipEntry, GossipKind, is_newer


class MemberState(enum.StrEnum):
    """How a member is seen; the values are those of the log event `membership`."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "gone"
    LEFT = "left"


MAX_STALL = 2.0  # s that a member may be stalled without being held for dead
MIN_DEAD_SILENCE = 2.5  # s; over a lease's length
DEAD_DEVIATIONS = 4.0  # usual deviations of the interval, on top of the interval and a stall
DEAD_INTERVALS = 20.0  # usual intervals, where updates arrive by chance: e^-20 for each
SUSPECT_FRACTION = 0.5  # of the silence after which it would be held for dead
INTERVAL_WEIGHT = 0.1  # of a new interval in the average
INITIAL_INTERVAL = 0.25  # s
INITIAL_INTERVAL_PER_MEMBER = 0.01  # s, where a datagram can't list all members
MAX_FULL_GOSSIP_SIZE = MAX_ENTRIES + 1  # members of a tier of which each heartbeat lists all others
COMMON_SILENCE_TIME = 5.0  # s; silences that began within it may have one cause


@dataclass(slots=True)
class MemberRecord:
    """What is known of one incarnation of a member."""

    incarnation: int  # ms
    sequence: int
    updated_at: float  # s
    interval: float  # usual time between updates, s
    deviation: float  # usual deviation of that time, s
    state: MemberState = MemberState.ALIVE
    has_announced_leave: bool = False  # by its own heartbeat; gossip by others may be wrong
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StateChange:
    """A member's state changed."""

    member: int
    state: MemberState
    previous: MemberState
    reason: str


class FailureDetector:
    """The states of all members that were ever heard of, but for this gateway."""

    def __init__(self, is_later: Callable[[int, int], bool], size: int) -> None:
        """`is_later` tells whether an incarnation is after another; `size` is the tier's."""
        self.is_later = is_later
        self.size = size
        self.has_full_gossip = size <= MAX_FULL_GOSSIP_SIZE
        self.initial_interval = INITIAL_INTERVAL
        if not self.has_full_gossip:
            self.initial_interval = max(INITIAL_INTERVAL, INITIAL_INTERVAL_PER_MEMBER * size)
        self.members: dict[int, MemberRecord] = {}
        self.changes: list[StateChange] = []

    def record_heartbeat(self, now: float, update: GossipEntry) -> None:
        """A member's own update, which overrides gossip of a later incarnation or sequence number."""
        record = self.members.get(update.member)
        if record is not None and self._is_contradicted(record, update):
            record.incarnation = update.incarnation
            record.sequence = (update.sequence - 2) % SEQUENCE_MODULUS + 1
            self._set_state(update.member, MemberState.ALIVE, "it speaks")
        if self.record_gossip(now, update) and update.kind is GossipKind.LEFT:
            self.members[update.member].has_announced_leave = True

    def _is_contradicted(self, record: MemberRecord, update: GossipEntry) -> bool:
        """Whether a member's own update shows that gossip about it was wrong."""
        if record.has_announced_leave:
            return False
        return (
            record.incarnation != update.incarnation
            or record.state is MemberState.LEFT
            or is_newer(record.sequence, update.sequence)
        )

    def record_gossip(self, now: float, update: GossipEntry) -> bool:
        """Apply an update by whoever sent it; whether it was new."""
        record = self.members.get(update.member)
        if record is None:
            interval = self.initial_interval
            self.members[update.member] = MemberRecord(
                update.incarnation, update.sequence, now, interval, interval / 2
            )
        elif self.is_later(update.incarnation, record.incarnation):
            self.members[update.member] = MemberRecord(
                update.incarnation, update.sequence, now, record.interval, record.deviation, record.state
            )
            self._set_state(update.member, MemberState.ALIVE, "started again")
        elif self._is_outdated(record, update):
            return False
        else:
            self._refresh(record, now, update)
        if update.kind is GossipKind.LEFT:
            self._set_state(update.member, MemberState.LEFT, "it said so")
        return True

    def _is_outdated(self, record: MemberRecord, update: GossipEntry) -> bool:
        """Whether an update of no later incarnation tells nothing new."""
        return (
            update.incarnation != record.incarnation
            or record.state is MemberState.LEFT
            or not is_newer(update.sequence, record.sequence)
        )

    def _refresh(self, record: MemberRecord, now: float, update: GossipEntry) -> None:
        """A later heartbeat of the same incarnation."""
        if record.state is MemberState.ALIVE:  # a silence that raised suspicion is no usual interval
            difference = now - record.updated_at - record.interval
            record.interval += INTERVAL_WEIGHT * difference
            record.deviation += INTERVAL_WEIGHT * (abs(difference) - record.deviation)
        record.sequence = update.sequence
        record.updated_at = now
        self._set_state(update.member, MemberState.ALIVE, "news of it again")

    def _set_state(self, member: int, state: MemberState, reason: str) -> None:
        """Change a member's state and keep the change for the events."""
        record = self.members[member]
        if record.state is not state:
            self.changes.append(StateChange(member, state, record.state, reason))
            record.state = state
        record.reason = reason

    def take_changes(self) -> list[StateChange]:
        """The changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def silence(self, member: int, now: float) -> float:
        """Seconds without an update of a member; infinite for an unknown one."""
        record = self.members.get(member)
        return math.inf if record is None else now - record.updated_at

    def is_dead_or_left(self, member: int) -> bool:
        """Whether a member is held for dead or has left."""
        record = self.members.get(member)
        return record is not None and record.state in (MemberState.DEAD, MemberState.LEFT)

    def update(self, now: float) -> None:
        """Suspect members, and hold them for dead, by the length of their silence."""
        for member, record in self.members.items():
            silence = now - record.updated_at
            limit = self._dead_after(record)
            if record.state is MemberState.ALIVE and silence > SUSPECT_FRACTION * limit:
                self._set_state(member, MemberState.SUSPECT, f"no news for {silence:.2f} s")
            if record.state is MemberState.SUSPECT and silence > limit:
                reason = f"no news for {silence:.2f} s, usually {record.interval:.2f} s"
                self._set_state(member, MemberState.DEAD, reason)

    def _dead_after(self, record: MemberRecord) -> float:
        """The silence after which a member is held for dead, in seconds."""
        if self.has_full_gossip:
            limit = MAX_STALL + record.interval + DEAD_DEVIATIONS * record.deviation
        else:
            limit = MAX_STALL + DEAD_INTERVALS * record.interval
        return max(MIN_DEAD_SILENCE, limit)

    def is_silent_alone(self, member: int, now: float) -> bool:
        """Whether no other member fell silent at about the same time and may go on, as in a partition."""
        record = self.members.get(member)
        since = now if record is None else record.updated_at
        return not any(
            other.state in (MemberState.SUSPECT, MemberState.DEAD)
            and abs(other.updated_at - since) < COMMON_SILENCE_TIME
            for number, other in self.members.items()
            if number != member
        )

    def resume(self, now: float) -> None:
        """This process was stalled: all silences begin anew, and suspicions are withdrawn.

        Silence from before the stall counts no more either: an update that ended it may have been lost.
        """
        for member, record in self.members.items():
            record.updated_at = now
            if record.state is MemberState.SUSPECT:
                self._set_state(member, MemberState.ALIVE, "this process stood still")

    def gossip(self, receiver: int, limit: int, chance: random.Random) -> list[GossipEntry]:
        """The entries for a heartbeat to `receiver`, drawn at random if there are more than `limit`."""
        entries = [
            GossipEntry(_update_kind(record), member, record.incarnation, record.sequence)
            for member, record in self.members.items()
            if record.state is not MemberState.DEAD and member != receiver
        ]
        return entries if len(entries) <= limit else chance.sample(entries, limit)


def _update_kind(record: MemberRecord) -> GossipKind:
    """The kind of entry that tells a member's state."""
    return GossipKind.LEFT if record.state is MemberState.LEFT else GossipKind.ALIVE_UPDATE
