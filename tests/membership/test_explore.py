"""Explores every single partition and stall among three gateways; longer sequences are run by a command."""

import pytest

from corkdeal.experiment import members
from corkdeal.membership import leases
from corkdeal.membership.failure_detector import MemberState


def world(seed=1):
    made = members.World(3, 3, seed)
    for me in made.up:
        made.ask(me, 0)
    made.run(members.SETTLE)
    return made


def test_no_slice_is_spent_twice_in_any_cut_or_pause_and_all_heals():
    names, faults = zip(*members.walk(world(), 1), strict=True)
    assert len(names) == 22 and not [f for each in faults for f in each]


@pytest.mark.parametrize(
    ("where", "what", "wrong"),
    [
        (leases, "LEASE_TIME", 9.0),  # the owner trusts its lease for longer than others wait to take over
        (leases.Leases, "may_renew", lambda self, member, now: False),  # no lease is ever renewed
    ],
)
def test_a_lease_kept_wrongly_is_found(monkeypatch, where, what, wrong):
    monkeypatch.setattr(where, what, wrong)
    begin = world()
    faults = []
    for way in members.ways(3):
        if way.name in ("1 apart", "1 still", "clear"):
            after = members.copy.deepcopy(begin)
            for each in (way, way, way, members.Way("clear", frozenset())):
                faults += members.follow(after, each)
            faults += [
                str(me) for me, g in after.up.items() if not g.membership.is_share_exclusive(g.accounts[7])
            ]
    assert faults


def test_a_death_is_known_to_all_and_a_short_pause_is_none():
    seen = members.deaths(5, 3, 1, 0.12, 2)
    assert seen["most_s"] < 6.0 and len(seen["known_s"]) == 2
    quiet = members.alarms(5, 3, 1, 0.12, True, 60.0)
    assert quiet["gone_wrongly"] == 0 and quiet["messages_per_gateway_s"] < 30
    still = world()
    still.pause(1, 8.0)
    still.run(6.0)
    assert {g.membership.detector.members[1].state for me, g in still.up.items() if me != 1} == {
        MemberState.DEAD
    }
