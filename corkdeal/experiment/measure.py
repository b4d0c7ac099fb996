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

FULL_DURATION, FULL_FRACTION = 2.0, 0.98  # s in which both shares must reach that part of their old values
IN_FLIGHT_MARGIN = 1.5  # s before the first fault; a request sent then may still be affected by it
EVALUATION_INTERVAL = 0.1  # s between evaluations
UNNOTIFIED_FRACTION = 0.25  # of the sum of a wide ring's bursts, may be spent before all members are notified
PEAK_WINDOW = 0.25  # s, width of the window in which a peak is counted


def over_admission_bound(burst: float, spread: int, starts: int) -> float:
    """Units that may be admitted beyond a customer's quota in any window; docs/recovery.md derives the bound.

    `spread` is the number of the customer's gateways; `starts` counts their starts before and within the
    window, pauses not included.
    """
    if spread <= MAX_EXCHANGE_MEMBERS:
        return 2 * burst + burst / spread * starts
    return UNNOTIFIED_FRACTION * spread * burst + AGGREGATED_INITIAL_FILL * burst * starts


def requests_within_quota(
    requests: list[clients.ClientRequest], customers: dict[int, clients.Customer]
) -> set[int]:
    """Indices of the requests that one token bucket per customer would admit; a request costs one unit."""
    buckets: dict[int, tuple[float, float]] = {}
    allowed = set()
    for i, request in enumerate(requests):
        plan = clients.PLANS[request.customer.plan]
        level, last = buckets.get(request.customer.id, (plan["store_size"], request.at))
        level = min(plan["store_size"], level + plan["quota_rate"] * (request.at - last))
        if level >= 1:
            allowed.add(i)
            level -= 1
        buckets[request.customer.id] = level, request.at
    return allowed


def service_shares(
    requests: list[clients.ClientRequest], allowed: set[int], low: float, high: float
) -> tuple[float, float]:
    """The parts of worth served in time and of quota used, of the requests within quotas in [low, high)."""
    selected = [
        (i, request) for i, request in enumerate(requests) if low <= request.at < high and i in allowed
    ]
    worth = sum(request.worth for _, request in selected)
    served = sum(request.worth for _, request in selected if request.outcome == "served")
    used = sum(request.outcome in ("served", "late") for _, request in selected)
    return (served / worth, used / len(selected)) if selected else (1.0, 1.0)


def service_metrics(
    requests: list[clients.ClientRequest],
    customers: dict[int, clients.Customer],
    first_attempts: dict[int, list[float]],
    settled: float,
    first: float,
    last: float,
    end: float,
) -> dict[str, Any]:
    """Service before the first fault, the time to full service after the last one, and the worth lost.

    `first` is the time of the first fault, `last` that at which the last process had returned. Service is
    full from the first moment on from which both shares are at least FULL_FRACTION of those before the fault,
    for FULL_DURATION seconds.
    """
    allowed = requests_within_quota(requests, customers)
    before = service_shares(
        requests, allowed, min(settled, first - IN_FLIGHT_MARGIN), first - IN_FLIGHT_MARGIN
    )
    full_at, at = None, last
    while at + FULL_DURATION <= end:
        current = service_shares(requests, allowed, at, at + FULL_DURATION)
        if all(
            share >= FULL_FRACTION * share_before for share, share_before in zip(current, before, strict=True)
        ):
            full_at = at
            break
        at += EVALUATION_INTERVAL
    until = end if full_at is None else full_at
    lost = sum(
        request.worth * (before[0] - (request.outcome == "served"))
        for i, request in enumerate(requests)
        if i in allowed and first <= request.at < until
    )
    curve = [
        round(service_shares(requests, allowed, t / 2, t / 2 + 1)[0], 3) for t in range(int(end * 2) - 1)
    ]
    return {
        "before": [round(share_before, 4) for share_before in before],
        "back_at": round(last, 2),
        "full_after": None if full_at is None else round(full_at - last, 2),
        "full_after_fault": None if full_at is None else round(full_at - first, 2),
        "lost_worth": round(lost, 1),
        "curve": curve,
        "curve_s": round(end - last, 1),
        "sent_on": sum(map(len, first_attempts.values())),
    }


def peak_metrics(
    kinds: dict[str, list[tuple[float, str]]], settled: float, first: float, end: float
) -> dict[str, Any]:
    """By kind of event: the mean count per PEAK_WINDOW before the first fault, and the maximum from it on.

    `peak` covers all places together, `peak_one` any single place (a backend, for instance),
    `steady_peak_one` the same before the fault.
    """
    result = {}
    for kind, events in kinds.items():
        steady = (
            sum(settled <= at < first for at, _ in events) / max(PEAK_WINDOW, first - settled) * PEAK_WINDOW
        )
        totals: Counter[int] = Counter(int(at / PEAK_WINDOW) for at, _ in events if first <= at < end)
        counts_during: dict[str, Counter[int]] = defaultdict(Counter)
        counts_before: dict[str, Counter[int]] = defaultdict(Counter)
        for at, place in events:
            (counts_during if at >= first else counts_before)[place][int(at / PEAK_WINDOW)] += 1
        result[kind] = {
            "steady": round(steady, 2),
            "peak": max(totals.values(), default=0),
            "peak_one": max((max(c.values()) for c in counts_during.values()), default=0),
            "steady_peak_one": max((max(c.values()) for c in counts_before.values()), default=0),
        }
    return result


def latency_summary(values: list[float]) -> dict[str, float]:
    """Median, 99th percentile and maximum, in ms."""
    if not values:
        return {}
    percentiles = statistics.quantiles(values, n=100) if len(values) > 1 else values * 99
    return {
        "p50": round(1000 * percentiles[49], 3),
        "p99": round(1000 * percentiles[98], 3),
        "most": round(1000 * max(values), 3),
    }


def full_service_times(folder: pathlib.Path, gateways: int) -> list[list[float]]:
    """Seconds from each start of each gateway until it reported full recovery, read from its log."""
    times = []
    for i in range(gateways):
        log = folder / f"n{i}.log"
        text = log.read_text(errors="replace") if log.exists() else ""
        times.append([float(x) for x in re.findall(r"recovery state=full\b.*? after=([0-9.]+)", text)])
    return times
