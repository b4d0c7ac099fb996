"""One gateway's running totals as a line of its log, now and then; made only where the operators' file asks.

All figures count from the process's start, so a line lost costs nothing and a restart shows as a step back.
"""

from __future__ import annotations

from typing import Any

from .. import logs
from .invariants import counts


class Figures:
    """Writes the line `figures` every so many seconds."""

    def __init__(self, reactor: Any, gateway: Any, every: float) -> None:
        self.reactor, self.gateway, self.every = reactor, gateway, every

    def start(self) -> None:
        """Write one now, and go on."""
        logs.event("figures", **self.totals())
        self.reactor.callLater(self.every, self.start)

    def totals(self) -> dict[str, Any]:
        """What has been done and met so far, and how things stand now."""
        g, d = self.gateway, self.gateway.decisions
        tally = {k: g.tally[k] for k in ("success", "busy", "failure", "backend_calls", "told", "heard")}
        members = d.membership.metrics() if d.membership is not None else {}
        return {
            "asked": g.reader.number,
            **tally,
            "opened": g.pool.opened,
            **d.requests.rejection_counts,
            **counts,
            "now_open": len(g.rpcs),
            "now_servers": len(d.backends.records),
            "now_slow": round(d.latency_model.fleet_slowness, 3),
            "now_ejected": sum(s.is_ejected for s in d.backends.records.values()),
            "now_accounts": len(d.accounts),
            "now_demand": round(sum(a.demand for a in d.accounts.values()), 2),
            "now_slices": round(sum(a.base_share() for a in d.accounts.values() if not a.is_aggregated), 3),
            **members,
        }
