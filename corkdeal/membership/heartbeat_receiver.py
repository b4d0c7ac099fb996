"""Receives heartbeats: updates the failure detector and the leases, and replies where needed."""

from __future__ import annotations

from .failure_detector import FailureDetector
from .heartbeat_sender import HeartbeatSender
from .host import MembershipHost
from .leases import Leases, TakeoverRequest
from .messages import GossipEntry, GossipKind, Heartbeat, HeartbeatFlag, is_newer
from .takeover import Takeover


class HeartbeatReceiver:
    """The incoming heartbeats of one gateway."""

    def __init__(
        self,
        host: MembershipHost,
        detector: FailureDetector,
        leases: Leases,
        takeover: Takeover,
        sender: HeartbeatSender,
    ) -> None:
        """Replies are sent by `sender`, which also acknowledges what was received."""
        self.host = host
        self.detector = detector
        self.leases = leases
        self.takeover = takeover
        self.sender = sender

    def receive(self, peer: int, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat whose incarnation the decisions accepted."""
        self._forget_earlier_incarnation(peer, heartbeat)
        is_leaving = HeartbeatFlag.LEAVING in heartbeat.flags
        kind = GossipKind.LEFT if is_leaving else GossipKind.ALIVE_UPDATE
        update = GossipEntry(kind, peer, heartbeat.incarnation, heartbeat.sequence)
        self.detector.record_heartbeat(self.host.now, update)
        received = self.sender.received_sequences.get(peer, 0)
        if not received or is_newer(heartbeat.sequence, received):
            self.sender.received_sequences[peer] = heartbeat.sequence
        is_to_this_incarnation = heartbeat.receiver_incarnation == self.host.incarnation
        if is_to_this_incarnation:
            self.leases.record_acknowledgement(peer, heartbeat.received_sequence)
            self._extend_lease(peer, heartbeat.renewed_sequence)
        grants = self._apply_entries(peer, heartbeat.entries, is_to_this_incarnation)
        if not is_leaving and self._needs_reply(peer, heartbeat):
            self.sender.reply(peer, grants)

    def _forget_earlier_incarnation(self, peer: int, heartbeat: Heartbeat) -> None:
        """Drop what an earlier incarnation of a peer sent or granted."""
        record = self.detector.members.get(peer)
        if record is not None and record.incarnation != heartbeat.incarnation:
            self.leases.record_restart(peer)
            self.sender.received_sequences.pop(peer, None)

    def _extend_lease(self, peer: int, renewed_sequence: int) -> None:
        """Extend the lease from a peer that renewed it."""
        end = self.leases.renewed_until(peer, renewed_sequence) if renewed_sequence else None
        if end is None:
            return
        if not self.leases.is_held(peer, self.host.now):
            # until now the token buckets were refilled at the rate without a lease
            self.takeover.refill_buckets(peer)
        self.leases.held_until[peer] = end

    def _apply_entries(
        self, peer: int, entries: tuple[GossipEntry, ...], is_to_this_incarnation: bool
    ) -> tuple[GossipEntry, ...]:
        """Apply a peer's entries; return the grants to reply with."""
        now = self.host.now
        grants = []
        for entry in entries:
            if entry.member == self.host.settings.gateway_index:
                continue
            if entry.kind in (GossipKind.ALIVE_UPDATE, GossipKind.LEFT):
                self.detector.record_gossip(now, entry)
            elif not is_to_this_incarnation:
                continue
            elif entry.kind is GossipKind.LEASE_GRANT:
                self.leases.record_grant(TakeoverRequest(peer, entry.member), entry.sequence)
            elif self.leases.try_grant(entry.member, now):
                grant = GossipEntry(GossipKind.LEASE_GRANT, entry.member, entry.incarnation, entry.sequence)
                grants.append(grant)
        return tuple(grants)

    def _needs_reply(self, peer: int, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat contains a lease request, or asks for a reply that is due."""
        if any(entry.kind is GossipKind.LEASE_REQUEST for entry in heartbeat.entries):
            return True
        return HeartbeatFlag.REPLY_REQUESTED in heartbeat.flags and self.sender.may_reply(peer)
