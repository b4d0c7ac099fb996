"""What membership needs of the decisions that it belongs to."""

from __future__ import annotations

import random
from collections.abc import Mapping, Set
from typing import Protocol

from ..decisions.accounts import Account
from ..decisions.actions import Action
from ..decisions.settings import Settings


class MembershipHost(Protocol):
    """The part of a gateway's decisions that membership reads, and the two calls that it makes."""

    @property
    def settings(self) -> Settings:
        """The settings; they don't change."""

    @property
    def random(self) -> random.Random:
        """The decisions' generator; membership seeds its own from it."""

    @property
    def now(self) -> float:
        """The time of the present event, in seconds."""

    @property
    def incarnation(self) -> int:
        """This gateway's incarnation, in ms."""

    @property
    def peer_incarnations(self) -> Mapping[int, int]:
        """The latest known incarnation of each peer, in ms."""

    @property
    def ring_neighbours(self) -> Set[int]:
        """The adjacent members of all rings that this gateway is in."""

    @property
    def accounts(self) -> Mapping[int, Account]:
        """All accounts by customer."""

    @property
    def active_accounts(self) -> Mapping[int, Account]:
        """Accounts of rings whose quota shares are in use, by customer."""

    @property
    def actions(self) -> list[Action]:
        """The actions of the present event; heartbeats are appended."""

    def is_silent(self, peer: int, /) -> bool:
        """Whether nothing arrived from a peer for several exchanges."""

    def refill(self, account: Account, /) -> float:
        """Bring an account's token bucket up to now; returns its quota share."""
