"""Sends heartbeats: their sequence numbers, contents and flags, and the rate limit on replies."""

from __future__ import annotations

import random

from ..decisions.actions import SendToPeer
from . import messages
from .failure_detector import FailureDetector
from .host import MembershipHost
from .leases import Leases
from .messages import GossipEntry, Heartbeat, HeartbeatFlag
from .takeover import Takeover

# sequence numbers per second of the clock; more than the heartbeats that are sent in it
INITIAL_SEQUENCE_RATE = 10.0
REPLY_INTERVAL = 0.25  # s between replies to the same member


class HeartbeatSender:
    """The outgoing heartbeats of one gateway."""

    def __init__(
        self,
        host: MembershipHost,
        detector: FailureDetector,
        leases: Leases,
        takeover: Takeover,
        rng: random.Random,
    ) -> None:
        """`rng` selects what to gossip when a datagram cannot hold all of it."""
        self.host = host
        self.detector = detector
        self.leases = leases
        self.takeover = takeover
        self.rng = rng
        self.sequence = 0
        self.received_sequences: dict[
            int, int
        ] = {}  # by member: last sequence number received from it directly
        self.replied_at: dict[int, float] = {}  # by member, s
        self.has_left = False

    def advance(self) -> None:
        """Begin the next heartbeat, which goes to all receivers of one round under the same sequence number.

        The first number is derived from the clock, so that an incarnation that continues another one, as in
        an upgrade, starts with a later number than that one has reached.
        """
        first = int(self.host.now * INITIAL_SEQUENCE_RATE) % (messages.SEQUENCE_MODULUS - 1)
        self.sequence = messages.next_sequence(self.sequence or first)
        self.leases.record_sent(self.host.now, self.sequence)

    def send(self, member: int, entries: tuple[GossipEntry, ...] = ()) -> None:
        """Send the current heartbeat to a member: `entries`, then as much gossip as fits."""
        renewed_sequence = self._renew_lease(member)
        flags = self._flags(member)
        gossip = self.detector.gossip(member, messages.MAX_ENTRIES - len(entries), self.rng)
        heartbeat = Heartbeat(
            incarnation=self.host.incarnation,
            receiver_incarnation=self.host.peer_incarnations.get(member, 0),
            sequence=self.sequence,
            received_sequence=self.received_sequences.get(member, 0),
            renewed_sequence=renewed_sequence,
            flags=flags,
            entries=(*entries, *gossip),
        )
        if self.host.settings.may_message_peers:
            self.host.actions.append(SendToPeer(member, messages.pack(heartbeat)))

    def _renew_lease(self, member: int) -> int:
        """Return the sequence number of the member's heartbeat whose lease is renewed, else 0.

        Shares taken over from the member are returned before its lease is renewed.
        """
        now = self.host.now
        if member not in self.received_sequences or not self.leases.may_renew(member, now) or self.has_left:
            return 0
        sequence = self.received_sequences[member]
        if sequence != self.leases.renewed_sequences.get(member):
            self.takeover.release(member)
            self.leases.record_renewal(member, sequence, now)
        return sequence

    def _flags(self, member: int) -> HeartbeatFlag:
        """Return the flags of a heartbeat to a member."""
        flags = HeartbeatFlag(0)
        if self.has_left:
            flags |= HeartbeatFlag.LEAVING
        may_lease = member in self.host.ring_neighbours or not self.has_lease()
        has_lapsed = not self.leases.is_held(member, self.host.now)
        if self.host.ring_neighbours and may_lease and has_lapsed:
            flags |= HeartbeatFlag.REPLY_REQUESTED
        return flags

    def has_lease(self) -> bool:
        """Return whether this gateway holds a lease from any ring neighbour."""
        return any(self.leases.is_held(peer, self.host.now) for peer in self.host.ring_neighbours)

    def may_reply(self, member: int) -> bool:
        """Return whether a reply that no lease depends on may be sent, by the time since the last reply."""
        return self.host.now - self.replied_at.get(member, -REPLY_INTERVAL) >= REPLY_INTERVAL

    def reply(self, member: int, entries: tuple[GossipEntry, ...]) -> None:
        """Send a heartbeat to one member immediately."""
        self.replied_at[member] = self.host.now
        self.advance()
        self.send(member, entries)
