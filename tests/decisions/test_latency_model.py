"""Unit tests of the latency model: initial predictions, and what it learns from answers."""

import random

import pytest

from corkdeal.decisions.accounts import Account
from corkdeal.decisions.backends import BackendRecord
from corkdeal.decisions.events import Endpoint, EndpointState
from corkdeal.decisions.latency_model import (
    DEVIATION_MULTIPLE,
    INITIAL_DEVIATION,
    INITIAL_LATENCY_FRACTION,
    LatencyModel,
)
from corkdeal.decisions.pending_request import PendingRequest
from corkdeal.decisions.settings import RequestClass
from tests.helpers import PLAN, request

SHORT = RequestClass(latency_objective=1.0, deadline=3.0)
LONG = RequestClass(latency_objective=4.0, deadline=9.0)
CLASSES = (SHORT, LONG)


def pending(request_class=0, units=1.0):
    account = Account(PLAN, 0, 0, 1, 100.0, 100.0)
    return PendingRequest(
        request(1, cls=request_class, units=units), CLASSES[request_class], account, units, 103.0
    )


def backend():
    return BackendRecord(Endpoint("a", EndpointState.READY))


def test_before_an_answer_the_deadline_gives_the_usual_latency():
    model = LatencyModel(CLASSES, is_large_tier=False)
    assert model.usual_latency(pending(1)) == INITIAL_LATENCY_FRACTION * 9.0
    assert model.mean_usual_latency() == model.initial_latency == INITIAL_LATENCY_FRACTION * 3.0


def test_the_first_answer_of_a_class_and_size_gives_its_usual_latency():
    model = LatencyModel(CLASSES, is_large_tier=False)
    model.learn(pending(0), backend(), latency=0.02, load=0.0, capacity_fraction=1.0)
    assert model.usual_latency(pending(0)) == pytest.approx(0.02)
    assert model.usual_latency(pending(1)) == INITIAL_LATENCY_FRACTION * 9.0


def test_an_idle_backends_answers_become_the_usual_latency_of_their_class_and_size_alone():
    model, answering = LatencyModel(CLASSES, is_large_tier=False), backend()
    for _ in range(200):
        model.learn(pending(0, 2.5), answering, latency=0.4, load=0.0, capacity_fraction=1.0)
    assert model.usual_latency(pending(0, 3.0)) == pytest.approx(0.4, rel=0.01)  # sizes are rounded up
    assert model.usual_latency(pending(0, 2.0)) == INITIAL_LATENCY_FRACTION * 3.0
    assert model.fleet_latency_ratio == pytest.approx(1.0, rel=0.05)


def test_a_loaded_backends_answer_moves_the_usual_latency_less():
    idle, loaded = LatencyModel(CLASSES, False), LatencyModel(CLASSES, False)
    for model in (idle, loaded):
        model.learn(pending(), backend(), latency=0.2, load=0.0, capacity_fraction=1.0)
    idle.learn(pending(), backend(), latency=0.8, load=0.0, capacity_fraction=1.0)
    loaded.learn(pending(), backend(), latency=0.8, load=4.0, capacity_fraction=1.0)
    assert 0.2 < loaded.usual_latency(pending()) < idle.usual_latency(pending())


def test_a_lasting_queue_does_not_become_the_usual_latency():
    """Else an overload would make every backend look fast for its load, and the overload would go on."""
    model, busy = LatencyModel(CLASSES, False), backend()
    for load in (0.0, 1.0) * 20 + (9.0,) * 400:
        model.learn(pending(), busy, 0.2 * max(1.0, 0.5 * (1 + load)), load, capacity_fraction=1.0)
    assert model.usual_latency(pending()) == pytest.approx(0.2, rel=0.1)
    assert model.expected_latency(pending(), 9.0, busy.latency_ratio) == pytest.approx(1.0, rel=0.1)
    assert model.expected_latency(pending(), 19.0, busy.latency_ratio) == pytest.approx(2.0, rel=0.1)


def test_the_requests_of_other_gateways_lengthen_the_wait_behind_ones_own():
    """With three gateways alike, each request that this one has in flight stands for three."""
    model, shared = LatencyModel(CLASSES, False), backend()
    for load in (0.0,) * 20 + (1.0, 2.0, 3.0) * 200:
        model.learn(pending(), shared, 0.2 * (1 + 1.5 * load), load, capacity_fraction=1.0)
    expected = [model.expected_latency(pending(), load, shared.latency_ratio) for load in (2.0, 6.0)]
    assert expected == pytest.approx([0.8, 2.0], rel=0.2)


def test_the_deviation_begins_at_a_half_and_becomes_that_of_the_answers():
    model, steady, rng = LatencyModel(CLASSES, False), backend(), random.Random(1)
    assert model.latest_latency(pending(), 0.0, 1.0) == pytest.approx(
        (1 + DEVIATION_MULTIPLE * INITIAL_DEVIATION) * model.expected_latency(pending(), 0.0, 1.0)
    )
    late = 0
    for number in range(2200):
        latency = 0.2 * rng.gauss(1.0, 0.2)
        late += number >= 200 and latency > model.latest_latency(pending(), 0.0, steady.latency_ratio)
        model.learn(pending(), steady, latency, load=0.0, capacity_fraction=1.0)
    assert model.deviation == pytest.approx(0.16, abs=0.05)  # the mean deviation of that distribution
    assert late / 2000 == pytest.approx(0.05, abs=0.025)


def test_an_attempt_without_an_answer_took_at_least_its_age():
    model, slow = LatencyModel(CLASSES, False), backend()
    model.learn(pending(), slow, latency=0.2, load=0.0, capacity_fraction=1.0)
    before = model.latest_latency(pending(), 3.0, slow.latency_ratio)
    model.learn_unanswered(pending(), slow, age=0.1, load=3.0, capacity_fraction=1.0)
    assert model.latest_latency(pending(), 3.0, slow.latency_ratio) == before  # that is no news
    for _ in range(60):
        model.learn_unanswered(pending(), slow, age=3.0, load=3.0, capacity_fraction=1.0)
    assert model.latest_latency(pending(), 3.0, slow.latency_ratio) > 3.0


def test_a_backend_slower_than_the_fleet_stands_out():
    model, fast, slow = LatencyModel(CLASSES, False), backend(), backend()
    for _ in range(100):
        model.learn(pending(), fast, latency=0.2, load=1.0, capacity_fraction=1.0)
        model.learn(pending(), slow, latency=0.8, load=1.0, capacity_fraction=1.0)
    assert slow.latency_ratio > 2 * fast.latency_ratio


def test_a_large_tier_learns_the_fleets_slowness_from_fewer_answers():
    small, large = LatencyModel(CLASSES, False), LatencyModel(CLASSES, True)
    for model in (small, large):
        for latency in (0.2, 1.5):
            model.learn(pending(), backend(), latency, load=0.0, capacity_fraction=1.0)
    assert 1.0 < small.fleet_latency_ratio < large.fleet_latency_ratio


def test_requests_in_flight_lengthen_the_expected_latency():
    model = LatencyModel(CLASSES, False)
    idle = model.expected_latency(pending(), load=0.0, latency_ratio=1.0)
    assert idle == model.usual_latency(pending())
    assert model.expected_latency(pending(), load=9.0, latency_ratio=2.0) == pytest.approx(
        idle * 0.5 * 10 * 2.0
    )


def test_work_is_relative_to_the_mean_request():
    model = LatencyModel(CLASSES, False)
    model.usual_latencies = {(0, 1): 0.1, (1, 1): 0.3}
    assert model.work(pending(1)) == pytest.approx(3 * model.work(pending(0)))
    assert (model.work(pending(0)) + model.work(pending(1))) / 2 == pytest.approx(model.initial_latency)
