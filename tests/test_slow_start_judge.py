"""The simulated slow start: the overload rule, and that budgets without limit or without credit show."""

import random
from dataclasses import replace

import pytest

from corkdeal.decisions.settings import Settings
from corkdeal.experiment.slow_start import (
    Burst,
    ColdStart,
    OverloadDetector,
    SlowStartSimulation,
    draw_cold_start,
)


def cold_start(gateways=40, backends=40, **more):
    settings = Settings(
        0,
        gateways,
        (),
        (),
        overload_multiple=4.0,
        overload_window=1.0,
        initial_capacity=0.25,
        warm_up_time=16.0,
    )
    given = {"capacity": 4.0, "size": 1.0, "work_choices": (0.25,), "load": 0.8}
    return ColdStart(settings, backends, **{**given, **more})


@pytest.mark.parametrize(
    "sent, fell, broken",
    [
        ([(0.0, 26, True)], False, False),  # N = 16 at the start, so that up to 26 requests are allowed
        ([(0.0, 27, True)], True, True),
        ([(0.0, 20, True), (0.9, 20, True)], True, True),
        ([(0.0, 20, True), (1.1, 20, True)], False, False),  # not within one window of 1 s
        ([(0.0, 17, True), (0.0, 10, False)], True, False),  # over a third from gateways not notified
        ([(16.0, 81, True)], False, False),  # N = 64 once the backend is warm
        ([(16.0, 83, True)], True, True),
    ],
)
def test_overload_is_judged_by_the_rule(sent, fell, broken):
    detector = OverloadDetector(cold_start())
    for age, requests, is_notified in sent:
        for _ in range(requests):
            if not detector.verdict.overloaded:
                detector.count_request(age, 0.25, is_notified)
    assert (detector.verdict.overloaded, detector.verdict.broken) == (fell, broken)


class UnlimitedBudget:
    """A budget without a limit."""

    def try_send(self, age, work):
        return True


class EmptyBudget:
    """A budget without credit."""

    def try_send(self, age, work):
        return False


def with_budget(kind, **more):
    simulation = SlowStartSimulation(cold_start(**more), seed=1)
    for gateway in simulation.gateways:
        gateway.try_send = kind().try_send
    return simulation.run()


def test_a_budget_without_bounds_breaks_the_rule_and_an_empty_one_does_nothing():
    assert with_budget(UnlimitedBudget).broken
    verdict = with_budget(EmptyBudget)
    assert not verdict.overloaded and verdict.done == verdict.sent == 0 and verdict.capacity_work > 0


def test_an_overload_by_gateways_not_notified_is_no_violation():
    verdict = with_budget(EmptyBudget, notified_within=1e6, assumed_warm=True, load=3.0)
    assert verdict.overloaded and not verdict.broken


def test_lulls_bursts_and_restarts_are_simulated():
    bursts = (Burst(2.0, 1.0, 0.0), Burst(3.0, 1.0, 3.0))
    simulation = SlowStartSimulation(cold_start(bursts=bursts, restarts=((6.0, 1.0),)), seed=1)
    first = list(simulation.gateways)
    ages = [age for age, _, _ in simulation.arrivals()]
    usual = 0.8 * 16 * 10
    assert not [a for a in ages if 2.0 < a < 3.0]
    assert sum(3.0 < a < 4.0 for a in ages) == pytest.approx(3 * usual, rel=0.25)
    assert sum(8.0 < a < 12.0 for a in ages) == pytest.approx(4 * usual, rel=0.25)
    simulation.run()
    assert not set(map(id, first)) & set(map(id, simulation.gateways))


@pytest.mark.parametrize("gateways", [5, 30, 200, 1100])
def test_drawn_starts_have_the_tier_size_and_are_reproducible(gateways):
    starts = [draw_cold_start(gateways, random.Random(n)) for n in range(20)]
    assert starts == [draw_cold_start(gateways, random.Random(n)) for n in range(20)]
    assert {s.settings.gateway_count for s in starts} == {gateways} and len({s.backends for s in starts}) > 2
    short = replace(starts[0], work_choices=(starts[0].mean_work,))
    assert SlowStartSimulation(short, 3).run() == SlowStartSimulation(short, 3).run()
