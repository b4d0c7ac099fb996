"""The part of an account that this gateway may spend, given its leases and the shares it took over."""

from __future__ import annotations

from ..decisions.accounts import Account
from .events import LeaseLost, LeaseRegained, MembershipEvent
from .failure_detector import FailureDetector
from .host import MembershipHost
from .leases import KEPT_FRACTION, LEASE_TIME, TAKEOVER_TIME, Leases
from .takeover import Takeover


class QuotaShares:
    """The quota shares of one gateway in its accounts."""

    def __init__(
        self,
        host: MembershipHost,
        detector: FailureDetector,
        leases: Leases,
        takeover: Takeover,
        events: list[MembershipEvent],
    ) -> None:
        """Lost and regained leases are appended to `events`."""
        self.host = host
        self.detector = detector
        self.leases = leases
        self.takeover = takeover
        self.events = events
        self.has_delegated_share = False  # by another incarnation of this gateway, which holds the leases
        self.lease_losses = 0
        self.was_exclusive: dict[tuple[int, ...], bool] = {}  # by the ring neighbours of an account

    def quota_share(self, account: Account) -> float:
        """Return the part of an account that may be spent here.

        It consists of this gateway's share and, if taken over, of its predecessor's.
        """
        share = account.base_share() * self.own_fraction(account)
        predecessor = account.predecessor
        if predecessor is not None and predecessor in self.takeover.members:
            lost_share = account.ledgers[predecessor].peer_share
            if lost_share is None:
                lost_share = 1 / account.member_count
            share += self.taken_over_fraction(account, predecessor) * lost_share
        return min(1.0, share)

    def own_fraction(self, account: Account) -> float:
        """Return how much of its own share this gateway may spend."""
        return 1.0 if self.is_exclusive(account) else KEPT_FRACTION

    def taken_over_fraction(self, account: Account, member: int) -> float:
        """Return how much of its predecessor's share this gateway may spend."""
        if member not in self.takeover.members:
            return 0.0
        return 1 - KEPT_FRACTION if self.takeover.has_permission(account.second_predecessor, member) else 0.0

    def is_exclusive(self, account: Account) -> bool:
        """Return whether no other gateway spends any of this gateway's share.

        Without a lease from a ring neighbour the share is still exclusive if both ring neighbours are down
        and some other member renews a lease. A gateway that takes a share over receives all others' gossip,
        so this gateway, being in contact with the tier, would have received gossip about it.
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
        """Return whether a ring neighbour sends messages but no heartbeats.

        Such a neighbour takes shares over after one second of silence and knows no leases.
        """
        return any(
            neighbour not in self.detector.members
            and neighbour in self.host.peer_incarnations
            and not self.host.is_silent(neighbour)
            for neighbour in account.ledgers
        )

    def _is_down(self, neighbour: int) -> bool:
        """Return whether a neighbour is dead, has left, or was silent for longer than its leases last."""
        silence = self.detector.silence(neighbour, self.host.now)
        return silence > TAKEOVER_TIME + LEASE_TIME or self.detector.is_dead_or_left(neighbour)

    def report_changes(self) -> None:
        """Report the quota shares that became exclusive or ceased to be."""
        current: dict[tuple[int, ...], bool] = {}
        for account in self.host.active_accounts.values():
            neighbours = tuple(account.ledgers)
            if neighbours and neighbours not in current:
                current[neighbours] = self.is_exclusive(account)
                self._report_change(neighbours, current[neighbours])
        self.was_exclusive.update(current)

    def _report_change(self, neighbours: tuple[int, ...], is_exclusive: bool) -> None:
        """Report that the shares of accounts with these neighbours became exclusive or ceased to be.

        Nothing is reported if that did not change, or on the first check of these neighbours.
        """
        if is_exclusive == self.was_exclusive.get(neighbours, is_exclusive):
            return
        if is_exclusive:
            self.events.append(LeaseRegained(neighbours))
        else:
            self.lease_losses += 1
            self.events.append(LeaseLost(neighbours))
