"""Whether a request can be refused on its head alone, before its body has come: the quota's part of that.

The brain decides again once the whole command is there; nothing is spent here. A request refused here
counts as demand, as one refused there does, so slices still follow it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .events import Request

if TYPE_CHECKING:
    from .gateway import Gateway


def refusal(decisions: Gateway, now: float, e: Request) -> float | None:
    """Seconds after which to come again, where the customer's quota has no room for it now; else None."""
    decisions.now = now
    a = decisions.account(e.customer, e.plan, e.first_gateway, e.member_count)
    share = decisions.refill(a)
    inside = decisions.quota_fraction > 0 and decisions.admits(a, e.units, share)
    if inside or not a.plan.rate or a.plan.over_quota_weight > a.plan.over_quota_cost:
        return None
    a.last_request_at = now
    if a.is_aggregated:
        a.add_demand(e.units)
        decisions.aggregation_scheduler.mark_pending(e.customer, a)
    elif not e.is_retry:
        a.add_demand(e.units)
    return max(decisions.settings.tick, (e.units - a.level) / (decisions.rate(a) * share + 1e-6))
