"""Applies this process's part of the gateway's limits to its memory budget and its descriptors."""

from __future__ import annotations

from typing import Any

from . import allocator, process_memory
from .budget import CONNECTION_MEMORY
from .descriptors import RESERVED
from .process_limits import Allowance, GatewayLimits, OtherProcesses, Usage, allow

TRIM_INTERVAL = 0.1  # s between returns of freed memory to the system, while there are other processes


class AppliedLimits:
    """What this process may use of its gateway's limits now, and what it uses."""

    def __init__(self, gateway: Any) -> None:
        self.gateway = gateway
        self.limits = GatewayLimits(gateway.config.memory, gateway.config.sockets)
        self.allowance = Allowance(gateway.budget.limit, gateway.descriptors.limit)
        self.trimmed_at = 0.0  # s; when freed memory was returned last

    def usage(self) -> Usage:
        """Return what this process uses now."""
        gateway = self.gateway
        connection_memory = len(gateway.client_connections) * CONNECTION_MEMORY
        return Usage(
            anonymous_memory=process_memory.measure().anonymous,
            held_by_names_and_connections=gateway.name_memory.held_bytes + connection_memory,
            committed=gateway.budget.committed,
            connections=gateway.descriptors.open_count,
        )

    def allow(self, others: OtherProcesses) -> Allowance:
        """Return what this process may use beside the others."""
        is_draining = self.gateway.shutdown.is_draining
        return allow(self.limits, self.usage(), others, self.allowance, is_draining)

    def adapt(self, others: OtherProcesses) -> None:
        """Use what the others leave."""
        self.apply(self.allow(others), others)

    def apply(self, allowance: Allowance, others: OtherProcesses) -> None:
        """Apply an allowance; what is held beyond it is freed, as far as that can be done now."""
        budget, descriptors = self.gateway.budget, self.gateway.descriptors
        if allowance.budget != budget.limit:
            fixed = self.usage().held_by_names_and_connections if others else 0
            budget.change_limit(allowance.budget, fixed)
        if allowance.connections != descriptors.limit:
            descriptors.change_limit(allowance.connections)
        descriptors.is_shared = bool(others)
        descriptors.may_leave_queued = may_leave_queued(allowance, others)
        if others:
            descriptors.close_excess(self.gateway.shutdown.is_draining)
            self.return_free_memory(is_urgent=allowance.budget < self.allowance.budget)
        self.allowance = allowance

    def return_free_memory(self, is_urgent: bool) -> None:
        """Return freed memory to the system, for the others; the allocator would keep it."""
        now = self.gateway.now()
        if is_urgent or now - self.trimmed_at >= TRIM_INTERVAL:
            self.trimmed_at = now
            allocator.return_free_memory()


def may_leave_queued(allowance: Allowance, others: OtherProcesses) -> bool:
    """Return whether another process may accept clients, or is about to free descriptors for this one."""
    if any(claim.is_started for claim in others.younger):
        return True
    return any(claim.descriptors > RESERVED + allowance.connections for claim in others.older)
