"""Explores every single partition and stall among three gateways; longer sequences are run by a command."""

import pytest

from corkdeal.experiment import membership
from corkdeal.membership import leases
from corkdeal.membership.failure_detector import MemberState


def settled_simulation(seed=1):
    simulation = membership.Simulation(3, 3, seed)
    for index in simulation.running:
        simulation.send_request(index, 0)
    simulation.run(membership.SETTLE_TIME)
    return simulation


def test_no_quota_share_is_spent_twice_in_any_partition_or_stall_and_all_recover():
    names, faults = zip(*membership.walk(settled_simulation(), 1), strict=True)
    assert len(names) == 22 and not [f for each in faults for f in each]


@pytest.mark.parametrize(
    ("target", "attribute", "value"),
    [
        (leases, "LEASE_TIME", 9.0),  # the owner trusts its lease for longer than others wait to take over
        (leases.Leases, "may_renew", lambda self, member, now: False),  # no lease is ever renewed
    ],
)
def test_exploration_finds_leases_that_are_held_wrongly(monkeypatch, target, attribute, value):
    monkeypatch.setattr(target, attribute, value)
    initial = settled_simulation()
    faults = []
    for condition in membership.exploration_steps(3):
        if condition.name in ("1 apart", "1 still", "clear"):
            simulation = membership.copy.deepcopy(initial)
            for step in (condition, condition, condition, membership.ExplorationStep("clear", frozenset())):
                faults += membership.apply_step(simulation, step)
            faults += [
                str(index)
                for index, gateway in simulation.running.items()
                if not gateway.membership.is_share_exclusive(gateway.accounts[7])
            ]
    assert faults


def test_all_members_detect_a_death_and_a_short_stall_is_no_death():
    death_report = membership.measure_detection(5, 3, 1, 0.12, 2)
    assert death_report["most_s"] < 6.0 and len(death_report["known_s"]) == 2
    alarm_report = membership.measure_false_alarms(5, 3, 1, 0.12, True, 60.0)
    assert alarm_report["gone_wrongly"] == 0 and alarm_report["messages_per_gateway_s"] < 30
    simulation = settled_simulation()
    simulation.pause(1, 8.0)
    simulation.run(6.0)
    assert {
        gateway.membership.detector.members[1].state
        for index, gateway in simulation.running.items()
        if index != 1
    } == {MemberState.DEAD}
