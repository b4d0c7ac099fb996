"""The budget of cold servers over a whole fleet of gateways, each of which knows only its own requests."""

import random

import pytest

from corkdeal import interface as t
from corkdeal.brain import Gateway
from corkdeal.slow_start import SlowStartBudget
from corkdeal.state import Server

from .helpers import outcome, pick, request, servers, settings

WORK, RATE, CAPACITY = 0.2, 8.0, 11.0  # s a request; requests a second that a warm server gets, and could


@pytest.mark.parametrize("gateways, skew", [(4, 0.0), (40, 0.0), (40, 1.2), (150, 0.7)])
def test_a_fleet_uses_a_cold_server_and_does_not_push_it_over(gateways, skew):
    """Of 30 servers each gateway prefers 10; all would like to send the cold one everything."""
    rng = random.Random(gateways)
    s = settings(gateways=gateways, cold_share=0.25, warm_within=16.0, fall_multiple=4.0)
    budgets = [SlowStartBudget(s, random.Random(i)) for i in range(gateways)]
    sharing = [g for g in range(gateways) if gateways < 10 or g % 3 == 0]
    weights = [1 / (1 + g) ** skew for g in range(gateways)]
    cold = [Server(t.ServerEntry("new", t.ServerState.READY, started=20.0)) for _ in range(gateways)]
    preferred = 30 if gateways < 10 else 10
    borne = sum(weights[g] for g in sharing) / sum(weights) * RATE * 30 / preferred  # by a warm one of theirs
    sent, now = [], 0.0
    while now < 36.0:
        now += rng.expovariate(RATE * 30)
        g = rng.choices(range(gateways), weights)[0]
        if now > 20.0 and g in sharing and budgets[g].room(cold[g], now, WORK, gateways * preferred / 30):
            budgets[g].spend(cold[g], WORK)
            sent.append(now)
        else:
            budgets[g].served(now, WORK, preferred)
    for at in sent:
        warmth = 0.25 + 0.75 * (at - 20.0) / 16.0
        assert sum(at - 1.0 < x <= at for x in sent) <= 4.0 * warmth * max(borne, CAPACITY)
    due = sum(RATE * (0.25 + 0.75 * k / 16) for k in range(16))  # at the load that warm ones bear
    assert len(sent) > 0.8 * due


def test_without_anything_served_yet_a_cold_server_is_still_tried():
    s = settings(gateways=40, cold_share=0.25, warm_within=16.0)
    budget = SlowStartBudget(s, random.Random(1))
    cold = Server(t.ServerEntry("new", t.ServerState.READY, started=1.0))
    sent = 0
    for k in range(160):
        if budget.room(cold, 1.0 + k / 10, WORK, 40.0):
            budget.spend(cold, WORK)
            sent += 1
    assert 1 <= sent <= 24  # two cores over all gateways: 2 x 4 x 0.4 x warmth x 16 s / 0.2 s / 40


@pytest.mark.parametrize("seconds", [3, 8, 60])
def test_the_rate_served_is_known_from_the_first_seconds(seconds):
    budget = SlowStartBudget(settings(), random.Random(1))
    for k in range(seconds * 10):
        budget.served(100.0 + k / 10, WORK, 5.0)
    assert budget.rate(100.0 + seconds) == pytest.approx(10 * WORK / 5.0, rel=0.15)


def test_work_counts_the_same_while_servers_are_slow():
    """The budget is work; a latency that doubles under load must not halve it."""
    heavy, light = t.RequestClass(aim=1.0, deadline=9.0), t.RequestClass(aim=1.0, deadline=9.0)
    g = Gateway(settings(0, 4, plans=(t.Plan(rate=1e6, burst=1e6),), classes=(heavy, light)), seed=1)
    g.handle(100.0, [servers("a", "b")])
    seen = []
    for k in range(800):
        now, slow = 100.0 + k / 10, 1 if k < 400 else 4
        send = pick(g.handle(now, [request(k, cls=k % 2, patience=9.0)]), t.Send)[0]
        if k in (398, 399, 798, 799):
            seen.append(g.work_of(g.requests[k]))
        took = (0.02 if k % 2 else 0.04) * slow
        g.handle(now, [outcome(k, 0, send.server, elapsed=took)])
    assert seen[:2] == pytest.approx(seen[2:], rel=0.1)
    assert seen[0] == pytest.approx(2 * seen[1], rel=0.1)
