"""Taking over the quota shares of members that are down, and returning them."""

from __future__ import annotations

from .events import MembershipEvent, SharesReturned, SharesTakenOver
from .failure_detector import FailureDetector, MemberState
from .host import MembershipHost
from .leases import Leases, TakeoverRequest

REQUEST_INTERVAL = 0.5  # s between requests for one grant, which lasts for a lease
TIMER_TOLERANCE = 0.025  # s by which a timer may be early; half of the interval of the decisions' scan


class Takeover:
    """The members whose shares this gateway has taken over, as far as it decides alone."""

    def __init__(
        self,
        host: MembershipHost,
        detector: FailureDetector,
        leases: Leases,
        events: list[MembershipEvent],
    ) -> None:
        """What happens is appended to `events`."""
        self.host = host
        self.detector = detector
        self.leases = leases
        self.events = events
        self.is_enabled = host.settings.gateway_count > 2 and detector.has_full_gossip
        self.members: set[int] = set()
        self.requested_at: dict[TakeoverRequest, float] = {}  # s

    def update(self) -> list[TakeoverRequest]:
        """Take over and return shares by what is known now; the requests that are due, in order."""
        accounts = self.host.active_accounts.values()
        predecessors = {a.predecessor for a in accounts if a.predecessor is not None}
        available = {member for member in predecessors if self._is_available(member)}
        for member in sorted(self.members - available):
            self.release(member)
        for member in sorted(available - self.members):
            self._take(member)
        return self._due_requests(available)

    def _is_available(self, member: int) -> bool:
        """Whether a member left, or it alone is silent or deaf and can't hold this gateway's lease."""
        record = self.detector.members.get(member)
        if record is None or not self.is_enabled:
            return False
        if record.has_announced_leave:
            return True
        now = self.host.now
        is_unreachable = self.detector.is_dead_or_left(member) or (
            record.state is not MemberState.SUSPECT and self.leases.is_deaf(member, now)
        )
        if not is_unreachable or not self.leases.has_lapsed(member, now):
            return False
        return self.detector.is_silent_alone(member, now)

    def _take(self, member: int) -> None:
        """Begin to spend a member's shares, with its other neighbour's leave where that is needed."""
        self.settle(member)
        self.members.add(member)
        self.events.append(SharesTakenOver(member))

    def release(self, member: int) -> None:
        """Spend a member's shares no more, if they were taken over."""
        if member in self.members:
            self.settle(member)
            self.members.discard(member)
            self.events.append(SharesReturned(member))

    def settle(self, member: int) -> None:
        """Refill the token buckets that a change of a member's lease touches, at the rate until now."""
        for account in self.host.accounts.values():
            if member in account.ledgers:
                self.host.refill(account)

    def _due_requests(self, available: set[int]) -> list[TakeoverRequest]:
        """Requests to those that may have renewed the members' leases; they are noted as sent now."""
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

    def has_leave(self, second_predecessor: int | None, member: int) -> bool:
        """Whether the other neighbour of a member that was taken over can't have renewed its lease."""
        if second_predecessor is None or self.detector.is_dead_or_left(second_predecessor):
            return True
        if self.detector.members[member].has_announced_leave:
            return True
        return self.leases.is_granted(TakeoverRequest(second_predecessor, member), self.host.now)

    def resume(self) -> None:
        """This process was stalled: nothing is taken over until it was looked at anew."""
        self.members.clear()
