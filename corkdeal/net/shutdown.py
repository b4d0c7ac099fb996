"""The graceful shutdown of a gateway: what it does between SIGTERM and the end of the process."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from .. import logs
from .close_reason import CloseReason
from .invariants import count

if TYPE_CHECKING:
    from .gateway import Gateway

DRAIN_ACCEPT_TIME = 0.5  # s after SIGTERM in which connections are accepted; new ones keep arriving for 0.4 s
# SIGKILL follows SIGTERM after the longest deadline of the request classes (MAX_CLASS_DEADLINE s at most)
# plus KILL_DELAY s.
MAX_CLASS_DEADLINE = 3.0
KILL_DELAY = 0.7
# s before SIGKILL by which each open request gets its final answer: the process may be held up for 0.15 s,
# and takes up to 0.1 s to write the answers and to end
FINAL_ANSWER_MARGIN = 0.25


class GracefulShutdown:
    """Accepts connections for a while, closes them as they become idle, and ends before the kill."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.is_draining = False
        self.is_ending = False  # whether the last answer was given; subsystems are being stopped
        self.answer_deadline = math.inf  # while draining: when all must be answered
        # `stop(done)` of each is called after the last answer, before the process exits.
        self.subsystems_to_stop: list[Any] = []

    def begin(self) -> None:
        """Begin; later calls have no effect."""
        if self.is_draining:
            return
        self.is_draining = True
        gateway = self.gateway
        logs.event("draining", open=len(gateway.rpcs))
        longest = min(MAX_CLASS_DEADLINE, max(each.deadline for each in gateway.settings.classes))
        time_left = max(DRAIN_ACCEPT_TIME, longest + KILL_DELAY - FINAL_ANSWER_MARGIN)
        self.answer_deadline = gateway.now() + time_left
        gateway.reactor.callLater(DRAIN_ACCEPT_TIME, self.stop_accepting)
        gateway.reactor.callLater(time_left, self.answer_open_rpcs)

    def stop_accepting(self) -> None:
        """Stop accepting connections; requests on accepted ones are still answered."""
        gateway = self.gateway
        if gateway.upgrade_handover is not None:
            gateway.upgrade_handover.hand_over_remainder()
        if gateway.port:
            if (
                gateway.config.inherited is None
            ):  # the queue of an inherited socket is left to other processes
                gateway.port.accept_queued()
            gateway.port.stopListening()
        for connection in list(gateway.client_connections):
            connection.close_when_idle(CloseReason.SHUTDOWN)
        self.end_if_idle()

    def answer_open_rpcs(self) -> None:
        """Answer all requests that are still open, because the process will be killed soon.

        Clients that do not read their replies, or have sent part of a command, must not keep the subsystems
        from stopping before the kill.
        """
        for rpc in list(self.gateway.rpcs.values()):
            count("unserved_at_last_call")
            self.gateway.abandon(rpc)
        for connection in list(self.gateway.client_connections):
            connection.close_before_kill()

    def end_if_idle(self) -> None:
        """Stop the subsystems and the reactor, if the gateway is draining and nothing is open any more."""
        gateway = self.gateway
        if not self.is_draining or self.is_ending or gateway.client_connections or gateway.rpcs:
            return
        is_accepting = gateway.port and not (gateway.port.disconnecting or gateway.port.disconnected)
        if gateway.reactor.running and not is_accepting:
            self.is_ending = True
            gateway.watch.stop()
            self.stop_subsystems(self.subsystems_to_stop[:])

    def stop_subsystems(self, remaining: list[Any]) -> None:
        """Stop the given subsystems one after another, then the reactor."""
        if remaining:
            remaining.pop().stop(lambda: self.stop_subsystems(remaining))
            return
        self.gateway.log_counters()
        self.gateway.reactor.stop()
