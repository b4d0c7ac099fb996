"""Unit tests of the play of callers against a service in virtual time."""

import random

from corkdeal.decisions.settings import Plan
from corkdeal.experiment.overload import NETWORK_DELAY, BackendModel, Call, LoadPhase, Play, draw_calls
from tests.helpers import settings

UNLIMITED = Plan(rate=1e6, burst=1e6)


def one_gateway():
    return settings(0, 1, plans=(UNLIMITED,))


def test_a_call_takes_its_work_and_the_way_there_and_back():
    play = Play([one_gateway()], [BackendModel("a", speed=2.0)], [Call(1.0, 0, 7, 0, 0, 0.4, 3.0)], seed=1)
    (result,) = play.run().values()
    assert result.is_served_in_time
    assert abs(result.answered_after - 0.2 - 2 * NETWORK_DELAY) < 1e-9


def test_work_for_a_caller_who_has_left_is_wasted():
    play = Play([one_gateway()], [BackendModel("a")], [Call(1.0, 0, 7, 0, 0, 2.0, 0.5)], seed=1)
    (result,) = play.run().values()
    assert not result.is_served_in_time and play.summary().wasted_work == 2.0


def test_a_rejected_call_is_repeated_once_and_counted_once():
    beyond_quota = settings(0, 1, plans=(Plan(rate=1e-3, burst=1.0),))
    calls = [Call(at, 0, 7, 0, 0, 0.1, 3.0) for at in (1.0, 2.0)]
    play = Play([beyond_quota], [BackendModel("a")], calls, seed=1, repeat_delay=0.2)
    outcomes = [(result.is_repeat, result.outcome) for result in play.run().values()]
    assert outcomes == [(False, "served"), (False, "rejected"), (True, "rejected")]
    assert (play.summary().calls, play.summary().served_in_time) == (2, 1)


def test_the_same_seed_plays_the_same():
    config = one_gateway()
    plays = []
    for _ in range(2):
        calls = draw_calls(random.Random(3), config, (LoadPhase(5.0, 20.0),), (0.1, 0.3))
        play = Play([config], [BackendModel("a", cores=2, error_rate=0.2)], calls, 3)
        play.run()
        plays.append(play.actions)
    assert plays[0] == plays[1]
