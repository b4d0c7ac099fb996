"""What recovery needs of the decisions that it belongs to."""

from __future__ import annotations

from collections.abc import Mapping, MutableMapping
from typing import Protocol

from ..decisions.accounts import Account
from ..decisions.backends import Backends
from ..decisions.extensions import MembershipView
from ..decisions.peer_messages import AccountUpdate


class QuotaRestoreHost(Protocol):
    """The part of a gateway's decisions that restoring quota shares reads, and the calls that it makes."""

    @property
    def now(self) -> float:
        """The time of the present event, in seconds."""

    @property
    def accounts(self) -> Mapping[int, Account]:
        """All accounts by customer."""

    @property
    def peer_incarnations(self) -> Mapping[int, int]:
        """The latest known incarnation of each peer, in ms."""

    def account(self, customer: int, plan: int, first_gateway: int, member_count: int, /) -> Account:
        """The customer's account, which is made if there is none."""

    def has_resumed(self) -> bool:
        """Whether this gateway goes on as an earlier incarnation, with that one's ledgers."""

    def is_older(self, incarnation: int, /) -> bool:
        """Whether a peer of that incarnation knows what was spent before this gateway's start."""

    def send_updates(self, peer: int, updates: list[AccountUpdate], /) -> None:
        """Send updates, or a message without any, to a peer."""


class ResumeHost(Protocol):
    """The state of a gateway's decisions that a stall makes old."""

    now: float  # s
    last_exchange_at: float  # s
    last_poll_at: float  # s

    @property
    def accounts(self) -> Mapping[int, Account]:
        """All accounts by customer."""

    @property
    def peer_last_heard(self) -> MutableMapping[int, float]:
        """By peer: when its last message arrived, in seconds."""

    @property
    def backends(self) -> Backends:
        """The endpoint list and the records of all backends."""

    @property
    def membership(self) -> MembershipView | None:
        """Membership, where that is on."""
