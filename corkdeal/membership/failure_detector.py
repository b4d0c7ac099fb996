"""Failure detection: the latest heartbeat known of each member, direct or by gossip, and its state.

Members' sequence numbers are gossiped (after Van Renesse, Minsky, Hayden: A gossip-style failure detection
service, 1998), so a member counts as reachable as long as any chain of gossip leads to this gateway, even if
the two are partitioned. As in accrual detectors, the length of silence after which a member is suspected or
declared dead depends on the intervals between its earlier updates. Time during which this process was stalled
is not counted as silence.
"""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from .messages import MAX_ENTRIES, SEQUENCE_MODULUS, GossipEntry, GossipKind, is_newer


class MemberState(enum.StrEnum):
    """State of a member; the values are those in the log event `membership`."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "gone"
    LEFT = "left"


MAX_STALL = 2.0  # s; a member that is stalled for less is not declared dead
MIN_DEAD_SILENCE = 2.5  # s; longer than a lease lasts
DEAD_DEVIATIONS = 4.0  # mean absolute deviations of the interval, added to the mean interval and MAX_STALL
# mean intervals; if updates arrive at random, an interval exceeds it with probability e^-20
DEAD_INTERVALS = 20.0
SUSPECT_FRACTION = 0.5  # of the silence after which the member is declared dead
INTERVAL_WEIGHT = 0.1  # of a new interval in the moving average
INITIAL_INTERVAL = 0.25  # s
INITIAL_INTERVAL_PER_MEMBER = 0.01  # s, where a datagram can't list all members
MAX_FULL_GOSSIP_SIZE = MAX_ENTRIES + 1  # largest tier in which each heartbeat lists all other members
COMMON_SILENCE_TIME = 5.0  # s; silences that began less than this apart may have one cause


@dataclass(slots=True)
class MemberRecord:
    """What is known of the current incarnation of a member."""

    incarnation: int  # ms
    sequence: int
    updated_at: float  # s
    interval: float  # moving average of the time between updates, s
    deviation: float  # moving average of the deviation from `interval`, s
    state: MemberState = MemberState.ALIVE
    has_announced_leave: bool = False  # by its own heartbeat; gossip that it left may be wrong
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StateChange:
    """A change of the state of a member."""

    member: int
    state: MemberState
    previous: MemberState
    reason: str


class FailureDetector:
    """The states of all members that this gateway has received an update of, except itself."""

    def __init__(self, is_later: Callable[[int, int], bool], size: int) -> None:
        """`is_later` tells whether one incarnation is later than another; `size` is the tier's."""
        self.is_later = is_later
        self.size = size
        self.has_full_gossip = size <= MAX_FULL_GOSSIP_SIZE
        self.initial_interval = INITIAL_INTERVAL
        if not self.has_full_gossip:
            self.initial_interval = max(INITIAL_INTERVAL, INITIAL_INTERVAL_PER_MEMBER * size)
        self.members: dict[int, MemberRecord] = {}
        self.changes: list[StateChange] = []

    def record_heartbeat(self, now: float, update: GossipEntry) -> None:
        """Apply an update that the member sent itself.

        It overrides gossip about the member, even gossip with a later incarnation or sequence number.
        """
        record = self.members.get(update.member)
        if record is not None and self._is_contradicted(record, update):
            record.incarnation = update.incarnation
            record.sequence = (update.sequence - 2) % SEQUENCE_MODULUS + 1
            self._set_state(update.member, MemberState.ALIVE, "own heartbeat received")
        if self.record_gossip(now, update) and update.kind is GossipKind.LEFT:
            self.members[update.member].has_announced_leave = True

    def _is_contradicted(self, record: MemberRecord, update: GossipEntry) -> bool:
        """Return whether a member's own update shows that earlier gossip about it was wrong."""
        if record.has_announced_leave:
            return False
        return (
            record.incarnation != update.incarnation
            or record.state is MemberState.LEFT
            or is_newer(record.sequence, update.sequence)
        )

    def record_gossip(self, now: float, update: GossipEntry) -> bool:
        """Apply an update from any sender; return whether it was new."""
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
            self._set_state(update.member, MemberState.ALIVE, "restarted")
        elif self._is_outdated(record, update):
            return False
        else:
            self._refresh(record, now, update)
        if update.kind is GossipKind.LEFT:
            self._set_state(update.member, MemberState.LEFT, "announced its shutdown")
        return True

    def _is_outdated(self, record: MemberRecord, update: GossipEntry) -> bool:
        """Return whether an update, not of a later incarnation, contains nothing new."""
        return (
            update.incarnation != record.incarnation
            or record.state is MemberState.LEFT
            or not is_newer(update.sequence, record.sequence)
        )

    def _refresh(self, record: MemberRecord, now: float, update: GossipEntry) -> None:
        """Apply a later heartbeat of the same incarnation."""
        if record.state is MemberState.ALIVE:  # an interval that raised suspicion is left out of the average
            difference = now - record.updated_at - record.interval
            record.interval += INTERVAL_WEIGHT * difference
            record.deviation += INTERVAL_WEIGHT * (abs(difference) - record.deviation)
        record.sequence = update.sequence
        record.updated_at = now
        self._set_state(update.member, MemberState.ALIVE, "update received")

    def _set_state(self, member: int, state: MemberState, reason: str) -> None:
        """Change the state of a member and queue the change for `take_changes`."""
        record = self.members[member]
        if record.state is not state:
            self.changes.append(StateChange(member, state, record.state, reason))
            record.state = state
        record.reason = reason

    def take_changes(self) -> list[StateChange]:
        """Return the state changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def silence(self, member: int, now: float) -> float:
        """Return the seconds since the last update of a member; infinite for an unknown one."""
        record = self.members.get(member)
        return math.inf if record is None else now - record.updated_at

    def is_dead_or_left(self, member: int) -> bool:
        """Return whether a member was declared dead or has left."""
        record = self.members.get(member)
        return record is not None and record.state in (MemberState.DEAD, MemberState.LEFT)

    def update(self, now: float) -> None:
        """Suspect members, or declare them dead, according to the length of their silence."""
        for member, record in self.members.items():
            silence = now - record.updated_at
            limit = self._dead_after(record)
            if record.state is MemberState.ALIVE and silence > SUSPECT_FRACTION * limit:
                self._set_state(member, MemberState.SUSPECT, f"no update for {silence:.2f} s")
            if record.state is MemberState.SUSPECT and silence > limit:
                reason = f"no update for {silence:.2f} s, average interval {record.interval:.2f} s"
                self._set_state(member, MemberState.DEAD, reason)

    def _dead_after(self, record: MemberRecord) -> float:
        """Return the silence in seconds after which a member is declared dead."""
        if self.has_full_gossip:
            limit = MAX_STALL + record.interval + DEAD_DEVIATIONS * record.deviation
        else:
            limit = MAX_STALL + DEAD_INTERVALS * record.interval
        return max(MIN_DEAD_SILENCE, limit)

    def has_isolated_silence(self, member: int, now: float) -> bool:
        """Return whether no other member has been silent since about the same time.

        Several silences with a common start suggest a partition, beyond which those members may still be
        running.
        """
        record = self.members.get(member)
        since = now if record is None else record.updated_at
        return not any(
            other.state in (MemberState.SUSPECT, MemberState.DEAD)
            and abs(other.updated_at - since) < COMMON_SILENCE_TIME
            for number, other in self.members.items()
            if number != member
        )

    def resume(self, now: float) -> None:
        """Restart the measurement of all silences and withdraw suspicions, after this process was stalled.

        Silence from before the stall is dropped too, as an update that ended it may have been lost.
        """
        for member, record in self.members.items():
            record.updated_at = now
            if record.state is MemberState.SUSPECT:
                self._set_state(member, MemberState.ALIVE, "this process was stalled")

    def gossip(self, receiver: int, limit: int, rng: random.Random) -> list[GossipEntry]:
        """Return the entries for a heartbeat to `receiver`, a random sample if more than `limit`."""
        entries = [
            GossipEntry(_update_kind(record), member, record.incarnation, record.sequence)
            for member, record in self.members.items()
            if record.state is not MemberState.DEAD and member != receiver
        ]
        return entries if len(entries) <= limit else rng.sample(entries, limit)


def _update_kind(record: MemberRecord) -> GossipKind:
    """Return the kind of gossip entry that conveys a member's state."""
    return GossipKind.LEFT if record.state is MemberState.LEFT else GossipKind.ALIVE_UPDATE
