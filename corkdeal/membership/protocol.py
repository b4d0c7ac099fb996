"""Membership of one gateway: combines the other modules of this package and schedules the heartbeats.

The decisions query quota shares and call `step` and `receive_payload`; their host consumes the events.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from ..decisions.accounts import Account
from . import messages
from .events import MembershipEvent
from .failure_detector import FailureDetector, MemberState
from .heartbeat_receiver import HeartbeatReceiver
from .heartbeat_sender import HeartbeatSender
from .host import MembershipHost
from .leases import Leases
from .messages import GossipEntry, GossipKind, Heartbeat
from .quota_shares import QuotaShares
from .takeover import TIMER_TOLERANCE, Takeover

MIN_ROUND_INTERVAL = 0.25  # s between rounds of heartbeats
MAX_ROUND_INTERVAL = 0.6  # s; short enough that a lease survives the loss of two heartbeats in a row
# heartbeats per second, unless MAX_ROUND_INTERVAL needs more; together with the quota exchange this stays
# below the message rate that a peer accepts
HEARTBEAT_RATE = 12.0
CHECK_INTERVAL = 0.2  # s between checks of the members' silence
RANDOM_RECEIVERS = 2  # per round, regardless of the size of the tier
MAX_RING_RECEIVERS = 14  # ring neighbours per round


class MembershipProtocol:
    """Membership of one gateway, for the lifetime of the process."""

    def __init__(self, host: MembershipHost, is_later: Callable[[int, int], bool]) -> None:
        """`is_later` tells whether one incarnation is later than another."""
        settings = host.settings
        self.host = host
        self.events: list[MembershipEvent] = []
        self.rng = random.Random(host.random.random())
        self.detector = FailureDetector(is_later, settings.gateway_count)
        self.leases = Leases()
        self.takeover = Takeover(host, self.detector, self.leases, self.events)
        self.shares = QuotaShares(host, self.detector, self.leases, self.takeover, self.events)
        self.sender = HeartbeatSender(host, self.detector, self.leases, self.takeover, self.rng)
        self.receiver = HeartbeatReceiver(host, self.detector, self.leases, self.takeover, self.sender)
        self.other_members = [
            member for member in range(settings.gateway_count) if member != settings.gateway_index
        ]
        self.round_interval = MIN_ROUND_INTERVAL  # s
        self.last_round_at = -math.inf  # s
        self.checked_at = -math.inf  # s
        # ring neighbours that this incarnation has sent a heartbeat to
        self.contacted_neighbours: set[int] = set()

    def quota_share(self, account: Account) -> float:
        """Return the part of an account that may be spent here.

        It consists of this gateway's share and, if taken over, of its predecessor's.
        """
        return self.shares.quota_share(account)

    def is_share_exclusive(self, account: Account) -> bool:
        """Return whether no other gateway spends any of this gateway's share of an account."""
        return self.shares.is_exclusive(account)

    def sends_heartbeats(self, member: int) -> bool:
        """Return whether a member sends heartbeats, so that no other keep-alive is needed between the two."""
        return member in self.sender.received_sequences

    def receive_payload(
        self, payload: bytes, peer: int, is_accepted: Callable[[int, int, int], bool]
    ) -> bool:
        """Apply a payload if it is a heartbeat and is accepted; return False for any other kind of message.

        `is_accepted` is called with the peer, the peer's incarnation, and the incarnation of this gateway
        that the peer knows, or 0.
        """
        heartbeat = messages.unpack(payload, peer, self.host.settings)
        if heartbeat is None:
            return False
        if is_accepted(peer, heartbeat.incarnation, heartbeat.receiver_incarnation):
            self.receive(peer, heartbeat)
        return True

    def receive(self, peer: int, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat whose incarnation the decisions accepted."""
        self.receiver.receive(peer, heartbeat)

    def step(self) -> None:
        """Check for silent members; send heartbeats if a round is due or there are new ring neighbours."""
        now = self.host.now
        if now - self.checked_at >= CHECK_INTERVAL:
            self.checked_at = now
            self.detector.update(now)
        receivers: set[int] = set()
        if now - self.last_round_at >= self.round_interval - TIMER_TOLERANCE:
            self.last_round_at = now
            receivers = self._begin_round()
        receivers |= self.host.ring_neighbours - self.contacted_neighbours
        self.contacted_neighbours |= self.host.ring_neighbours
        if receivers and not self.sender.has_left:
            self.sender.advance()
            for member in sorted(receivers):
                self.sender.send(member)
        self.events += self.detector.take_changes()

    def _begin_round(self) -> set[int]:
        """Update takeovers, and return the receivers of a round of heartbeats."""
        self._request_grants()
        self.shares.report_changes()
        ring = sorted(self.host.ring_neighbours)
        if len(ring) > MAX_RING_RECEIVERS:
            ring = self.rng.sample(ring, MAX_RING_RECEIVERS)
        receivers = {*self._sample(self.other_members), *ring, *self._possible_lessors()}
        interval = len(receivers) / HEARTBEAT_RATE
        self.round_interval = min(MAX_ROUND_INTERVAL, max(MIN_ROUND_INTERVAL, interval))
        return receivers

    def _request_grants(self) -> None:
        """Send the takeover requests that are due."""
        requests = self.takeover.update()
        if requests:
            self.sender.advance()
        for request in requests:
            incarnation = self.detector.members[request.member].incarnation
            entry = GossipEntry(GossipKind.LEASE_REQUEST, request.member, incarnation, self.sender.sequence)
            self.sender.send(request.neighbour, (entry,))

    def _sample(self, members: list[int]) -> list[int]:
        """Return a random sample of members."""
        return self.rng.sample(members, min(RANDOM_RECEIVERS, len(members)))

    def _possible_lessors(self) -> list[int]:
        """Return some other members that may renew a lease, while no ring neighbour's lease is held.

        Such a lease shows that this gateway is not partitioned off (`QuotaShares.is_exclusive`).
        """
        ring = self.host.ring_neighbours
        if not ring or self.sender.has_lease():
            return []
        candidates = [
            member
            for member in sorted(self.sender.received_sequences)
            if member not in ring and not self.detector.is_dead_or_left(member)
        ]
        return self._sample(candidates)

    def leave(self) -> None:
        """Announce to all ring neighbours and some other members, twice, that this gateway shuts down."""
        self.sender.has_left = True
        receivers = sorted({*self.host.ring_neighbours, *self._sample(self.other_members)})
        for _ in range(2):
            self.sender.advance()
            for member in receivers:
                self.sender.send(member)

    def resume(self, stall_time: float) -> None:
        """Withdraw suspicions and drop takeovers after this process was stalled for `stall_time` seconds."""
        self.detector.resume(self.host.now)
        self.leases.resume(stall_time)
        self.takeover.resume()
        self.last_round_at = -math.inf  # send heartbeats in the next step

    def set_delegated_share(self, is_delegated: bool) -> None:
        """Set whether this gateway runs beside another incarnation of itself.

        That incarnation then holds the leases and has delegated a part of its quota share to this one.
        """
        self.shares.has_delegated_share = is_delegated

    def take_events(self) -> list[MembershipEvent]:
        """Return the events since the last call."""
        events = list(self.events)
        self.events.clear()
        return events

    def metrics(self) -> dict[str, int]:
        """Return the current state of the tier, under the metric names of the log event `figures`."""
        states = [record.state for record in self.detector.members.values()]
        return {
            "now_members": len(states),
            "now_suspect": states.count(MemberState.SUSPECT),
            "now_gone": states.count(MemberState.DEAD),
            "now_taken": len(self.takeover.members),
            "lapses": self.shares.lease_losses,
        }
