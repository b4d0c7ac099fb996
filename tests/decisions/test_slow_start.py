"""Slow start over a fleet of gateways, each of which knows only its own requests."""

import math
import random

import pytest

from corkdeal.decisions.actions import StartAttempt
from corkdeal.decisions.backends import BackendRecord
from corkdeal.decisions.events import Endpoint, EndpointState, UpdateKind
from corkdeal.decisions.gateway import Gateway
from corkdeal.decisions.settings import Plan, RequestClass
from corkdeal.decisions.slow_start import DecayingRate, SlowStartBudget
from corkdeal.experiment.slow_start import SlowStartSimulation, draw_cold_start
from tests.helpers import outcome, pick, request, servers, settings

WORK, RATE, CAPACITY = 0.2, 8.0, 11.0  # s per request; requests/s that a warm backend gets and can serve


@pytest.mark.parametrize("gateways, skew", [(4, 0.0), (40, 0.0), (40, 1.2), (150, 0.7)])
def test_a_fleet_uses_a_cold_backend_without_overloading_it(gateways, skew):
    """Each gateway prefers 10 of 30 backends, and would send all its requests to the cold one."""
    rng = random.Random(gateways)
    config = settings(gateways=gateways, initial_capacity=0.25, warm_up_time=16.0, overload_multiple=4.0)
    budgets = [SlowStartBudget(config, random.Random(i), WORK) for i in range(gateways)]
    sharing = [index for index in range(gateways) if gateways < 10 or index % 3 == 0]
    weights = [1 / (1 + index) ** skew for index in range(gateways)]
    cold = [BackendRecord(Endpoint("new", EndpointState.READY, started=20.0)) for _ in range(gateways)]
    preferred = 30 if gateways < 10 else 10
    # requests/s
    warm_backend_rate = sum(weights[index] for index in sharing) / sum(weights) * RATE * 30 / preferred
    sent, now = [], 0.0
    while now < 36.0:
        now += rng.expovariate(RATE * 30)
        index = rng.choices(range(gateways), weights)[0]
        sharers = gateways * preferred / 30
        may_send = (
            now > 20.0 and index in sharing and budgets[index].has_credit(cold[index], now, WORK, sharers)
        )
        if may_send and budgets[index].spend_credit(cold[index], WORK):
            sent.append(now)
        else:
            budgets[index].served.add(now, WORK / preferred)
    for at in sent:
        capacity_fraction = 0.25 + 0.75 * (at - 20.0) / 16.0
        assert sum(at - 1.0 < x <= at for x in sent) <= 4.0 * capacity_fraction * max(
            warm_backend_rate, CAPACITY
        )
    expected = sum(RATE * (0.25 + 0.75 * k / 16) for k in range(16))  # at the load of warm backends
    assert len(sent) > 0.8 * expected


def test_a_cold_backend_is_used_before_anything_was_served():
    config = settings(gateways=40, initial_capacity=0.25, warm_up_time=16.0)
    budget = SlowStartBudget(config, random.Random(1), WORK)
    cold = BackendRecord(Endpoint("new", EndpointState.READY, started=1.0))
    sent = 0
    for k in range(160):
        if budget.has_credit(cold, 1.0 + k / 10, WORK, 40.0) and budget.spend_credit(cold, WORK):
            sent += 1
    # two cores assumed over all gateways: 2 x 4 x 0.4 x capacity fraction x 16 s / 0.2 s / 40
    assert 1 <= sent <= 24


@pytest.mark.parametrize("seconds", [3, 8, 60])
def test_the_rate_served_is_known_from_the_first_seconds(seconds):
    budget = SlowStartBudget(settings(), random.Random(1), WORK)
    for k in range(seconds * 10):
        budget.served.add(100.0 + k / 10, WORK / 5.0)
    assert budget.served.rate(100.0 + seconds) == pytest.approx(10 * WORK / 5.0, rel=0.15)


def test_work_is_independent_of_slow_backends():
    """Credit is counted as work, so a latency that doubles under load must not halve the requests sent."""
    heavy, light = (
        RequestClass(latency_objective=1.0, deadline=9.0),
        RequestClass(latency_objective=1.0, deadline=9.0),
    )
    gateway = Gateway(settings(0, 4, plans=(Plan(rate=1e6, burst=1e6),), classes=(heavy, light)), seed=1)
    gateway.handle(100.0, [servers("a", "b")])
    works = []
    for k in range(800):
        now, slow = 100.0 + k / 10, 1 if k < 400 else 4
        send = pick(gateway.handle(now, [request(k, cls=k % 2, timeout=9.0)]), StartAttempt)[0]
        if k in (398, 399, 798, 799):
            works.append(gateway.latency_model.work(gateway.requests.pending[k]))
        latency = (0.02 if k % 2 else 0.04) * slow
        gateway.handle(now, [outcome(k, 0, send.backend, elapsed=latency)])
    assert works[:2] == pytest.approx(works[2:], rel=0.1)
    assert works[0] == pytest.approx(2 * works[1], rel=0.1)


@pytest.mark.parametrize("gateways", [5, 30, 200, 1100])
def test_no_random_cold_start_is_overloaded_and_the_backend_is_used(gateways):
    """The short version of benchmarks/slow_start.py."""
    results = [
        SlowStartSimulation(draw_cold_start(gateways, random.Random(f"{gateways} {n}")), n).run()
        for n in range(60)
    ]
    assert not [n for n, v in enumerate(results) if v.broken]
    served_shares = [v.done / v.capacity_work for v in results if not v.overloaded]
    assert sum(served_shares) / len(served_shares) > (0.8 if gateways < 100 else 0.45)


def budgets_of(gateways, works, load, seed):
    """Return the budget of each gateway, and its record of a cold backend.

    For 10 s before, the gateways together gave each warm backend `load` s of work per second.
    """
    config = settings(
        gateways=gateways, initial_capacity=0.25, warm_up_time=1e9, overload_multiple=4.0, overload_window=1.0
    )
    mean = sum(works) / len(works)
    budgets = [SlowStartBudget(config, random.Random(seed + i), mean) for i in range(gateways)]
    for budget in budgets:
        for k in range(101):
            budget.served.add(k / 10, load / 10 / gateways)
    cold = [
        BackendRecord(Endpoint("new", EndpointState.READY, started=10.0), first_seen_at=10.0) for _ in budgets
    ]
    return budgets, cold


@pytest.mark.parametrize("gateways", [2, 8, 30, 300])
@pytest.mark.parametrize("works", [(0.2,), (0.1, 0.3)])
def test_a_burst_after_a_pause_stays_below_the_overload_limit(gateways, works):
    """After a pause, each gateway tries to send ten requests within one window.

    With few sharers, budgets start with random credit, so full buckets at all of them are not covered here.
    """
    rng = random.Random(1)
    for seed in range(0, 20_000, 1000):
        budgets, cold = budgets_of(gateways, works, load=2.6, seed=seed)
        sent_work = 0.0
        for at in sorted(rng.uniform(15.0, 16.0) for _ in range(10)):
            for budget, backend in zip(budgets, cold, strict=True):
                work = rng.choice(works)
                if budget.has_credit(backend, at, work, gateways) and budget.spend_credit(backend, work):
                    sent_work += work
        allowed = 2.6 * 4.0 * 0.25 / 0.2
        assert sent_work / 0.2 <= allowed + 2 * math.sqrt(allowed) + 2


def test_all_gateways_have_the_same_chance_of_a_large_and_of_a_small_request():
    sent = {0.1: 0.0, 0.3: 0.0}
    for work in sent:
        for seed in range(0, 40_000, 1000):
            budgets, cold = budgets_of(100, (0.1, 0.3), load=2.6, seed=seed)
            for at in (11.0, 12.0, 13.0, 14.0):
                for budget, backend in zip(budgets, cold, strict=True):
                    if budget.has_credit(backend, at, work, 100) and budget.spend_credit(backend, work):
                        sent[work] += work
    assert sent[0.1] == pytest.approx(sent[0.3], rel=0.2)


@pytest.mark.parametrize("is_sent, goes_to", [(True, "new"), (False, "warm")])
def test_a_failed_draw_sends_the_request_to_the_next_best_backend(is_sent, goes_to):
    gateway = Gateway(settings(0, 200, plans=(Plan(rate=1e6, burst=1e6),)), seed=1)
    gateway.handle(100.0, [servers("warm")])
    gateway.handle(100.0, [servers("new", kind=UpdateKind.DELTA, started=100.0)])
    draws = []
    gateway.slow_start.has_credit = lambda backend, now, work, sharers: True
    gateway.slow_start.spend_credit = (
        lambda backend, work: draws.append((backend.endpoint.backend, work)) or is_sent
    )
    gateway.backends.records["warm"].in_flight.update({-k: (100.0, 0.0) for k in range(1, 3)})
    assert pick(gateway.handle(100.1, [request(1, spread=200)]), StartAttempt)[0].backend == goes_to
    assert draws == [("new", gateway.latency_model.initial_latency)]
    # a draw uses up credit, so none is made if another backend is better
    gateway.backends.records["warm"].in_flight.clear()
    gateway.backends.records["new"].in_flight.update({-k: (100.0, 0.0) for k in range(1, 3)})
    assert pick(gateway.handle(100.2, [request(2, spread=200)]), StartAttempt)[0].backend == "warm"
    assert len(draws) == 1


def test_the_first_answer_does_not_count_as_a_rate():
    rate = DecayingRate(10.0)
    rate.add(100.0, 5.0)
    assert rate.rate(100.0) == rate.rate(101.0) == 0.0
    rate.add(101.0, 5.0)
    assert rate.rate(101.0) == pytest.approx(5.0, rel=0.06)
    assert rate.rate(101.0, assumed=1.0, span=1.0) == pytest.approx(3.0, rel=0.06)
