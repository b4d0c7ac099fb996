"""The quota meter of the experiments: it must detect wrong decisions, independently of the implementation."""

import pytest

from corkdeal.decisions.settings import Plan
from corkdeal.experiment import quotas

RATE = Plan(rate=2.0, burst=6.0, price=2.0, over_quota_cost=0.5)
OPEN = Plan(max_in_flight=2, over_quota_cost=1.0)


def make_customer(plan=0, number=0, **more):
    return quotas.Customer(number, plan, 0, 2, quotas.CALM, 1.0, **more)


@pytest.mark.parametrize(
    "plan, sent, inside, beyond",
    [
        (RATE, [(0, 2), (0, 2), (0, 2)], 6, 0),  # the bucket holds six units
        (RATE, [(0, 4), (0, 4), (0, 2)], 6, 4),  # units beyond the quota take nothing from the bucket
        (RATE, [(0, 6), (1, 2), (1, 1)], 8, 1),  # it refills by two units/s
        (RATE, [(0, 6), (9, 6), (9, 1)], 12, 1),  # and never exceeds the burst
        (OPEN, [(0, 1), (0, 1), (0, 1)], 2, 1),  # at most two in flight
    ],
)
def test_what_is_inside_and_beyond_a_quota(plan, sent, inside, beyond):
    meter, customer = quotas.QuotaMeter((plan,)), make_customer(level=plan.burst)
    for at, units in sent:
        meter.sent(customer, at, units)
    assert (meter.inside[0], meter.beyond[0]) == (inside, beyond)


def test_an_ended_attempt_frees_its_slot():
    meter, customer = quotas.QuotaMeter((OPEN,)), make_customer()
    for _ in range(3):
        meter.sent(customer, 0.0, 1)
        customer.open_attempts -= 1
    assert (meter.inside[0], meter.beyond[0]) == (3, 0)


def test_the_over_quota_cost_is_relative_to_the_value_offered():
    meter, customer = quotas.QuotaMeter((RATE,)), make_customer(level=6.0, ideal_level=6.0)
    for _ in range(4):  # an ideal gateway admits three of these
        meter.offer(customer, 0.0, 2)
        meter.sent(customer, 0.0, 2)
    assert meter.table() == {"inside": 1.0, "over_quota": round(2 * 0.5 / 6, 4), "beyond": [round(2 / 6, 3)]}


class AdmitsAll(quotas.Gateway):
    """Decisions that ignore quotas."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.admission.is_within_quota = lambda *_: True


class RejectsAll(quotas.Gateway):
    """Decisions that reject every request."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.admission.is_within_quota = lambda *_: False


def fleet(**more):
    return quotas.Fleet((RATE,), (30,), gateways=12, seconds=6.0, **more)


def test_wrong_decisions_are_detected():
    gateway_classes = (quotas.Gateway, AdmitsAll, RejectsAll)
    normal, all_admitted, none_admitted = (
        quotas.Simulation(fleet(), 1, gateway_class).run() for gateway_class in gateway_classes
    )
    assert all_admitted["over_quota"] > 3 * normal["over_quota"]
    assert none_admitted["inside"] == none_admitted["over_quota"] == 0.0 < normal["inside"]


def test_a_run_is_determined_by_its_seed():
    first, again, other = (quotas.Simulation(fleet(), seed).run() for seed in (1, 1, 2))
    assert first == again != other


def test_messages_beyond_the_intake_limit_are_dropped():
    free, full = (quotas.Simulation(fleet(loss=0.0, intake=intake), 1) for intake in (1000.0, 2.0))
    assert free.run()["not_taken"] == 0.0 < full.run()["not_taken"]
    assert max(full.received.values()) > 2.0 * (6 + 1)  # one received more than its intake limit


def test_a_killed_gateway_gets_no_requests_until_it_restarts():
    simulation = quotas.Simulation(fleet(), 1)
    simulation.run(2.0)
    simulation.kill(3)
    before = simulation.received[3]
    simulation.run(4.0)
    assert 3 not in simulation.gateways and simulation.first_attempts > 0
    simulation.start(3)
    assert simulation.run()["inside"] > 0.5 and simulation.received[3] >= before and 3 in simulation.gateways
