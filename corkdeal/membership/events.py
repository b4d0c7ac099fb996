"""Events that membership reports to its host, which writes them to the operators' log."""

from __future__ import annotations

from dataclasses import dataclass

from .failure_detector import StateChange


@dataclass(frozen=True, slots=True)
class SharesTakenOver:
    """This gateway may now spend the quota shares of an unreachable member."""

    member: int


@dataclass(frozen=True, slots=True)
class SharesReturned:
    """A member spends its own quota shares again."""

    member: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This gateway no longer has exclusive use of its shares of accounts with these ring neighbours."""

    neighbours: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LeaseRegained:
    """This gateway again has exclusive use of its shares of accounts with these ring neighbours."""

    neighbours: tuple[int, ...]


MembershipEvent = StateChange | SharesTakenOver | SharesReturned | LeaseLost | LeaseRegained
