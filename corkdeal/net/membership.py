"""Connects membership to the running gateway: logs its events and announces a shutdown to the other members.

It is created only if the operators' options contain `membership`. The decisions send the heartbeats
themselves.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .. import logs
from ..decisions.incarnations import is_later
from ..membership.events import LeaseLost, LeaseRegained, MembershipEvent, SharesReturned, SharesTakenOver
from ..membership.failure_detector import StateChange
from ..membership.protocol import MembershipProtocol

POLL_INTERVAL = 0.1  # s between polls for events


class MembershipService:
    """Membership of one running gateway."""

    def __init__(self, reactor: Any, gateway: Any) -> None:
        self.reactor = reactor
        self.gateway = gateway
        self.protocol = MembershipProtocol(gateway.decisions, is_later)
        gateway.decisions.membership = self.protocol

    def start(self) -> None:
        """Start logging events, and register for the shutdown of the process."""
        self.gateway.shutdown.subsystems_to_stop.append(self)
        self.poll()

    def poll(self) -> None:
        """Log new events and schedule the next poll.

        While another incarnation of this gateway is running, that one holds the leases.
        """
        upgrade_handover = self.gateway.upgrade_handover
        self.protocol.set_delegated_share(
            upgrade_handover is not None and upgrade_handover.is_awaiting_remainder
        )
        for event in self.protocol.take_events():
            logs.event("membership", **log_fields(event))
        self.reactor.callLater(POLL_INTERVAL, self.poll)

    def stop(self, done: Callable[[], None]) -> None:
        """Announce the shutdown after the last reply, so that others may spend this gateway's quota shares.

        A gateway that handed its quota over to its successor announces nothing. `done` is called in either
        case.
        """
        upgrade_handover = self.gateway.upgrade_handover
        if upgrade_handover is None or not upgrade_handover.is_finished:
            decisions = self.gateway.decisions
            decisions.now = self.gateway.now()
            decisions.actions = []
            self.protocol.leave()
            for action in decisions.actions:
                self.gateway.send_to_peer(action)
        done()


def log_fields(event: MembershipEvent) -> dict[str, object]:
    """Return the fields of the log event `membership`, as documented for operators."""
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
