"""Takes over the quota shares of members that are down, and returns them."""

from __future__ import annotations

from .events import MembershipEvent, SharesReturned, SharesTakenOver
from .failure_detector import FailureDetector, MemberState
from .host import MembershipHost
from .leases import Leases, TakeoverRequest

REQUEST_INTERVAL = 0.5  # s between requests for the same grant, which lasts as long as a lease
# s by which a timer may fire early; half the interval of the decisions' periodic scan
TIMER_TOLERANCE = 0.025


class Takeover:
    """The members whose shares this gateway has taken over.

    Whether it may spend them can depend on the permission of another neighbour too (`has_permission`).
    """

    def __init__(
        self,
        host: MembershipHost,
        detector: FailureDetector,
        leases: Leases,
        events: list[MembershipEvent],
    ) -> None:
        """Takeovers and returns are appended to `events`."""
        self.host = host
        self.detector = detector
        self.leases = leases
        self.events = events
        self.is_enabled = host.settings.gateway_count > 2 and detector.has_full_gossip
        self.members: set[int] = set()
        self.requested_at: dict[TakeoverRequest, float] = {}  # s

    def update(self) -> list[TakeoverRequest]:
        """Take shares over, or give them back, according to the current state of the members.

        Returns the takeover requests that are due, sorted.
        """
        accounts = self.host.active_accounts.values()
        predecessors = {a.predecessor for a in accounts if a.predecessor is not None}
        available = {member for member in predecessors if self._is_available(member)}
        for member in sorted(self.members - available):
            self.release(member)
        for member in sorted(available - self.members):
            self._take_over(member)
        return self._due_requests(available)

    def _is_available(self, member: int) -> bool:
        """Return whether the shares of a member may be taken over.

        That is so if it announced its shutdown, or if it is the only member that is unreachable (dead, or not
        receiving) and no lease from this gateway to it can be in force.
        """
        record = self.detector.members.get(member)
        if record is None or not self.is_enabled:
            return False
        if record.has_announced_leave:
            return True
        now = self.host.now
        is_unreachable = self.detector.is_dead_or_left(member) or (
            record.state is not MemberState.SUSPECT and self.leases.has_stopped_receiving(member, now)
        )
        if not is_unreachable or not self.leases.has_lapsed(member, now):
            return False
        return self.detector.has_isolated_silence(member, now)

    def _take_over(self, member: int) -> None:
        """Take over a member's shares; spending them may need the permission of its other neighbour."""
        self.refill_buckets(member)
        self.members.add(member)
        self.events.append(SharesTakenOver(member))

    def release(self, member: int) -> None:
        """Stop spending a member's shares, if they were taken over."""
        if member in self.members:
            self.refill_buckets(member)
            self.members.discard(member)
            self.events.append(SharesReturned(member))

    def refill_buckets(self, member: int) -> None:
        """Refill the token buckets that a change of a member's lease affects, at the rate up to now."""
        for account in self.host.accounts.values():
            if member in account.ledgers:
                self.host.refill(account)

    def _due_requests(self, available: set[int]) -> list[TakeoverRequest]:
        """Return the requests that are due, and record them as sent now.

        They go to the neighbours that may have renewed the leases of `available` members.
        """
        now = self.host.now
        wanted = {
            TakeoverRequest(account.second_predecessor, account.predecessor)
            for account in self.host.active_accounts.values()
            if account.predecessor in available
            and account.second_predecessor is not None
            and not self.detector.is_dead_or_left(account.second_predecessor)
        }
        due = [
            request
            for request in sorted(wanted)
            if now - self.requested_at.get(request, -REQUEST_INTERVAL) >= REQUEST_INTERVAL - TIMER_TOLERANCE
        ]
        self.requested_at.update(dict.fromkeys(due, now))
        return due

    def has_permission(self, second_predecessor: int | None, member: int) -> bool:
        """Return whether the other neighbour of a member can have no lease to it in force.

        That holds if there is no other neighbour, it is down, it granted the takeover, or the member has
        left.
        """
        if second_predecessor is None or self.detector.is_dead_or_left(second_predecessor):
            return True
        if self.detector.members[member].has_announced_leave:
            return True
        return self.leases.is_granted(TakeoverRequest(second_predecessor, member), self.host.now)

    def resume(self) -> None:
        """Drop all takeovers after a stall of this process, until the next check."""
        self.members.clear()
