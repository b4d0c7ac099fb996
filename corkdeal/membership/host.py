"""The interface that membership needs from the decisions it belongs to."""

from __future__ import annotations

import random
from collections.abc import Mapping, Set
from typing import Protocol

from ..decisions.accounts import Account
from ..decisions.actions import Action
from ..decisions.settings import Settings


class MembershipHost(Protocol):
    """The part of a gateway's decisions that membership reads, and the two methods that it calls."""

    @property
    def settings(self) -> Settings:
        """The settings, which never change."""

    @property
    def random(self) -> random.Random:
        """The decisions' random generator, from which membership seeds its own."""

    @property
    def now(self) -> float:
        """Time of the current event, in seconds."""

    @property
    def incarnation(self) -> int:
        """This gateway's incarnation, in ms."""

    @property
    def peer_incarnations(self) -> Mapping[int, int]:
        """The latest known incarnation of each peer, in ms."""

    @property
    def ring_neighbours(self) -> Set[int]:
        """The adjacent members in all rings that this gateway belongs to."""

    @property
    def accounts(self) -> Mapping[int, Account]:
        """All accounts by customer."""

    @property
    def active_accounts(self) -> Mapping[int, Account]:
        """Accounts, by customer, of rings whose quota shares are in use."""

    @property
    def actions(self) -> list[Action]:
        """The actions of the current event, to which heartbeats are appended."""

    def is_silent(self, peer: int, /) -> bool:
        """Return whether nothing was received from a peer for several exchanges."""

    def refill(self, account: Account, /) -> float:
        """Refill an account's token bucket up to the current time; return the account's quota share."""
