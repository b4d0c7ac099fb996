"""Metrics of a tier's run, as seen by its clients and backends: time to full service, worth lost, peaks."""

from __future__ import annotations

import pathlib
import re
import statistics
from collections import Counter, defaultdict
from typing import Any

from ..decisions.accounts import MAX_EXCHANGE_MEMBERS
from ..recovery.quota_restore import AGGREGATED_INITIAL_FILL
from ..standin import clients

FULL_FOR, FULL_PART = 2.0, 0.98  # s for which both shares must reach that part of their former values
IN_HAND = 1.5  # s before the first fault; a request sent then may still be affected by it
STEP = 0.1  # s between evaluations
WIDE_UNTOLD = 0.25  # of the sum of a wide ring's bursts, may be spent before all members are notified
PEAK_S = 0.25  # s, width of the window in which a peak is counted


def over_admission_bound(burst: float, spread: int, starts: int) -> float:
    """Units that may be admitted beyond a customer's quota in any window; docs/recovery.md derives the bound.

    `spread` is the number of the customer's gateways; `starts` counts their starts before and within the
    window, pauses not included.
    """
    if spread <= MAX_EXCHANGE_MEMBERS:
        return 2 * burst + burst / spread * starts
    return WIDE_UNTOLD * spread * burst + AGGREGATED_INITIAL_FILL * burst * starts


def inside(asks: list[clients.Ask], who: dict[int, clients.Customer]) -> set[int]:
    """Indices of the requests that one token bucket per customer would admit; a request costs one unit."""
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
    """The parts of worth served in time and of quota used, of the requests within quotas in [low, high)."""
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
    """Service before the first fault, the time to full service after the last one, and the worth lost.

    `first` is the time of the first fault, `last` that at which the last process had returned. Service is
    full from the first moment on from which both shares are at least FULL_PART of those before the fault, for
    FULL_FOR seconds.
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
    """By kind of event: the mean count per PEAK_S before the first fault, and the maximum from it on.

    `peak` covers all places together, `peak_one` any single place (a backend, for instance),
    `steady_peak_one` the same before the fault.
    """
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
    """Median, 99th percentile and maximum, in ms."""
    if not values:
        return {}
    cuts = statistics.quantiles(values, n=100) if len(values) > 1 else values * 99
    return {
        "p50": round(1000 * cuts[49], 3),
        "p99": round(1000 * cuts[98], 3),
        "most": round(1000 * max(values), 3),
    }


def said_full(folder: pathlib.Path, gateways: int) -> list[list[float]]:
    """Seconds from each start of each gateway until it reported full recovery, read from its log."""
    made = []
    for i in range(gateways):
        log = folder / f"n{i}.log"
        text = log.read_text(errors="replace") if log.exists() else ""
        made.append([float(x) for x in re.findall(r"recovery state=full\b.*? after=([0-9.]+)", text)])
    return made
