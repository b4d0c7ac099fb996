"""The whole decision module follows from its callers' time, the work and the quotas, and from nothing else.

Two properties, over drawn settings and loads: figures that only say how answers are scored change no action,
and of two requests with the same time left neither is favoured for being a first or a further try.
"""

import copy
import dataclasses
import random

import pytest

from corkdeal.decisions.actions import Reject, StartAttempt
from corkdeal.decisions.events import Status
from corkdeal.decisions.gateway import Gateway
from corkdeal.decisions.settings import Effect, Plan, RequestClass
from corkdeal.decisions.settings_parser import parse_settings
from corkdeal.experiment.overload import BackendModel, LoadPhase, Play, draw_calls
from tests.helpers import outcome, pick, request, servers, settings

EFFECTS = (Effect.IDEMPOTENT, Effect.IDEMPOTENCY_KEY, Effect.NOT_IDEMPOTENT)
UNLIMITED = Plan(rate=1e6, burst=1e6)


def draw_settings(rng, gateways):
    """Return settings of a tier with classes and plans of all kinds; some customers exceed their quotas."""
    classes = tuple(
        RequestClass(1.0, rng.uniform(0.5, 4.0), effect=effect, deduplication_window=rng.uniform(0.5, 10.0))
        for effect in EFFECTS
    )
    plans = (
        UNLIMITED,
        Plan(rate=rng.uniform(0.5, 3.0), burst=rng.uniform(3.0, 9.0)),
        Plan(max_in_flight=rng.randrange(2, 6)),
        Plan(rate=2.0, burst=6.0, hard_limit_rate=2.5, hard_limit_burst=8.0),
    )
    more = {
        "initial_capacity": rng.uniform(0.1, 0.5),
        "warm_up_time": rng.uniform(5.0, 20.0),
        "may_cancel": rng.random() < 0.8,
    }
    return [settings(index, gateways, classes, plans, **more) for index in range(gateways)]


def with_other_score(config, rng_seed):
    """The same settings with drawn latency objectives, weights, prices and slacks."""
    rng = random.Random(rng_seed)
    classes = tuple(
        dataclasses.replace(
            request_class,
            latency_objective=request_class.deadline * rng.uniform(0.05, 1.0),
            priority_weight=rng.uniform(0.1, 9.0),
            late_share=rng.random(),
            latency_objective_stretch=rng.uniform(0.0, 3.0),
        )
        for request_class in config.classes
    )
    plans = tuple(
        dataclasses.replace(
            plan,
            price=rng.uniform(0.1, 3.0),
            over_quota_weight=rng.random(),
            over_quota_cost=rng.random(),
        )
        for plan in config.plans
    )
    return dataclasses.replace(config, classes=classes, plans=plans, answer_slack=rng.random())


def play_actions(tier, seed, marks_repeats=False):
    """Play bursts on backends one of which is slow, one starting and one failing; returns all actions."""
    rng = random.Random(seed)
    backends = [
        BackendModel("usual", cores=2),
        BackendModel("slow", cores=2, speed=0.3),
        BackendModel("failing", cores=2, error_rate=0.3, max_queue=4),
        BackendModel("starting", cores=2, started=0.001),
    ]
    phases = (LoadPhase(4.0, 20.0), LoadPhase(4.0, 90.0), LoadPhase(4.0, 20.0))
    calls = draw_calls(rng, tier[0], phases, work=(0.05, 0.3))
    play = Play(tier, backends, calls, seed, repeat_delay=0.1, marks_repeats=marks_repeats)
    play.run()
    return play.actions


@pytest.mark.parametrize("seed", range(8))
def test_figures_of_the_score_change_no_action(seed):
    tier = draw_settings(random.Random(seed), gateways=(1, 2, 3, 12)[seed % 4])
    other = [with_other_score(config, seed) for config in tier]
    actions = play_actions(tier, seed)
    assert any(isinstance(action, Reject) for _, _, action in actions)
    assert actions == play_actions(other, seed)


@pytest.mark.parametrize("seed", range(4))
def test_marks_of_clients_retries_change_no_action(seed):
    tier = draw_settings(random.Random(seed), gateways=(1, 2, 3, 12)[seed % 4])
    assert play_actions(tier, seed) == play_actions(tier, seed, marks_repeats=True)


def test_prices_and_goals_are_no_settings():
    values = {
        "balancers": "1",
        "me": "0",
        "classes.count": "1",
        "classes.0.aim_us": "1000000",
        "classes.0.deadline_us": "3000000",
        "tiers_of_service.count": "1",
    }
    score = {"prices.late_fail": "9", "prices.waste": "9", "goal.worst_window": "1", "goal.whole": "0"}
    assert parse_settings(values) == parse_settings(values | score)


def loaded_gateway(rng):
    """A gateway with one backend that has answered for a while and has requests in flight."""
    classes = tuple(RequestClass(1.0, 4.0, effect=effect, deduplication_window=9.0) for effect in EFFECTS)
    gateway = Gateway(settings(0, 1, classes, (UNLIMITED,)), seed=rng.randrange(1000))
    gateway.handle(100.0, [servers("a")])
    latency = rng.uniform(0.05, 0.5)
    for number in range(20):
        gateway.handle(100.0 + number, [request(number, cls=number % 3, spread=1, timeout=4.0)])
        answer = outcome(number, 0, "a", elapsed=latency * rng.uniform(0.8, 1.2))
        gateway.handle(100.5 + number, [answer])
    for number in range(rng.randrange(13)):
        gateway.handle(120.0, [request(100 + number, cls=0, spread=1, timeout=4.0)])
    return gateway


@pytest.mark.parametrize("status", [Status.REJECTED, Status.CONNECT_FAILED, Status.ABANDONED])
def test_a_retry_of_what_has_not_run_is_decided_like_a_new_request(status):
    """Of two gateways in the same state one decides on a retry, the other on a request with as much time."""
    started = 0
    for seed in range(200):
        rng = random.Random(seed)
        retrying = loaded_gateway(rng)
        retrying.retries.budget = float(rng.randrange(3))
        request_class, timeout = rng.randrange(3), rng.uniform(0.8, 3.9)
        if not pick(retrying.handle(120.1, [tried(999, request_class, timeout)]), StartAttempt):
            continue
        now = 120.1 + rng.uniform(0.0, 0.9) * timeout
        renewed = copy.deepcopy(retrying)
        renewed.requests.pending[999].attempts = renewed.settings.max_attempts  # so it is not retried
        failed = outcome(999, 0, "a", status, elapsed=0.0)
        retry = pick(retrying.handle(now, [failed]), StartAttempt)
        as_new = renewed.handle(now, [failed, tried(1000, request_class, timeout - (now - 120.1))])
        new = pick(as_new, StartAttempt)
        assert len(retry) == len(new), (seed, request_class, timeout, now)
        started += len(new)
    assert 20 < started < 180  # both answers were given


def tried(request_id, request_class, timeout):
    return request(request_id, cls=request_class, spread=1, timeout=timeout)
