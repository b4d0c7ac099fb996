"""What a tier's run came to, from the outside: time to full service, worth lost, peaks, units over quota."""

from __future__ import annotations

import pathlib
import re
import statistics
from collections import Counter, defaultdict
from typing import Any

from ..decisions.gateway import NARROW
from ..recovery.quota_restore import AGGREGATED_INITIAL_FILL
from ..standin import clients

FULL_FOR, FULL_PART = 2.0, 0.98  # s for which service must be at that part of before to be full
IN_HAND = 1.5  # s before the first fault in which a request may still be caught by it
STEP = 0.1  # s between looks
WIDE_UNTOLD = 0.25  # of a wide ring's bursts, what members may spend before all have heard of it
PEAK_S = 0.25  # s, the span that a peak is looked for in


def bound(burst: float, spread: int, starts: int) -> float:
    """Units that may be let in beyond one customer's quota over any window; docs/recovery.md derives it.

    `starts` counts those of its gateways in and before the window, pauses not among them.
    """
    if spread <= NARROW:
        return 2 * burst + burst / spread * starts
    return WIDE_UNTOLD * spread * burst + AGGREGATED_INITIAL_FILL * burst * starts


def inside(asks: list[clients.Ask], who: dict[int, clients.Customer]) -> set[int]:
    """Which requests, by place, one bucket for all gateways would let in; every customer asks one unit."""
    stores: dict[int, tuple[float, float]] = {}
    made = set()
    for i, a in enumerate(asks):
        plan = clients.PLANS[a.customer.plan]
        level, last = stores.get(a.customer.id, (plan["store_size"], a.at))
        level = min(plan["store_size"], level + plan["quota_rate"] * (a.at - last))
        if level >= 1:
            made.add(i)
            level -= 1
        stores[a.customer.id] = level, a.at
    return made


def shares(asks: list[clients.Ask], allowed: set[int], low: float, high: float) -> tuple[float, float]:
    """Worth served in time of what was asked inside quotas, and quota used of what was asked inside."""
    mine = [(i, a) for i, a in enumerate(asks) if low <= a.at < high and i in allowed]
    worth = sum(a.worth for _, a in mine)
    served = sum(a.worth for _, a in mine if a.outcome == "served")
    used = sum(a.outcome in ("served", "late") for _, a in mine)
    return (served / worth, used / len(mine)) if mine else (1.0, 1.0)


def service(
    asks: list[clients.Ask],
    who: dict[int, clients.Customer],
    firsts: dict[int, list[float]],
    settled: float,
    first: float,
    last: float,
    end: float,
) -> dict[str, Any]:
    """Service before the first fault, the time to full service after the last one, and what was lost.

    `first` is the first fault, `last` when the last process was there again. Full is the first moment from
    which, for FULL_FOR, both shares are at least FULL_PART of those before.
    """
    allowed = inside(asks, who)
    before = shares(asks, allowed, min(settled, first - IN_HAND), first - IN_HAND)
    full, at = None, last
    while at + FULL_FOR <= end:
        now = shares(asks, allowed, at, at + FULL_FOR)
        if all(n >= FULL_PART * b for n, b in zip(now, before, strict=True)):
            full = at
            break
        at += STEP
    until = end if full is None else full
    lost = sum(
        a.worth * (before[0] - (a.outcome == "served"))
        for i, a in enumerate(asks)
        if i in allowed and first <= a.at < until
    )
    curve = [round(shares(asks, allowed, t / 2, t / 2 + 1)[0], 3) for t in range(int(end * 2) - 1)]
    return {
        "before": [round(b, 4) for b in before],
        "back_at": round(last, 2),
        "full_after": None if full is None else round(full - last, 2),
        "full_after_fault": None if full is None else round(full - first, 2),
        "lost_worth": round(lost, 1),
        "curve": curve,
        "curve_s": round(end - last, 1),
        "sent_on": sum(map(len, firsts.values())),
    }


def peaks(
    kinds: dict[str, list[tuple[float, str]]], settled: float, first: float, end: float
) -> dict[str, Any]:
    """The most of each kind in any PEAK_S from the first fault on, and the mean before it."""
    made = {}
    for kind, seen in kinds.items():
        steady = sum(settled <= at < first for at, _ in seen) / max(PEAK_S, first - settled) * PEAK_S
        total: Counter[int] = Counter(int(at / PEAK_S) for at, _ in seen if first <= at < end)
        each: dict[str, Counter[int]] = defaultdict(Counter)
        usual: dict[str, Counter[int]] = defaultdict(Counter)
        for at, where in seen:
            (each if at >= first else usual)[where][int(at / PEAK_S)] += 1
        made[kind] = {
            "steady": round(steady, 2),
            "peak": max(total.values(), default=0),
            "peak_one": max((max(c.values()) for c in each.values()), default=0),
            "steady_peak_one": max((max(c.values()) for c in usual.values()), default=0),
        }
    return made


def tail(values: list[float]) -> dict[str, float]:
    """Median, 99th percentile and the most, in ms."""
    if not values:
        return {}
    cuts = statistics.quantiles(values, n=100) if len(values) > 1 else values * 99
    return {
        "p50": round(1000 * cuts[49], 3),
        "p99": round(1000 * cuts[98], 3),
        "most": round(1000 * max(values), 3),
    }


def said_full(folder: pathlib.Path, gateways: int) -> list[list[float]]:
    """When each gateway said of itself that it is in full service, in s from its start, by its log."""
    made = []
    for i in range(gateways):
        log = folder / f"n{i}.log"
        text = log.read_text(errors="replace") if log.exists() else ""
        made.append([float(x) for x in re.findall(r"recovery state=full\b.*? after=([0-9.]+)", text)])
    return made
