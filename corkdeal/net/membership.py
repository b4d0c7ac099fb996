"""Membership on the sockets: what the decisions see of the tier goes to the log, and an end is told.

Made only where the operators' file has `membership`. The decisions beat by themselves.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .. import logs
from ..decisions.incarnations import is_later
from ..membership.members import Members

LOOK_EVERY = 0.1  # s between looks for what is to be logged


class Membership:
    """One gateway's place among the members."""

    def __init__(self, reactor: Any, gateway: Any) -> None:
        self.reactor, self.gateway = reactor, gateway
        self.members = gateway.decisions.membership = Members(gateway.decisions, is_later)

    def start(self) -> None:
        """Begin to look; the end of the program is told to the others."""
        self.gateway.before_end.append(self)
        self.look()

    def look(self) -> None:
        """Log what is seen otherwise. Beside another life of this gateway, that one holds the leases."""
        succession = self.gateway.succession
        self.members.trusts = succession is not None and succession.waits
        said, self.members.said = self.members.said, []
        for pairs in said:
            logs.event("membership", **pairs)
        self.reactor.callLater(LOOK_EVERY, self.look)

    def stop(self, done: Callable[[], None]) -> None:
        """The gateway ends after its last answer: its slices may be spent by others from now on.

        One that handed its quota to the next life of the same gateway does not leave.
        """
        succession = self.gateway.succession
        if succession is None or not succession.done:
            decisions = self.gateway.decisions
            decisions.now, decisions.actions = self.gateway.now(), []
            self.members.leave()
            for action in decisions.actions:
                self.gateway.tell(action)
        done()
