"""Logs one gateway's metrics at a fixed interval; created only if the options file enables it.

All counters start at 0 with the process, so a lost line loses no counts, and a restart shows as a decrease.
"""

from __future__ import annotations

from typing import Any

from .. import logs
from .invariants import counts


class MetricsLogger:
    """Writes the log event `figures` every `interval` seconds."""

    def __init__(self, reactor: Any, gateway: Any, interval: float) -> None:
        self.reactor, self.gateway, self.interval = reactor, gateway, interval

    def start(self) -> None:
        """Write one line now and schedule the next one."""
        logs.event("figures", **self.metrics())
        self.reactor.callLater(self.interval, self.start)

    def metrics(self) -> dict[str, Any]:
        """Counters since the start, and gauges (`now_...`) with their present values."""
        gateway, decisions = self.gateway, self.gateway.decisions
        counters = {
            k: gateway.counters[k] for k in ("success", "busy", "failure", "backend_calls", "told", "heard")
        }
        membership_metrics = decisions.membership.metrics() if decisions.membership is not None else {}
        return {
            "asked": gateway.command_parser.request_count,
            **counters,
            "opened": gateway.pool.opened,
            **decisions.requests.rejection_counts,
            **counts,
            "now_open": len(gateway.rpcs),
            "now_servers": len(decisions.backends.records),
            "now_slow": round(decisions.latency_model.fleet_latency_ratio, 3),
            "now_ejected": sum(s.is_ejected for s in decisions.backends.records.values()),
            "now_accounts": len(decisions.accounts),
            "now_demand": round(sum(a.demand for a in decisions.accounts.values()), 2),
            "now_slices": round(
                sum(a.base_share() for a in decisions.accounts.values() if not a.is_aggregated), 3
            ),
            **membership_metrics,
        }
