"""Membership on the sockets: its events go to the log, and the end of the program is announced.

Made only where the operators' file has `membership`. The decisions send the heartbeats themselves.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .. import logs
from ..decisions.plumbing import later
from ..membership.events import LeaseLost, LeaseRegained, MembershipEvent, SharesReturned, SharesTakenOver
from ..membership.failure_detector import StateChange
from ..membership.members import Members

POLL_INTERVAL = 0.1  # s between polls of the events


class Membership:
    """One gateway's place among the members."""

    def __init__(self, reactor: Any, gateway: Any) -> None:
        self.reactor = reactor
        self.gateway = gateway
        self.members = Members(gateway.decisions, later)
        gateway.decisions.membership = self.members

    def start(self) -> None:
        """Begin to log events; the end of the program is announced to the others."""
        self.gateway.before_end.append(self)
        self.poll()

    def poll(self) -> None:
        """Log what happened. Beside another incarnation of this gateway, that one holds the leases."""
        succession = self.gateway.succession
        self.members.delegate_share(succession is not None and succession.waits)
        for event in self.members.take_events():
            logs.event("membership", **log_fields(event))
        self.reactor.callLater(POLL_INTERVAL, self.poll)

    def stop(self, done: Callable[[], None]) -> None:
        """The gateway ends after its last answer: others may spend its quota shares from now on.

        One that handed its quota to the next incarnation of the same gateway does not leave.
        """
        succession = self.gateway.succession
        if succession is None or not succession.done:
            decisions = self.gateway.decisions
            decisions.now = self.gateway.now()
            decisions.actions = []
            self.members.leave()
            for action in decisions.actions:
                self.gateway.tell(action)
        done()


def log_fields(event: MembershipEvent) -> dict[str, object]:
    """The fields of the log event `membership`, as on its operators' page."""
    match event:
        case StateChange(member, state, previous, reason):
            return {
                "what": "member",
                "member": member,
                "state": state.value,
                "before": previous.value,
                "why": reason,
            }
        case SharesTakenOver(member):
            return {"what": "slices_taken", "member": member}
        case SharesReturned(member):
            return {"what": "slices_back", "member": member}
        case LeaseLost(neighbours):
            return {"what": "slices_unsure", "neighbours": ",".join(map(str, neighbours))}
        case LeaseRegained(neighbours):
            return {"what": "slices_sure", "neighbours": ",".join(map(str, neighbours))}
