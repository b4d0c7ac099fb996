"""Unit tests of the limit on the wait in queues, and whom it serves in an overload that lasts."""

import random

import pytest

from corkdeal.decisions.settings import Plan, RequestClass
from corkdeal.decisions.wait_limit import SHUT_OUT_FRACTION, WaitLimit
from corkdeal.experiment.overload import BackendModel, LoadPhase, Play, draw_calls
from tests.helpers import settings

UNLIMITED = Plan(rate=1e6, burst=1e6)


def test_before_a_request_nothing_is_exceeded():
    assert not WaitLimit().is_exceeded(60.0)


def test_all_but_a_few_requests_can_wait_for_the_limit():
    limit, rng = WaitLimit(), random.Random(1)
    shut_out = 0
    for number in range(3000):
        slack = rng.uniform(1.0, 4.0)
        shut_out += number >= 200 and not limit.is_exceeded(slack)
        limit.record(slack)
    assert shut_out / 2800 == pytest.approx(SHUT_OUT_FRACTION, abs=0.04)


def test_requests_that_no_queue_is_short_enough_for_do_not_count():
    limit = WaitLimit()
    limit.record(2.0)
    for _ in range(1000):
        limit.record(-0.1)
    assert limit.is_exceeded(2.1) and not limit.is_exceeded(1.9)


def test_the_limit_follows_callers_whose_time_changes():
    limit = WaitLimit()
    for slack in (0.5,) * 300 + (4.0,) * 1000:
        limit.record(slack)
    assert not limit.is_exceeded(3.5)


@pytest.mark.parametrize("gateways", [1, 3])
def test_in_a_lasting_overload_callers_with_little_time_are_served_too(gateways):
    """Without the limit those with 1.5 to 2 s are next to never served: others keep the queue longer."""
    callers = RequestClass(latency_objective=1.0, deadline=3.0)
    tier = [settings(index, gateways, (callers,), (UNLIMITED,)) for index in range(gateways)]
    backends = [BackendModel(name, cores=2) for name in "abcd"]
    calls = draw_calls(random.Random(1), tier[0], (LoadPhase(40.0, 60.0),), work=(0.15, 0.25))
    play = Play(tier, backends, calls, seed=1)
    play.run()
    later = [result for result in play.results.values() if result.call.at > 10.0]
    served = {
        is_short: [r.is_served_in_time for r in later if (r.call.timeout < 2.0) is is_short]
        for is_short in (True, False)
    }
    shares = {is_short: sum(values) / len(values) for is_short, values in served.items()}
    assert shares[True] > shares[False] / 2
    capacity = 4 * 2 / 0.2 * 30.0
    assert sum(map(sum, served.values())) > 0.9 * capacity
