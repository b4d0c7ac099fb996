"""Coming back after a pause or a start: what is old is not used, states are left for their reasons."""

import pytest

from corkdeal import interface as t
from corkdeal.recovery import waking
from corkdeal.recovery.pulse import LEAST, Pulse
from corkdeal.recovery.standing import Standing, together
from tests.helpers import Ring, outcome, pick, request


def test_a_pulse_tells_a_pause_once_and_a_busy_turn_not_at_all():
    pulse = Pulse()
    beats = [pulse.beat(at) for at in (5.0, 5.1, 5.1 + LEAST / 2, 9.0, 9.1)]
    assert beats[:3] == [0.0] * 3 and beats[3] == pytest.approx(9.0 - 5.1 - LEAST / 2) and beats[4] == 0.0


def paused(seconds):
    """A ring of three of which number 1 stood still and woke before it heard anybody."""
    ring = Ring()
    ring.run(6.0, ask=lambda me: 0.2)
    still = ring.gateways.pop(1)
    ring.run(seconds, ask=lambda me: 0.2)
    ring.flight.clear()
    return ring, still


def test_a_bucket_does_not_fill_while_its_slice_is_on_loan():
    ring, still = paused(6.0)
    account, level = still.accounts[7], still.accounts[7].level
    waking.wake(still, ring.now, 6.0)
    still.now = ring.now
    still.refill(account)
    assert account.level == pytest.approx(level, abs=0.6)
    ahead = ring.gateways[2].slice(ring.gateways[2].accounts[7])
    assert ahead > ring.gateways[2].accounts[7].base()  # the loan that the wake has to reckon with


def test_what_neighbours_told_before_a_pause_backs_nothing_and_nobody_is_silent():
    ring, still = paused(2.0)
    account = still.accounts[7]
    account.level = 0.0
    waking.wake(still, ring.now, 2.0)
    still.now = ring.now
    assert not still.admits(account, 1.0, still.refill(account))
    assert not any(still.silent(p) for p in account.pairs)
    assert still.slice(account) == pytest.approx(account.base())


def test_servers_are_not_held_to_be_hung_for_the_time_of_a_pause():
    ring = Ring(1)
    one = ring.gateways[0]
    sent = pick(one.handle(101.0, [request(1, spread=1)]), t.Send)
    waking.wake(one, 161.0, 60.0)
    for rid, server in [(1, one.servers[sent[0].server])]:
        one.now = 161.0
        one.watch(rid, server)
        assert not server.ejected
        one.handle(161.1, [outcome(1, 0, sent[0].server, elapsed=0.1)])


def test_nothing_is_sent_by_a_list_that_may_be_old_and_what_waits_goes_out_with_the_new_one():
    one = Ring(1).gateways[0]
    one.blind = True
    assert not pick(one.handle(101.0, [request(1, spread=1)]), t.Send)
    one.blind = False
    assert [s.id for s in pick(one.handle(101.1, [t.TimerDue(0)]), t.Send)] == [1]


def test_a_request_that_lay_unread_past_its_aim_is_refused_and_a_young_one_is_not():
    one = Ring(1).gateways[0]
    one.handle(101.0, [request(n, spread=1) for n in (1, 2, 3)])  # no server is due for a look
    old = one.handle(101.1, [request(8, spread=1, waited=0.95)])
    young = one.handle(101.1, [request(9, spread=1, waited=0.1)])
    assert pick(old, t.Refuse) and not pick(old, t.Send) and pick(young, t.Send)


@pytest.mark.parametrize(
    ("born", "peers", "expected"),
    [
        (50_000, {1: 49_000, 2: 1_000}, (1, 2)),
        (50_000, {}, (0, 0)),
        (500, {1: (1 << 32) - 500}, (1, 1)),  # the milliseconds began anew in between
    ],
)
def test_who_came_back_together_is_told_by_incarnations(born, peers, expected):
    assert together(born, peers) == expected


def test_among_many_is_what_counts_while_nobody_was_heard():
    standing = Standing(0.0)
    assert standing.among_many(50_000, {}) and standing.among_many(50_000, {1: 49_000, 2: 1, 3: 1})
    assert not standing.among_many(50_000, {1: 1, 2: 1, 3: 1})


def walk(standing, until, heard=2, served=20, refused=0, listed=0.0, began=0.0):
    """States as they were left: `served` and `refused` a second."""
    made = []
    for tick in range(1, int(until * 10) + 1):
        now = began + tick / 10
        standing.listed = standing.listed or now >= began + listed
        left = standing.look(now, heard, 2, int(served * now), int(refused * now))
        made += [(left.state, left.why, round(left.after, 1))] if left else []
    return made


@pytest.mark.parametrize(
    ("given", "left"),
    [
        ({}, [("learning", "list, neighbours heard", 0.1), ("full", "served", 2.1)]),
        ({"heard": 1}, [("learning", "list, 1 of 2 neighbours heard", 1.1), ("full", "served", 3.1)]),
        (
            {"listed": 99.0},
            [("learning", "list did not come, neighbours heard", 2.1), ("full", "served", 4.2)],
        ),
        ({"served": 0}, [("learning", "list, neighbours heard", 0.1), ("full", "nothing asked", 2.1)]),
        ({"refused": 20}, [("learning", "list, neighbours heard", 0.1), ("full", "levelled off", 2.2)]),
        ({"served": 1}, [("learning", "list, neighbours heard", 0.1), ("full", "served", 20.0)]),
    ],
)
def test_states_are_left_for_their_reasons(given, left):
    assert walk(Standing(0.0), 40.0, **given) == left


def test_a_pause_begins_it_anew():
    standing = Standing(0.0)
    walk(standing, 5.0)
    left = standing.anew(9.0, "stood still for 4.00 s")
    assert (left.state, left.before, standing.state) == ("returning", "full", "returning")
    assert walk(standing, 5.0, began=9.0)[-1][0] == "full"
