"""How much of an account this gateway may spend, by the leases it holds and what it has taken over."""

from __future__ import annotations

from ..decisions.accounts import Account
from .events import LeaseLost, LeaseRegained, MembershipEvent
from .failure_detector import FailureDetector
from .host import MembershipHost
from .leases import KEPT_FRACTION, LEASE_TIME, TAKEOVER_TIME, Leases
from .takeover import Takeover


class QuotaShares:
    """One gateway's shares of its accounts."""

    def __init__(
        self,
        host: MembershipHost,
        detector: FailureDetector,
        leases: Leases,
        takeover: Takeover,
        events: list[MembershipEvent],
    ) -> None:
        """Leases that are lost or regained are appended to `events`."""
        self.host = host
        self.detector = detector
        self.leases = leases
        self.takeover = takeover
        self.events = events
        self.has_delegated_share = False  # from another incarnation of this gateway, which holds the leases
        self.lease_losses = 0
        self.was_exclusive: dict[tuple[int, ...], bool] = {}  # by an account's neighbours

    def quota_share(self, account: Account) -> float:
        """The part of an account to spend here: of its own share, and of its predecessor's if taken over."""
        share = account.base_share() * self.own_fraction(account)
        predecessor = account.predecessor
        if predecessor is not None and predecessor in self.takeover.members:
            lost_share = account.ledgers[predecessor].peer_share
            if lost_share is None:
                lost_share = 1 / account.member_count
            share += self.borrowed_fraction(account, predecessor) * lost_share
        return min(1.0, share)

    def own_fraction(self, account: Account) -> float:
        """How much of its own share this gateway may spend."""
        return 1.0 if self.is_exclusive(account) else KEPT_FRACTION

    def borrowed_fraction(self, account: Account, member: int) -> float:
        """How much of its predecessor's share this gateway may spend."""
        if member not in self.takeover.members:
            return 0.0
        return 1 - KEPT_FRACTION if self.takeover.has_leave(account.second_predecessor, member) else 0.0

    def is_exclusive(self, account: Account) -> bool:
        """Whether nobody else spends any of this gateway's share.

        Without a lease by a neighbour it is so too if another member renews one and both neighbours are down:
        who takes a share over receives all others' gossip, so a gateway in contact would have heard of it.
        """
        now = self.host.now
        for neighbour in account.ledgers:
            if self.leases.is_held(neighbour, now):
                return True
        if not account.ledgers or not self.takeover.is_enabled or self.has_delegated_share:
            return True
        if self._has_neighbour_without_membership(account):
            return True
        is_in_contact = any(now < end for end in self.leases.held_until.values())
        return is_in_contact and all(self._is_down(neighbour) for neighbour in account.ledgers)

    def _has_neighbour_without_membership(self, account: Account) -> bool:
        """Whether a neighbour sends messages but no heartbeats: it takes shares over after a second."""
        return any(
            neighbour not in self.detector.members
            and neighbour in self.host.peer_incarnations
            and not self.host.is_silent(neighbour)
            for neighbour in account.ledgers
        )

    def _is_down(self, neighbour: int) -> bool:
        """Whether a neighbour is dead, has left, or is silent for longer than any lease of its lasts."""
        silence = self.detector.silence(neighbour, self.host.now)
        return silence > TAKEOVER_TIME + LEASE_TIME or self.detector.is_dead_or_left(neighbour)

    def report_changes(self) -> None:
        """Report which shares are exclusive and were not, or the reverse."""
        current: dict[tuple[int, ...], bool] = {}
        for account in self.host.active_accounts.values():
            neighbours = tuple(account.ledgers)
            if neighbours and neighbours not in current:
                current[neighbours] = self.is_exclusive(account)
                self._report(neighbours, current[neighbours])
        self.was_exclusive.update(current)

    def _report(self, neighbours: tuple[int, ...], is_exclusive: bool) -> None:
        """Report the state of the shares beside these neighbours if it changed."""
        if is_exclusive == self.was_exclusive.get(neighbours, is_exclusive):
            return
        if is_exclusive:
            self.events.append(LeaseRegained(neighbours))
        else:
            self.lease_losses += 1
            self.events.append(LeaseLost(neighbours))
