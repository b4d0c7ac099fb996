"""Unit tests of the latency model: initial predictions, and what it learns from answers."""

import pytest

from corkdeal.decisions.accounts import Account
from corkdeal.decisions.backends import BackendRecord
from corkdeal.decisions.events import Endpoint, EndpointState
from corkdeal.decisions.latency_model import INITIAL_LATENCY, LatencyModel
from corkdeal.decisions.pending_request import PendingRequest
from corkdeal.decisions.settings import RequestClass
from tests.helpers import PLAN, request

SHORT = RequestClass(latency_objective=1.0, deadline=3.0)
LONG = RequestClass(latency_objective=4.0, deadline=9.0)
CLASSES = (SHORT, LONG)


def pending(request_class=0, units=1.0):
    account = Account(PLAN, 0, 0, 1, 100.0, 100.0)
    return PendingRequest(
        request(1, cls=request_class, units=units), CLASSES[request_class], account, units, 100.0, 103.0
    )


def backend():
    return BackendRecord(Endpoint("a", EndpointState.READY))


def test_before_an_answer_the_latency_objective_gives_the_usual_latency():
    model = LatencyModel(CLASSES, is_large_tier=False)
    assert model.usual_latency(pending(1)) == INITIAL_LATENCY * 4.0
    assert model.mean_usual_latency() == model.initial_latency == INITIAL_LATENCY * 1.0


def test_an_idle_backends_answers_become_the_usual_latency_of_their_class_and_size_alone():
    model, answering = LatencyModel(CLASSES, is_large_tier=False), backend()
    for _ in range(200):
        model.learn(pending(0, 2.5), answering, latency=0.4, load=0.0, capacity_fraction=1.0)
    assert model.usual_latency(pending(0, 3.0)) == pytest.approx(0.4, rel=0.01)  # sizes are rounded up
    assert model.usual_latency(pending(0, 2.0)) == INITIAL_LATENCY * 1.0
    assert model.fleet_latency_ratio == pytest.approx(1.0, rel=0.05)


def test_a_loaded_backends_answer_moves_the_usual_latency_less():
    idle, loaded = LatencyModel(CLASSES, False), LatencyModel(CLASSES, False)
    idle.learn(pending(), backend(), latency=0.4, load=0.0, capacity_fraction=1.0)
    loaded.learn(pending(), backend(), latency=0.4, load=4.0, capacity_fraction=1.0)
    assert INITIAL_LATENCY < loaded.usual_latency(pending()) < idle.usual_latency(pending())


def test_a_backend_slower_than_the_fleet_stands_out():
    model, fast, slow = LatencyModel(CLASSES, False), backend(), backend()
    for _ in range(100):
        model.learn(pending(), fast, latency=0.2, load=1.0, capacity_fraction=1.0)
        model.learn(pending(), slow, latency=0.8, load=1.0, capacity_fraction=1.0)
    assert slow.latency_ratio > 2 * fast.latency_ratio


def test_a_large_tier_learns_the_fleets_slowness_from_fewer_answers():
    small, large = LatencyModel(CLASSES, False), LatencyModel(CLASSES, True)
    for model in (small, large):
        model.learn(pending(), backend(), latency=1.5, load=0.0, capacity_fraction=1.0)
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
