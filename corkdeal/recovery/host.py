"""The interfaces that recovery needs from the decisions it belongs to."""

from __future__ import annotations

from collections.abc import Mapping, MutableMapping
from typing import Protocol

from ..decisions.accounts import Account
from ..decisions.backends import Backends
from ..decisions.extensions import MembershipView
from ..decisions.peer_messages import AccountUpdate


class QuotaRestoreHost(Protocol):
    """The part of a gateway's decisions that restoring quota shares reads, and the methods that it calls."""

    @property
    def now(self) -> float:
        """Time of the current event, in seconds."""

    @property
    def accounts(self) -> Mapping[int, Account]:
        """All accounts by customer."""

    @property
    def peer_incarnations(self) -> Mapping[int, int]:
        """The latest known incarnation of each peer, in ms."""

    def account(self, customer: int, plan: int, first_gateway: int, member_count: int, /) -> Account:
        """Return the customer's account; create it if there is none."""

    def has_resumed(self) -> bool:
        """Return whether this gateway continues an earlier incarnation, with its ledgers."""

    def predates_start(self, incarnation: int, /) -> bool:
        """Return whether a peer of that incarnation saw what was spent before this gateway started."""

    def send_updates(self, peer: int, updates: list[AccountUpdate], /) -> None:
        """Send account updates, or a message without any, to a peer."""


class ResumeHost(Protocol):
    """The state of a gateway's decisions that a stall makes out of date."""

    now: float  # s
    last_exchange_at: float  # s
    last_poll_at: float  # s

    @property
    def accounts(self) -> Mapping[int, Account]:
        """All accounts by customer."""

    @property
    def peer_last_received_at(self) -> MutableMapping[int, float]:
        """By peer: when its last message was received, in seconds."""

    @property
    def backends(self) -> Backends:
        """The endpoint list and the records of all backends."""

    @property
    def membership(self) -> MembershipView | None:
        """Membership, if it is enabled."""
