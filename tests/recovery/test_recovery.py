"""Recovery on whole decisions after a stall or a start: no old data is used, quota shares are conserved."""

import random
from types import SimpleNamespace

import pytest

from corkdeal.decisions import persisted_state
from corkdeal.decisions.actions import Log, Reject, SendToPeer, StartAttempt
from corkdeal.decisions.events import PeerMessage, TimerExpired
from corkdeal.decisions.gateway import Gateway
from corkdeal.decisions.peer_messages import encode_exchange
from corkdeal.net.recovery import RecoveryService
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
from tests.helpers import PLAN, FakeTier, outcome, pick, request, servers, settings


def test_a_stall_is_reported_once_and_a_busy_iteration_not_at_all():
    detector = StallDetector()
    stall_times = [detector.check(now) for now in (5.0, 5.1, 5.1 + MIN_STALL / 2, 9.0, 9.1)]
    assert (
        stall_times[:3] == [0.0] * 3
        and stall_times[3] == pytest.approx(9.0 - 5.1 - MIN_STALL / 2)
        and stall_times[4] == 0.0
    )


def stalled_ring(seconds):
    """Return a ring of three and its gateway 1, which was stalled and resumes before it receives anything."""
    ring = FakeTier()
    ring.run(6.0, ask=lambda index: 0.2)
    stalled = ring.gateways.pop(1)
    ring.run(seconds, ask=lambda index: 0.2)
    ring.in_flight.clear()
    return ring, stalled


def test_a_bucket_does_not_fill_while_its_quota_share_is_on_loan():
    ring, stalled = stalled_ring(6.0)
    account, level = stalled.accounts[7], stalled.accounts[7].level
    resume_after_stall(stalled, ring.now, 6.0)
    stalled.now = ring.now
    stalled.refill(account)
    assert account.level == pytest.approx(level, abs=0.6)
    successor_share = ring.gateways[2].quota_share(ring.gateways[2].accounts[7])
    # gateway 2 borrows the share, which the resumed gateway must allow for
    assert successor_share > ring.gateways[2].accounts[7].base_share()


def test_levels_received_before_a_stall_give_no_credit_and_nobody_is_silent():
    ring, stalled = stalled_ring(2.0)
    account = stalled.accounts[7]
    account.level = 0.0
    resume_after_stall(stalled, ring.now, 2.0)
    stalled.now = ring.now
    assert not stalled.admission.is_within_quota(account, 1.0, stalled.refill(account), stalled.now)
    assert not any(stalled.is_silent(peer) for peer in account.ledgers)
    assert stalled.quota_share(account) == pytest.approx(account.base_share())


def test_backends_do_not_count_as_hung_for_the_time_of_a_stall():
    ring = FakeTier(1)
    gateway = ring.gateways[0]
    sent = pick(gateway.handle(101.0, [request(1, spread=1)]), StartAttempt)
    resume_after_stall(gateway, 161.0, 60.0)
    for request_id, backend in [(1, gateway.backends.records[sent[0].backend])]:
        gateway.now = 161.0
        gateway.requests.check_attempt(request_id, backend)
        assert not backend.is_ejected
        gateway.handle(161.1, [outcome(1, 0, sent[0].backend, elapsed=0.1)])


def test_nothing_is_sent_while_the_endpoint_list_is_stale_and_waiting_requests_go_out_afterwards():
    gateway = FakeTier(1).gateways[0]
    gateway.is_endpoint_list_stale = True
    assert not pick(gateway.handle(101.0, [request(1, spread=1)]), StartAttempt)
    gateway.is_endpoint_list_stale = False
    assert [attempt.id for attempt in pick(gateway.handle(101.1, [TimerExpired(0)]), StartAttempt)] == [1]


def test_a_request_unread_for_too_long_is_rejected_and_one_with_time_left_is_not():
    gateway = FakeTier(1).gateways[0]
    # so that no backend is untried or due for a trial
    gateway.handle(101.0, [request(n, spread=1) for n in (1, 2, 3)])
    old_actions = gateway.handle(101.1, [request(8, spread=1, timeout=3.0 - 2.8)])
    recent_actions = gateway.handle(101.1, [request(9, spread=1, timeout=3.0 - 2.0)])
    assert (
        pick(old_actions, Reject)
        and not pick(old_actions, StartAttempt)
        and pick(recent_actions, StartAttempt)
    )


@pytest.mark.parametrize(
    ("incarnation", "peers", "expected"),
    [
        (50_000, {1: 49_000, 2: 1_000}, (1, 2)),
        (50_000, {}, (0, 0)),
        (500, {1: (1 << 32) - 500}, (1, 1)),  # the incarnation, in ms, wrapped around in between
    ],
)
def test_concurrent_starts_are_counted_by_incarnations(incarnation, peers, expected):
    assert (count_concurrent_starts(incarnation, peers), len(peers)) == expected


def test_many_starts_are_assumed_while_no_peer_is_known():
    assert is_mass_start(50_000, {}) and is_mass_start(50_000, {1: 49_000, 2: 1, 3: 1})
    assert not is_mass_start(50_000, {1: 1, 2: 1, 3: 1})


def run_readiness(readiness, until, responded=2, answers=20, unserved=0, list_delay=0.0, began_at=0.0):
    """Return the transitions with their reasons, given `answers` and `unserved` requests per second."""
    transitions = []
    for tick in range(1, int(until * 10) + 1):
        now = began_at + tick / 10
        readiness.has_fresh_endpoints = readiness.has_fresh_endpoints or now >= began_at + list_delay
        transition = readiness.update(now, responded, 2, int(answers * now), int(unserved * now))
        transitions += (
            [(transition.state, transition.reason, round(transition.elapsed, 1))] if transition else []
        )
    return transitions


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        ({}, [("learning", "list, neighbours responded", 0.1), ("full", "served", 2.1)]),
        ({"responded": 1}, [("learning", "list, 1 of 2 neighbours responded", 1.1), ("full", "served", 3.1)]),
        (
            {"list_delay": 99.0},
            [("learning", "list not received, neighbours responded", 2.1), ("full", "served", 4.2)],
        ),
        ({"answers": 0}, [("learning", "list, neighbours responded", 0.1), ("full", "no requests", 2.1)]),
        ({"unserved": 20}, [("learning", "list, neighbours responded", 0.1), ("full", "levelled off", 2.2)]),
        ({"answers": 1}, [("learning", "list, neighbours responded", 0.1), ("full", "served", 20.0)]),
    ],
)
def test_states_are_left_for_their_reasons(arguments, expected):
    assert run_readiness(Readiness(0.0), 40.0, **arguments) == expected


def test_a_stall_restarts_readiness():
    readiness = Readiness(0.0)
    run_readiness(readiness, 5.0)
    transition = readiness.restart(9.0, "stood still for 4.00 s")
    assert (transition.state, transition.previous, readiness.state) == ("returning", "full", "returning")
    assert run_readiness(readiness, 5.0, began_at=9.0)[-1][0] == "full"


class RestoringTier(FakeTier):
    """A ring whose gateways restore their quota shares after a start."""

    def start(self, index, gateways=3):
        gateway = Gateway(settings(index, gateways, plans=(self.plan,)), seed=index)
        gateway.quota_restore = QuotaRestore(gateway)
        self.gateways[index] = gateway
        self.process_actions(index, gateway.handle(self.now, [servers("a", "b", "c")]))

    def restart(self, *indices):
        """Kill these gateways, lose the messages sent to them meanwhile, and start them again."""
        for index in indices:
            del self.gateways[index]
        self.run(0.6, uneven_load)
        for index in indices:
            self.start(index, 3)


def uneven_load(index):
    return 0.6 if index == 0 else 0.03


@pytest.mark.parametrize("restarted", [0, 1, 2])
def test_a_restarted_gateway_restores_its_quota_share_from_its_neighbours(restarted):
    ring = RestoringTier()
    ring.run(10.0, uneven_load)
    shares_before = ring.quota_shares()
    assert shares_before[0] > 0.6
    ring.restart(restarted)
    ring.run(0.6, uneven_load)
    assert ring.quota_shares()[restarted] == pytest.approx(shares_before[restarted], abs=0.1)
    ring.run(1.0, uneven_load)
    assert sum(ring.quota_shares().values()) == pytest.approx(1.0, abs=1e-9)


@pytest.mark.parametrize("restarted", [(0, 1), (1, 2), (0, 1, 2)])
@pytest.mark.parametrize("loss", [0.0, 0.12, 0.4])
def test_quota_shares_are_conserved_whoever_restarts_and_whatever_is_lost(restarted, loss):
    ring, rng = RestoringTier(), random.Random(loss)
    ring.run(10.0, uneven_load)
    ring.lost = lambda sender, to, number: rng.random() < loss
    ring.restart(*restarted)
    ring.run(3.0, uneven_load)
    ring.lost = lambda *a: False
    ring.run(1.0, lambda index: 0.3)
    assert sum(ring.quota_shares().values()) == pytest.approx(1.0, abs=1e-9)


def test_a_neighbour_without_quota_restore_is_supported():
    ring = RestoringTier()
    ring.run(10.0, uneven_load)
    for gateway in ring.gateways.values():
        gateway.quota_restore = None
    ring.restart(0)
    ring.run(2.0, uneven_load)
    assert sum(ring.quota_shares().values()) == pytest.approx(1.0, abs=1e-9)


def test_an_aggregated_ring_starts_without_a_burst_that_others_may_have_spent():
    gateway = Gateway(settings(0, 20), seed=1)
    gateway.quota_restore = QuotaRestore(gateway)
    gateway.handle(100.0, [servers("a"), request(1, spread=20)])
    early_level = gateway.accounts[7].level
    gateway.handle(110.0, [request(2, customer=8, spread=20)])
    assert early_level < 0.4 * PLAN.burst <= 0.6 * PLAN.burst < gateway.accounts[8].level


def test_attempts_after_a_stall_stay_within_the_average_rate_and_the_rest_is_rejected_at_once():
    estimator = RateEstimator()
    for tick in range(200):
        estimator.update(100 + tick / 10, tick)  # ten per second
    assert estimator.rate == pytest.approx(10.0, rel=0.05)
    ramp = StallRamp(130.0, estimator.rate)
    sent_at = [at for at in (130 + n / 100 for n in range(200)) if ramp.try_admit(at, 0)]
    for begin in range(8):
        in_window = [at for at in sent_at if 130 + begin / 4 <= at < 130.25 + begin / 4]
        assert len(in_window) <= 2 * RATE_FACTOR * estimator.rate / 4 + 1
    assert len(sent_at) == pytest.approx(RATE_FACTOR * estimator.rate * 2.25, abs=2)
    gateway = FakeTier(1).gateways[0]
    gateway.admission_ramp = StallRamp(101.0, 0.0)
    actions_by_request = [gateway.handle(101.0, [request(n, spread=1)]) for n in range(1, 4)]
    assert [len(pick(actions, StartAttempt)) for actions in actions_by_request] == [1, 0, 0] and pick(
        actions_by_request[1], Reject
    )
    assert gateway.requests.rejection_counts["inside_opening"] == 2


class FakeStoredState:
    """A stored account as `persistence/restore.py` provides it, possibly out of date."""

    is_exact = False

    def __init__(self, record, incarnation, peers):
        self.account_record, self.incarnation, self.peers = record, incarnation, peers

    def fleet(self, now, first_work):
        return persisted_state.StoredFleet(
            0.5,
            1.0,
            10.0,
            incarnation=self.incarnation,
            message_round=1 << 20,
            gateway_index=0,
            gateway_count=3,
            peer_incarnations=self.peers,
        )

    def may_resume(self):
        return True

    def backend(self, entry, now):
        return None

    def account(self, customer, plan, first_gateway, member_count, now):
        return self.account_record


def stored_state(ring, index):
    gateway = ring.gateways[index]
    record = persisted_state.export_account(gateway.accounts[7], 0.0, gateway.peer_incarnations)
    return FakeStoredState(record, gateway.incarnation, tuple(gateway.peer_incarnations.items()))


@pytest.mark.parametrize("restarted", [0, 1, 2])
def test_totals_of_neighbours_override_outdated_stored_state(restarted):
    ring = RestoringTier()
    ring.run(2.0, uneven_load)
    older = stored_state(ring, restarted)
    ring.run(10.0, uneven_load)
    shares_before, neighbour_account = ring.quota_shares(), ring.gateways[(restarted + 1) % 3].accounts[7]
    del ring.gateways[restarted]
    ring.run(0.6, uneven_load)
    gateway = Gateway(settings(restarted, 3), seed=9)
    gateway.quota_restore = QuotaRestore(gateway)
    gateway.restore(older)
    ring.gateways[restarted] = gateway
    ring.process_actions(restarted, gateway.handle(ring.now, [servers("a", "b", "c")]))
    assert gateway.incarnation > older.incarnation
    ring.run(0.6, uneven_load)
    assert ring.quota_shares()[restarted] == pytest.approx(shares_before[restarted], abs=0.1)
    ring.run(1.0, uneven_load)
    assert (
        sum(ring.quota_shares().values()) == pytest.approx(1.0, abs=1e-9)
        and neighbour_account.level <= PLAN.burst
    )


def test_stored_state_is_used_where_all_gateways_restarted():
    ring = RestoringTier()
    ring.run(10.0, uneven_load)
    shares_before, stored = ring.quota_shares(), [stored_state(ring, index) for index in range(3)]
    ring.now += 1.0
    ring.in_flight.clear()
    for index in range(3):
        gateway = ring.gateways[index] = Gateway(settings(index, 3), seed=9)
        gateway.quota_restore = QuotaRestore(gateway)
        gateway.restore(stored[index])
        ring.process_actions(index, gateway.handle(ring.now, [servers("a", "b", "c")]))
    ring.run(0.5, uneven_load)
    assert ring.quota_shares()[0] == pytest.approx(shares_before[0], abs=0.1)
    ring.run(2.0, uneven_load)
    assert sum(ring.quota_shares().values()) == pytest.approx(1.0, abs=1e-9)


def test_a_start_is_limited_to_what_backends_surely_handle_and_successes_raise_the_limit():
    total_limits = [StartRamp(400, gateways).limit * gateways for gateways in (1, 10, 100)]
    assert total_limits == [pytest.approx(400 * 2)] * 3  # the sum over the tier, whatever its size
    ramp = StartRamp(4, 4)
    assert ramp.try_admit(0.0, 3) and not ramp.try_admit(0.0, 4)
    ramp.record_outcome(True)
    assert ramp.try_admit(0.0, 4)
    for _ in range(5):
        ramp.record_outcome(False)  # backends are overloaded
    ramp.record_outcome(True)
    assert not ramp.try_admit(0.0, 5)
    gateway = FakeTier(1).gateways[0]
    gateway.admission_ramp = StartRamp(1, 1)
    actions_by_request = [gateway.handle(101.0, [request(n, spread=1)]) for n in range(1, 6)]
    assert [len(pick(actions, StartAttempt)) for actions in actions_by_request] == [1, 1, 1, 1, 0] and pick(
        actions_by_request[4], Reject
    )


class ClockBehind:
    """A gateway whose clock is a minute behind the others."""

    def __init__(self, gateway):
        self.gateway = gateway

    def __getattr__(self, name):
        return getattr(self.gateway, name)

    def handle(self, now, events):
        return self.gateway.handle(now - 60.0, events)


@pytest.mark.parametrize("restore", [QuotaRestore, lambda host: None])
@pytest.mark.parametrize("restarted", [0, 1, 2])
def test_a_gateway_whose_clock_was_set_back_is_accepted_again_and_its_share_not_lent(restarted, restore):
    ring = RestoringTier()
    ring.run(6.0, uneven_load)
    gateway = Gateway(settings(restarted, 3, plans=(PLAN,)), seed=9)
    gateway.quota_restore = restore(gateway)
    ring.gateways[restarted] = ClockBehind(gateway)
    ring.process_actions(restarted, ring.gateways[restarted].handle(ring.now, [servers("a", "b", "c")]))
    ring.run(2.0, uneven_load)
    others = [other for index, other in ring.gateways.items() if index != restarted]
    assert not any(other.is_silent(restarted) for other in others) and gateway.incarnation > 100_000
    assert all(other.quota_share(other.accounts[7]) == other.accounts[7].base_share() for other in others)
    assert sum(ring.quota_shares().values()) == pytest.approx(1.0, abs=1e-9)


def test_an_aggregated_ring_notifies_a_gateway_whose_clock_was_set_back_at_a_limited_rate():
    running, restarted = (Gateway(settings(index, 20), seed=1) for index in (0, 1))
    restarted.handle(100.0, [servers("a")])
    running.peer_incarnations[1] = restarted.incarnation + 60_000
    running.handle(100.0, [servers("a")])
    updates = pick(restarted.handle(101.0, [request(n, spread=20, units=6.0) for n in range(9)]), SendToPeer)
    assert updates
    received = [PeerMessage(1, updates[0].payload)]
    sent = [pick(running.handle(now, received), SendToPeer) for now in (101.0, 101.1, 101.3)]
    assert [[message.peer for message in messages if message.peer == 1] for messages in sent] == [
        [1],
        [],
        [1],
    ]
    actions = restarted.handle(101.4, [PeerMessage(0, sent[0][0].payload)])
    assert restarted.incarnation > running.peer_incarnations[1] - 1 and pick(actions, Log)


@pytest.mark.parametrize("started_ms", [1, (1 << 31) + 5, (1 << 32) - 1])
def test_a_gateway_unknown_to_its_peer_keeps_its_incarnation(started_ms):
    gateway = Gateway(settings(), seed=1)
    gateway.handle(started_ms / 1000, [servers("a")])
    message = encode_exchange(5, 0, 1, [])[0]
    assert (
        not pick(gateway.handle(started_ms / 1000 + 1, [PeerMessage(1, message)]), Log)
        and gateway.incarnation == started_ms
    )


def test_a_backend_with_a_later_start_time_than_the_clock_warms_up_from_its_first_listing():
    gateway = Gateway(settings(), seed=1)
    gateway.handle(100.0, [servers("a", started=160.0)])
    gateway.now = 100.0 + 0.9 * gateway.settings.warm_up_time
    assert 0.9 < gateway.slow_start.capacity_fraction(gateway.backends.records["a"], gateway.now) < 1.0


@pytest.mark.parametrize(("given", "expected_budget"), [(None, 10.0), (object(), 1.0)])
def test_withheld_retries_are_released_among_few_unless_divided_with_the_predecessor(given, expected_budget):
    gateway_decisions = Gateway(settings(0, 3), seed=1)
    gateway_decisions.peers.incarnations.resume(90_000, {1: 1, 2: 1})
    gateway = SimpleNamespace(decisions=gateway_decisions, pool=SimpleNamespace(), now=lambda: 100.0)
    gateway.upgrade_handover = given and SimpleNamespace(partial_state=given)
    recovery = RecoveryService(None, gateway)
    recovery.withheld_retries, gateway_decisions.retries.budget = 10.0, 1.0
    recovery.apply(
        Transition(ReadinessState.LEARNING, ReadinessState.RETURNING, "list, neighbours responded", 0.1)
    )
    assert gateway_decisions.retries.budget == expected_budget
