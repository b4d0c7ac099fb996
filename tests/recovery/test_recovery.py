"""Recovery on whole decisions after a stall or a start: no old data is used, quota shares are conserved."""

import random
from types import SimpleNamespace

import pytest

from corkdeal.decisions import persisted_state
from corkdeal.decisions.actions import Log, Reject, SendToPeer, StartAttempt
from corkdeal.decisions.events import PeerMessage, TimerExpired
from corkdeal.decisions.gateway import Gateway
from corkdeal.decisions.peer_messages import encode_exchange
from corkdeal.net.recovery import Recovery
from corkdeal.recovery.admission_ramp import RATE_FACTOR, RateEstimator, StallRamp, StartRamp
from corkdeal.recovery.quota_restore import QuotaRestore
from corkdeal.recovery.readiness import (
    Readiness,
    ReadinessState,
    Transition,
    count_concurrent_starts,
    is_mass_start,
)
from corkdeal.recovery.resume import resume_after_stall
from corkdeal.recovery.stall_detector import MIN_STALL, StallDetector
from tests.helpers import PLAN, Ring, outcome, pick, request, servers, settings


def test_a_stall_is_reported_once_and_a_busy_turn_not_at_all():
    detector = StallDetector()
    beats = [detector.check(at) for at in (5.0, 5.1, 5.1 + MIN_STALL / 2, 9.0, 9.1)]
    assert beats[:3] == [0.0] * 3 and beats[3] == pytest.approx(9.0 - 5.1 - MIN_STALL / 2) and beats[4] == 0.0


def paused(seconds):
    """Return a ring of three and its gateway 1, which was stalled and resumes before it receives anything."""
    ring = Ring()
    ring.run(6.0, ask=lambda me: 0.2)
    still = ring.gateways.pop(1)
    ring.run(seconds, ask=lambda me: 0.2)
    ring.flight.clear()
    return ring, still


def test_a_bucket_does_not_fill_while_its_slice_is_on_loan():
    ring, still = paused(6.0)
    account, level = still.accounts[7], still.accounts[7].level
    resume_after_stall(still, ring.now, 6.0)
    still.now = ring.now
    still.refill(account)
    assert account.level == pytest.approx(level, abs=0.6)
    ahead = ring.gateways[2].quota_share(ring.gateways[2].accounts[7])
    # gateway 2 borrows the share, which the resumed gateway must allow for
    assert ahead > ring.gateways[2].accounts[7].base_share()


def test_what_neighbours_told_before_a_pause_backs_nothing_and_nobody_is_silent():
    ring, still = paused(2.0)
    account = still.accounts[7]
    account.level = 0.0
    resume_after_stall(still, ring.now, 2.0)
    still.now = ring.now
    assert not still.admission.is_within_quota(account, 1.0, still.refill(account), still.now)
    assert not any(still.is_silent(p) for p in account.ledgers)
    assert still.quota_share(account) == pytest.approx(account.base_share())


def test_servers_are_not_held_to_be_hung_for_the_time_of_a_pause():
    ring = Ring(1)
    one = ring.gateways[0]
    sent = pick(one.handle(101.0, [request(1, spread=1)]), StartAttempt)
    resume_after_stall(one, 161.0, 60.0)
    for rid, server in [(1, one.backends.records[sent[0].backend])]:
        one.now = 161.0
        one.requests.check_attempt(rid, server)
        assert not server.is_ejected
        one.handle(161.1, [outcome(1, 0, sent[0].backend, elapsed=0.1)])


def test_nothing_is_sent_by_a_list_that_may_be_old_and_what_waits_goes_out_with_the_new_one():
    one = Ring(1).gateways[0]
    one.is_endpoint_list_stale = True
    assert not pick(one.handle(101.0, [request(1, spread=1)]), StartAttempt)
    one.is_endpoint_list_stale = False
    assert [s.id for s in pick(one.handle(101.1, [TimerExpired(0)]), StartAttempt)] == [1]


def test_a_request_that_lay_unread_past_its_aim_is_refused_and_a_young_one_is_not():
    one = Ring(1).gateways[0]
    # so that no backend is untried or due for a trial
    one.handle(101.0, [request(n, spread=1) for n in (1, 2, 3)])
    old = one.handle(101.1, [request(8, spread=1, unread_time=0.95)])
    young = one.handle(101.1, [request(9, spread=1, unread_time=0.1)])
    assert pick(old, Reject) and not pick(old, StartAttempt) and pick(young, StartAttempt)


@pytest.mark.parametrize(
    ("born", "peers", "expected"),
    [
        (50_000, {1: 49_000, 2: 1_000}, (1, 2)),
        (50_000, {}, (0, 0)),
        (500, {1: (1 << 32) - 500}, (1, 1)),  # the incarnation, in ms, wrapped around in between
    ],
)
def test_who_came_back_together_is_told_by_incarnations(born, peers, expected):
    assert (count_concurrent_starts(born, peers), len(peers)) == expected


def test_among_many_is_what_counts_while_nobody_was_heard():
    assert is_mass_start(50_000, {}) and is_mass_start(50_000, {1: 49_000, 2: 1, 3: 1})
    assert not is_mass_start(50_000, {1: 1, 2: 1, 3: 1})


def walk(readiness, until, heard=2, served=20, refused=0, listed=0.0, began=0.0):
    """Return the transitions with their reasons, given `served` and `refused` requests per second."""
    made = []
    for tick in range(1, int(until * 10) + 1):
        now = began + tick / 10
        readiness.has_fresh_endpoints = readiness.has_fresh_endpoints or now >= began + listed
        left = readiness.update(now, heard, 2, int(served * now), int(refused * now))
        made += [(left.state, left.reason, round(left.elapsed, 1))] if left else []
    return made


@pytest.mark.parametrize(
    ("given", "left"),
    [
        ({}, [("learning", "list, neighbours responded", 0.1), ("full", "served", 2.1)]),
        ({"heard": 1}, [("learning", "list, 1 of 2 neighbours responded", 1.1), ("full", "served", 3.1)]),
        (
            {"listed": 99.0},
            [("learning", "list not received, neighbours responded", 2.1), ("full", "served", 4.2)],
        ),
        ({"served": 0}, [("learning", "list, neighbours responded", 0.1), ("full", "no requests", 2.1)]),
        ({"refused": 20}, [("learning", "list, neighbours responded", 0.1), ("full", "levelled off", 2.2)]),
        ({"served": 1}, [("learning", "list, neighbours responded", 0.1), ("full", "served", 20.0)]),
    ],
)
def test_states_are_left_for_their_reasons(given, left):
    assert walk(Readiness(0.0), 40.0, **given) == left


def test_a_pause_begins_it_anew():
    readiness = Readiness(0.0)
    walk(readiness, 5.0)
    left = readiness.restart(9.0, "stood still for 4.00 s")
    assert (left.state, left.previous, readiness.state) == ("returning", "full", "returning")
    assert walk(readiness, 5.0, began=9.0)[-1][0] == "full"


class Returning(Ring):
    """A ring whose gateways restore their quota shares after a start."""

    def start(self, me, gateways=3):
        made = Gateway(settings(me, gateways, plans=(self.plan,)), seed=me)
        made.quota_restore = QuotaRestore(made)
        self.gateways[me] = made
        self.take(me, made.handle(self.now, [servers("a", "b", "c")]))

    def again(self, *who):
        """Kill these gateways, lose the messages sent to them meanwhile, and start them again."""
        for me in who:
            del self.gateways[me]
        self.run(0.6, busy_share)
        for me in who:
            self.start(me, 3)


def busy_share(me):
    return 0.6 if me == 0 else 0.03


@pytest.mark.parametrize("who", [0, 1, 2])
def test_one_that_starts_again_takes_up_its_slice_from_its_neighbours(who):
    ring = Returning()
    ring.run(10.0, busy_share)
    before = ring.slices()
    assert before[0] > 0.6
    ring.again(who)
    ring.run(0.6, busy_share)
    assert ring.slices()[who] == pytest.approx(before[who], abs=0.1)
    ring.run(1.0, busy_share)
    assert sum(ring.slices().values()) == pytest.approx(1.0, abs=1e-9)


@pytest.mark.parametrize("who", [(0, 1), (1, 2), (0, 1, 2)])
@pytest.mark.parametrize("loss", [0.0, 0.12, 0.4])
def test_slices_are_conserved_whoever_starts_again_and_whatever_is_lost(who, loss):
    ring, chance = Returning(), random.Random(loss)
    ring.run(10.0, busy_share)
    ring.lost = lambda sender, to, number: chance.random() < loss
    ring.again(*who)
    ring.run(3.0, busy_share)
    ring.lost = lambda *a: False
    ring.run(1.0, lambda me: 0.3)
    assert sum(ring.slices().values()) == pytest.approx(1.0, abs=1e-9)


def test_a_neighbour_of_before_that_change_is_understood():
    ring = Returning()
    ring.run(10.0, busy_share)
    for g in ring.gateways.values():
        g.quota_restore = None
    ring.again(0)
    ring.run(2.0, busy_share)
    assert sum(ring.slices().values()) == pytest.approx(1.0, abs=1e-9)


def test_a_wide_ring_saves_nothing_up_at_a_start_that_others_may_have_spent():
    made = Gateway(settings(0, 20), seed=1)
    made.quota_restore = QuotaRestore(made)
    made.handle(100.0, [servers("a"), request(1, spread=20)])
    early = made.accounts[7].level
    made.handle(110.0, [request(2, customer=8, spread=20)])
    assert early < 0.4 * PLAN.burst <= 0.6 * PLAN.burst < made.accounts[8].level


def test_what_is_sent_after_a_pause_stays_within_the_usual_rate_and_the_rest_is_refused_at_once():
    usual = RateEstimator()
    for tick in range(200):
        usual.update(100 + tick / 10, tick)  # ten per second
    assert usual.rate == pytest.approx(10.0, rel=0.05)
    ramp = StallRamp(130.0, usual.rate)
    sent = [at for at in (130 + n / 100 for n in range(200)) if ramp.try_admit(at, 0)]
    for begin in range(8):
        inside = [at for at in sent if 130 + begin / 4 <= at < 130.25 + begin / 4]
        assert len(inside) <= 2 * RATE_FACTOR * usual.rate / 4 + 1
    assert len(sent) == pytest.approx(RATE_FACTOR * usual.rate * 2.25, abs=2)
    one = Ring(1).gateways[0]
    one.admission_ramp = StallRamp(101.0, 0.0)
    acts = [one.handle(101.0, [request(n, spread=1)]) for n in range(1, 4)]
    assert [len(pick(a, StartAttempt)) for a in acts] == [1, 0, 0] and pick(acts[1], Reject)
    assert one.requests.rejection_causes["inside_opening"] == 2


class Stored:
    """A stored account as `persistence/restore.py` provides it, possibly out of date."""

    is_exact = False

    def __init__(self, account, born, peers):
        self.account_record, self.born, self.peers = account, born, peers

    def fleet(self, now, first_work):
        return persisted_state.StoredFleet(
            0.5,
            1.0,
            10.0,
            incarnation=self.born,
            message_round=1 << 20,
            gateway_index=0,
            gateway_count=3,
            peer_incarnations=self.peers,
        )

    def may_resume(self):
        return True

    def server(self, entry, now):
        return None

    def account(self, customer, plan, first, spread, now):
        return self.account_record


def stored(ring, me):
    g = ring.gateways[me]
    record = persisted_state.export_account(g.accounts[7], 0.0, g.peer_incarnations)
    return Stored(record, g.incarnation, tuple(g.peer_incarnations.items()))


@pytest.mark.parametrize("who", [0, 1, 2])
def test_an_older_copy_of_a_store_gives_way_to_what_neighbours_hold(who):
    ring = Returning()
    ring.run(2.0, busy_share)
    older = stored(ring, who)
    ring.run(10.0, busy_share)
    now, low = ring.slices(), ring.gateways[(who + 1) % 3].accounts[7]
    del ring.gateways[who]
    ring.run(0.6, busy_share)
    made = Gateway(settings(who, 3), seed=9)
    made.quota_restore = QuotaRestore(made)
    made.restore(older)
    ring.gateways[who] = made
    ring.take(who, made.handle(ring.now, [servers("a", "b", "c")]))
    assert made.incarnation > older.born
    ring.run(0.6, busy_share)
    assert ring.slices()[who] == pytest.approx(now[who], abs=0.1)
    ring.run(1.0, busy_share)
    assert sum(ring.slices().values()) == pytest.approx(1.0, abs=1e-9) and low.level <= PLAN.burst


def test_where_all_started_again_the_stores_stand_in_for_the_neighbours():
    ring = Returning()
    ring.run(10.0, busy_share)
    before, stores = ring.slices(), [stored(ring, me) for me in range(3)]
    ring.now += 1.0
    ring.flight.clear()
    for me in range(3):
        made = ring.gateways[me] = Gateway(settings(me, 3), seed=9)
        made.quota_restore = QuotaRestore(made)
        made.restore(stores[me])
        ring.take(me, made.handle(ring.now, [servers("a", "b", "c")]))
    ring.run(0.5, busy_share)
    assert ring.slices()[0] == pytest.approx(before[0], abs=0.1)
    ring.run(2.0, busy_share)
    assert sum(ring.slices().values()) == pytest.approx(1.0, abs=1e-9)


def test_a_start_opens_from_what_all_servers_surely_take_and_by_good_answers_only():
    parts = [StartRamp(400, gateways).limit * gateways for gateways in (1, 10, 100)]
    assert parts == [pytest.approx(400 * 2)] * 3  # the sum over the tier, whatever its size
    ramp = StartRamp(4, 4)
    assert ramp.try_admit(0.0, 3) and not ramp.try_admit(0.0, 4)
    ramp.record_outcome(True)
    assert ramp.try_admit(0.0, 4)
    for _ in range(5):
        ramp.record_outcome(False)  # backends are overloaded
    ramp.record_outcome(True)
    assert not ramp.try_admit(0.0, 5)
    one = Ring(1).gateways[0]
    one.admission_ramp = StartRamp(1, 1)
    acts = [one.handle(101.0, [request(n, spread=1)]) for n in range(1, 6)]
    assert [len(pick(a, StartAttempt)) for a in acts] == [1, 1, 1, 1, 0] and pick(acts[4], Reject)


class Behind:
    """A gateway whose clock is a minute behind the others."""

    def __init__(self, gateway):
        self.gateway = gateway

    def __getattr__(self, name):
        return getattr(self.gateway, name)

    def handle(self, now, events):
        return self.gateway.handle(now - 60.0, events)


@pytest.mark.parametrize("restore", [QuotaRestore, lambda host: None])
@pytest.mark.parametrize("who", [0, 1, 2])
def test_one_whose_clock_was_set_back_is_heard_again_and_its_slice_lent_to_nobody(who, restore):
    ring = Returning()
    ring.run(6.0, busy_share)
    made = Gateway(settings(who, 3, plans=(PLAN,)), seed=9)
    made.quota_restore = restore(made)
    ring.gateways[who] = Behind(made)
    ring.take(who, ring.gateways[who].handle(ring.now, [servers("a", "b", "c")]))
    ring.run(2.0, busy_share)
    others = [g for me, g in ring.gateways.items() if me != who]
    assert not any(g.is_silent(who) for g in others) and made.incarnation > 100_000
    assert all(g.quota_share(g.accounts[7]) == g.accounts[7].base_share() for g in others)
    assert sum(ring.slices().values()) == pytest.approx(1.0, abs=1e-9)


def test_a_wide_ring_too_tells_one_whose_clock_was_set_back_and_not_more_often_than_it_must():
    one, two = (Gateway(settings(me, 20), seed=1) for me in (0, 1))
    two.handle(100.0, [servers("a")])
    one.peer_incarnations[1] = two.incarnation + 60_000
    one.handle(100.0, [servers("a")])
    news = pick(two.handle(101.0, [request(n, spread=20, units=6.0) for n in range(9)]), SendToPeer)
    assert news
    late = [PeerMessage(1, news[0].payload)]
    words = [pick(one.handle(at, late), SendToPeer) for at in (101.0, 101.1, 101.3)]
    assert [[w.peer for w in each if w.peer == 1] for each in words] == [[1], [], [1]]
    said = two.handle(101.4, [PeerMessage(0, words[0][0].payload)])
    assert two.incarnation > one.peer_incarnations[1] - 1 and pick(said, Log)


@pytest.mark.parametrize("born", [1, (1 << 31) + 5, (1 << 32) - 1])
def test_one_of_whom_a_peer_knows_nothing_stays_the_start_that_it_is(born):
    one = Gateway(settings(), seed=1)
    one.handle(born / 1000, [servers("a")])
    message = encode_exchange(5, 0, 1, [])[0]
    assert not pick(one.handle(born / 1000 + 1, [PeerMessage(1, message)]), Log) and one.incarnation == born


def test_a_server_that_started_after_this_gateway_s_clock_warms_up_from_when_it_was_met():
    one = Gateway(settings(), seed=1)
    one.handle(100.0, [servers("a", started=160.0)])
    one.now = 100.0 + 0.9 * one.settings.warm_up_time
    assert 0.9 < one.slow_start.warmth(one.backends.records["a"], one.now) < 1.0


@pytest.mark.parametrize(("given", "left"), [(None, 10.0), (object(), 1.0)])
def test_saved_up_retries_come_back_among_few_but_not_where_they_are_divided_with_another_life(given, left):
    one = Gateway(settings(0, 3), seed=1)
    one.peers.incarnations.resume(90_000, {1: 1, 2: 1})
    gateway = SimpleNamespace(decisions=one, pool=SimpleNamespace(), now=lambda: 100.0)
    gateway.succession = given and SimpleNamespace(given=given)
    recovery = Recovery(None, gateway)
    recovery.withheld_retries, one.retries.budget = 10.0, 1.0
    recovery.apply(
        Transition(ReadinessState.LEARNING, ReadinessState.RETURNING, "list, neighbours responded", 0.1)
    )
    assert one.retries.budget == left
