"""What membership reports to its host for the operators' log."""

from __future__ import annotations

from dataclasses import dataclass

from .failure_detector import StateChange


@dataclass(frozen=True, slots=True)
class SharesTakenOver:
    """The shares of a silent member may be spent here from now on."""

    member: int


@dataclass(frozen=True, slots=True)
class SharesReturned:
    """The shares of a member are its own again."""

    member: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """No neighbour leases the shares that this gateway has beside these neighbours any more."""

    neighbours: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LeaseRegained:
    """A neighbour leases the shares that this gateway has beside these neighbours again."""

    neighbours: tuple[int, ...]


MembershipEvent = StateChange | SharesTakenOver | SharesReturned | LeaseLost | LeaseRegained
