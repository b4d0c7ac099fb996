"""Operators' control of a gateway: its state and metrics, standby, and backends held out by an operator.

`ops.py` offers it over HTTP. Nothing here blocks or waits.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from .. import logs
from . import process_memory
from .close_reason import CloseReason
from .endpoint_list import EndpointList


class Operators:
    """Operators' commands to one gateway, and the metrics that they read."""

    def __init__(self, gateway: Any, endpoint_list: EndpointList) -> None:
        self.gateway, self.endpoint_list, self.overrides = gateway, endpoint_list, endpoint_list.overrides
        self.standby = False  # if set, PING gets an error, and client connections close as they become idle
        self.counters: Counter[str] = Counter()  # answers by kind, attempts, reloads and peer messages

    @property
    def is_ready(self) -> bool:
        """Whether new clients should use this gateway: it is serving, neither draining nor on standby."""
        return self.gateway.is_serving and not (self.gateway.shutdown.is_draining or self.standby)

    def state(self) -> str:
        """The gateway's state as one word."""
        return (
            "ending"
            if self.gateway.shutdown.is_draining
            else "standby"
            if self.standby
            else "serving"
            if self.gateway.is_serving
            else "starting"
        )

    def metrics(self) -> dict[str, int]:
        """Metrics: counters since the start, and gauges of open requests, backends and loop lateness."""
        listed, down = self.endpoint_list.count_listed()
        memory = process_memory.measure()
        counters = {k: self.counters[k] for k in ("success", "busy", "failure", "backend_calls")}
        return {
            **counters,
            "inflight": len(self.gateway.rpcs),
            "hosts_listed": listed,
            "hosts_down": down,
            "reconfig_ok": self.counters["reconfig_ok"],
            "reconfig_failed": self.counters["reconfig_failed"],
            "loop_late_ms": round(1000 * self.gateway.lateness.max_lateness),
            "memory_held": self.gateway.budget.total,
            "memory_budget": self.gateway.budget.limit,
            "memory_resident": memory.resident,
            "memory_anonymous": memory.anonymous,
        }

    def enter_standby(self) -> bool:
        """Enter standby: PING fails, and idle client connections close. Returns whether it is a change."""
        if self.standby:
            return False
        self.standby = True
        logs.event(
            "standby", open=len(self.gateway.rpcs), client_connections=len(self.gateway.client_connections)
        )
        for connection in list(self.gateway.client_connections):
            connection.close_when_idle(CloseReason.STANDBY)
        return True

    def end_standby(self) -> bool:
        """End standby; new client connections stay open again. Returns whether it is a change."""
        if not self.standby:
            return False
        self.standby = False
        logs.event("active")
        return True

    def sync_overrides(self) -> None:
        """Apply overrides made at the predecessor or successor, while both processes are running."""
        for backend in sorted(self.overrides.reload_if_replaced()) if self.overrides is not None else ():
            logs.event("held_elsewhere", server=backend, out=backend in self.overrides.held_out)
            self.endpoint_list.update_override(backend)

    def hold_out(self, backend: str) -> bool | None:
        """Hold a backend out, whatever its state in the endpoint list.

        Returns whether it is a change; None for an unknown id.
        """
        assert self.overrides is not None
        if not self.endpoint_list.is_known(backend):
            return None
        self.sync_overrides()  # first, so that the file written next keeps overrides made at another process
        is_change = self.overrides.hold_out(backend)
        logs.event("held_out", server=backend, new=is_change)
        self.endpoint_list.update_override(backend)
        return is_change

    def return_to_service(self, backend: str) -> bool | None:
        """Return a backend to service as one that has just started.

        Returns whether it was held out; None for an unknown id.
        """
        assert self.overrides is not None
        if not self.endpoint_list.is_known(backend):
            return None
        self.sync_overrides()
        was_held_out = self.overrides.let_back(backend, self.gateway.now())
        logs.event("let_back", server=backend, new=was_held_out)
        self.endpoint_list.update_override(backend)
        return was_held_out
