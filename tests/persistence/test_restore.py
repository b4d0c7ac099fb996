"""Unit tests of `restore`: backends, accounts and ledgers, captured, encoded and given to new decisions."""

import math
from collections import Counter

import msgspec
import pytest

from corkdeal.decisions import peer_messages
from corkdeal.decisions.events import Endpoint, EndpointState, PeerMessage, UpdateKind
from corkdeal.decisions.gateway import Gateway
from corkdeal.decisions.persisted_state import StoredBackend, StoredRejection
from corkdeal.decisions.settings import Effect, Plan, RequestClass
from corkdeal.persistence import codec
from corkdeal.persistence.capture import StateCapture
from corkdeal.persistence.clock import ClockReading, measure_age
from corkdeal.persistence.restore import ROUND_LEAP, RestoredState

from .. import helpers
from . import samples

CLASSES = (
    RequestClass(1.0, 3.0, name="look"),
    RequestClass(1.0, 3.0, name="pay", effect=Effect.NOT_IDEMPOTENT),
)
PLAN = Plan(rate=6.0, burst=30.0, name="small")
BOOT = 5000.0


def settings(me=0, gateways=3, plan=PLAN, classes=CLASSES):
    return helpers.settings(me, gateways, classes, (plan,))


def captured(gateway, now, clean=False, every=1.0, restored=None, capture=None):
    """Return a gateway's snapshot, encoded and decoded; its boot clock is 3,000 s behind the decisions'."""
    clock = ClockReading(now, now - 3000.0, "boot")
    capture = capture or StateCapture(gateway, "n0", "test", restored)
    for _ in capture.steps(lambda: now, lambda: clock, lambda: 0.0):
        pass
    pages = list(capture.pages())
    head = capture.head(now, clock, every, clean, {"a": "10.0.0.1:1"})
    return codec.decode_snapshot(b"".join(codec.encode_snapshot(1, head, pages)))[2]


def restored_state(snapshot, age, now, gateway_settings=None, addresses=None):
    counts = Counter()
    return (
        RestoredState(snapshot, age, now, gateway_settings or settings(), (addresses or {}).get, counts)
        if addresses
        else RestoredState(snapshot, age, now, gateway_settings or settings(), lambda name: "", counts)
    )


def restarted(snapshot, age, now, gateway_settings=None):
    gateway = Gateway(gateway_settings or settings(), seed=2)
    gateway.now = 0.0
    gateway.restore(restored_state(snapshot, age, now, gateway_settings))
    return gateway


def listed_update(*names, **more):
    return helpers.servers(*names, **more)


def test_a_restarted_gateway_continues_where_it_was():
    old = Gateway(settings(), seed=1)
    old.handle(8000.0, [listed_update("a", "b", "c")])
    (
        old.latency_model.usual_latencies[0, 1],
        old.latency_model.queueing_factor,
        old.latency_model.fleet_latency_ratio,
        old.retries.budget,
    ) = 0.4, 0.7, 2.0, 3.0
    bad = old.backends.records["a"]
    bad.latency_ratio, bad.failures, bad.is_ejected, bad.ejection_time, bad.rejecting_classes = (
        5.0,
        4,
        True,
        2.0,
        {1: (2.0, 8009.0)},
    )
    bad.last_attempt_at, bad.ejected_until = 8000.5, 8002.0
    for number in range(9):
        old.handle(8000.0 + number / 10, [helpers.request(number, units=2.0)])
    level = old.accounts[7].level
    new = restarted(captured(old, 8001.0, clean=True), 2.0, 8003.0)
    new.handle(8003.0, [listed_update("a", "b", "c")])
    assert new.latency_model.usual_latencies[0, 1] == pytest.approx(
        0.4, rel=0.01
    ) and new.latency_model.queueing_factor == pytest.approx(0.7, rel=0.01)
    assert 1.6 < new.latency_model.fleet_latency_ratio < 2.0 and 3.0 < new.retries.budget < 5.0
    backend = new.backends.records["a"]
    assert 4.6 < backend.latency_ratio < 5.0 and backend.failures == 4 and backend.ejection_time < 2.0
    assert backend.is_ejected and backend.ejected_until == 8003.0  # ejected, but due for a trial at once
    assert backend.rejecting_classes[1][1] == pytest.approx(8009.0)
    new.handle(8003.0, [helpers.request(99, units=2.0)])
    account = new.accounts[7]
    filled = min(10.0, level + 2.0 * (8003.0 - 8000.8))
    assert account.level == pytest.approx(filled - 2.0 * account.in_flight, abs=0.1)


def test_unseen_spending_is_assumed_after_a_kill_and_not_after_a_planned_end():
    old = Gateway(settings(), seed=1)
    old.handle(8000.0, [listed_update("a")])
    for number in range(8):
        old.handle(8000.0 + number / 8, [helpers.request(number, units=1.0)])
    levels = {}
    for clean in (True, False):
        new = restarted(captured(old, 8001.0, clean), 1.0, 8002.0)
        new.handle(8002.0, [listed_update("a"), helpers.request(1, units=0.001)])
        levels[clean] = new.accounts[7].level
    demand = old.accounts[7].demand * math.exp(-(8001.0 - 8000.875) / 2.0)
    assert levels[True] - levels[False] == pytest.approx(demand * 1.0, rel=0.02) and levels[False] >= 0


BACKEND = StoredBackend(
    "a", 1000.0, BOOT, 5.0, 4, True, 2.0, (StoredRejection("gone", 1.0, 1.0),), "10.0.0.1:1"
)


@pytest.mark.parametrize(
    ("entry", "at", "found", "counted"),
    [
        (
            Endpoint("a", EndpointState.READY, started=1000.0),
            "10.0.0.1:1",
            True,
            "knowledge_server_used",
        ),
        (Endpoint("a", EndpointState.READY, started=1000.0), "", True, "knowledge_server_used"),
        (
            Endpoint("a", EndpointState.READY, started=1007.0),
            "10.0.0.1:1",
            False,
            "knowledge_server_restarted",
        ),
        (
            Endpoint("a", EndpointState.READY, started=1000.0),
            "10.0.0.9:1",
            False,
            "knowledge_server_moved",
        ),
        # another backend at the address of the record
        (Endpoint("new", EndpointState.READY, started=1000.0), "10.0.0.1:1", False, ""),
    ],
)
def test_a_record_is_only_for_the_process_it_was_made_of(entry, at, found, counted):
    snapshot = samples.snapshot_of(msgspec.structs.replace(samples.HEAD, servers=(BACKEND,)), {})
    restored = restored_state(snapshot, 1.0, 9000.0, addresses={entry.backend: at})
    record = restored.backend(entry, 9000.0)
    assert (record is not None) is found and (not counted or restored.counts[counted] == 1)
    if found:
        assert restored.backend(entry, 9000.0) is None and record.rejections == ()
        assert restored.counts["knowledge_class_unknown"] == 1


def test_a_list_older_than_the_record_leaves_it_for_the_newer_one():
    snapshot = samples.snapshot_of(msgspec.structs.replace(samples.HEAD, servers=(BACKEND,)), {})
    gateway = restarted(snapshot, 1.0, 9000.0)
    gateway.handle(9000.0, [listed_update("a", started=500.0, kind=UpdateKind.CACHED)])
    assert gateway.backends.records["a"].latency_ratio == 1.0
    gateway.handle(9000.5, [listed_update("a", started=1000.0)])
    assert gateway.backends.records["a"].latency_ratio > 4.0
    gateway.handle(9001.0, [listed_update("a", started=9000.9)])  # started again since the record was made
    assert gateway.backends.records["a"].latency_ratio == 1.0 and not gateway.backends.records["a"].is_ejected


@pytest.mark.parametrize(
    ("plan", "first", "spread", "age", "counted"),
    [
        (PLAN, 0, 2, 5.0, "knowledge_account_used"),
        (Plan(rate=6.0, name="large"), 0, 2, 5.0, "knowledge_plan_unknown"),
        (PLAN, 1, 2, 5.0, "knowledge_account_moved"),
        (PLAN, 0, 3, 5.0, "knowledge_account_moved"),
        (PLAN, 0, 2, 3599.0, "knowledge_account_too_old"),
    ],
)
def test_an_account_is_only_taken_for_the_same_plan_and_set(plan, first, spread, age, counted):
    restored = restored_state(samples.snapshot_of(), age, 9000.0, settings(plan=plan))
    record = restored.account(7, plan, first, spread, 9000.0)
    assert (record is not None) is (counted == "knowledge_account_used") and restored.counts == {counted: 1}
    assert restored.account(7, plan, first, spread, 9000.0) is None


@pytest.mark.parametrize(
    ("age", "me", "gateways", "resumes"),
    [(5.0, 0, 2, True), (31.0, 0, 2, False), (math.inf, 0, 2, False), (5.0, 1, 2, False), (5.0, 0, 3, False)],
)
def test_ledgers_are_resumed_only_soon_and_in_the_same_place(age, me, gateways, resumes):
    gateway_settings = settings(me, gateways)
    gateway = restarted(samples.snapshot_of(), age, 9000.0, gateway_settings)
    gateway.handle(9000.0, [listed_update("a"), helpers.request(1, spread=2)])
    if resumes:
        assert (gateway.incarnation, gateway.peer_incarnations) == (
            77,
            {1: 55},
        ) and gateway.peers.message_round > ROUND_LEAP
        assert gateway.accounts[7].ledgers[1].received_share == 1500
    else:
        assert gateway.incarnation == 9000_000 and gateway.peer_incarnations == {}


def test_a_ledger_with_a_peer_that_started_again_begins_anew():
    """The peer's rounds start at 1 again; a ledger with a higher last round would ignore its messages."""
    gateway = restarted(samples.snapshot_of(), 5.0, 9000.0, settings(0, 2))
    # the peer started after the record was made
    first_message = peer_messages.encode_exchange(9000_500, gateway.incarnation, 1, [])[0]
    gateway.handle(9000.0, [listed_update("a"), PeerMessage(1, first_message)])
    gateway.handle(9000.1, [helpers.request(1, spread=2)])  # the account is created only now
    assert gateway.accounts[7].ledgers[1].last_round == 0 == gateway.accounts[7].ledgers[1].received_share
    update = peer_messages.AccountUpdate(7, 0, 0, 2, 0.5, 1.0, 1.0, 0, 0.0)
    gateway.handle(
        9000.2, [PeerMessage(1, peer_messages.encode_exchange(9000_500, gateway.incarnation, 2, [update])[0])]
    )
    assert gateway.accounts[7].ledgers[1].last_round == 2


def test_a_ledger_carried_through_two_restarts_is_still_with_its_peer():
    """The second snapshot has the peer's new incarnation, but a ledger kept with the previous one."""
    head = samples.HEAD
    newer = msgspec.structs.replace(head, fleet=head.fleet._replace(peer_incarnations=((1, 99),)))
    gateway = restarted(samples.snapshot_of(newer), 5.0, 9000.0, settings(0, 2))
    gateway.handle(9000.0, [listed_update("a"), helpers.request(1, spread=2)])
    assert gateway.peer_incarnations == {1: 99} and gateway.accounts[7].ledgers[1].last_round == 0


def test_a_wall_clock_set_back_does_not_make_peers_ignore_the_new_start():
    # the decisions' time is 10 ms, the previous incarnation began at 77 ms
    gateway = restarted(samples.snapshot_of(), 40.0, 0.01)
    gateway.handle(0.01, [listed_update("a")])
    assert gateway.incarnation == 78


def test_nothing_of_a_snapshot_of_unknown_age_counts():
    restored = restored_state(samples.snapshot_of(), math.inf, 9000.0)
    assert (
        restored.has_expired
        and restored.backend(listed_update("s-1", started=1000.0).entries[0], 9000.0) is None
    )
    assert restored.account(7, PLAN, 0, 2, 9000.0) is None
    fleet = restored.fleet(9000.0, {"look": 0.15})
    assert (fleet.usual_latencies, fleet.pace, fleet.latency_ratio, fleet.retry_budget) == (
        (),
        0.5,
        1.0,
        10.0,
    )


def test_accounts_that_nobody_asked_for_survive_a_second_restart_also_after_a_reboot():
    first = samples.snapshot_of(samples.HEAD, {7: samples.ACCOUNT, 8: samples.ACCOUNT})
    for boot_id, shift in (("boot-a", 0.0), ("boot-b", -4000.0)):
        restored = restored_state(first, 2.0, 9000.0)
        gateway = Gateway(settings(), seed=1)
        gateway.restore(restored)
        gateway.handle(9000.0, [listed_update("a"), helpers.request(1, spread=2)])  # for customer 7 only
        capture = StateCapture(gateway, "n0", "test", restored)
        clock = ClockReading(0.0, 5002.0 + shift, boot_id)
        for _ in capture.steps(lambda: 9000.0, lambda c=clock: c, lambda: 0.0):
            pass
        head = capture.head(9000.0, clock, 1.0, False, {})
        snapshot = codec.decode_snapshot(b"".join(codec.encode_snapshot(1, head, list(capture.pages()))))[2]
        again = restored_state(snapshot, 1.0, 9001.0)
        assert again.age_of(
            codec.decode_account(snapshot.encoded_accounts()[8]).refilled_at, 9001.0
        ) == pytest.approx(8.0)
        assert sorted(snapshot.encoded_accounts()) == [7, 8]


def test_backends_that_no_list_names_are_kept_for_a_while_and_then_counted_as_gone():
    snapshot = samples.snapshot_of(msgspec.structs.replace(samples.HEAD, servers=(BACKEND,)), {})
    restored = restored_state(snapshot, 2.0, 9000.0)
    gateway = Gateway(settings(), seed=1)
    gateway.restore(restored)
    gateway.handle(9000.0, [listed_update("other")])
    again = captured(gateway, 9010.0, restored=restored).head
    (found,) = (s for s in again.servers if s.backend == "a")
    assert (
        again.clock.boot - found.recorded_at == pytest.approx(12.0)
        and found.latency_ratio == BACKEND.latency_ratio
    )
    assert [s.backend for s in captured(gateway, 9200.0, restored=restored).head.servers] == ["other"]
    assert restored.counts["knowledge_server_gone"] == 1


@pytest.mark.parametrize("step", [3600.0, -3600.0, 10 * 365 * 86400.0, -10 * 365 * 86400.0])
def test_a_step_of_the_wall_clock_while_it_runs_ages_nothing(step):
    gateway = Gateway(settings(), seed=1)
    gateway.handle(8000.0, [listed_update("a"), helpers.request(1, customer=7)])
    capture = StateCapture(gateway, "n0", "test")
    snapshots = []
    # the clock is stepped between the two snapshots
    for now, wall in ((8000.1, 8000.1), (8001.1, 8001.1 + step)):
        clock = ClockReading(wall, now - 3000.0, "boot")
        for _ in capture.steps(lambda n=now: n, lambda c=clock: c, lambda: 0.0):
            pass
        head = capture.head(now, clock, 1.0, False, {})
        snapshots.append(
            codec.decode_snapshot(b"".join(codec.encode_snapshot(1, head, list(capture.pages()))))[2]
        )
    for snapshot, expected_age in zip(snapshots, (2.0, 1.0), strict=True):
        age, anomalies = measure_age(snapshot.head.clock, ClockReading(8002.1 + step, 5002.1, "boot"))
        assert age == pytest.approx(expected_age) and anomalies == (
            ("clock_stepped",) if snapshot is snapshots[0] else ()
        )
        record = restored_state(snapshot, age, 8002.1).account(7, PLAN, 0, 3, 8002.1)
        assert record.refilled_at == pytest.approx(8000.0)


def test_only_changed_accounts_are_encoded_again_and_forgotten_ones_are_dropped():
    gateway = Gateway(settings(), seed=1)
    gateway.handle(
        8000.0, [listed_update("a"), helpers.request(1, customer=7), helpers.request(2, customer=8)]
    )
    capture = StateCapture(gateway, "n0", "test")
    captured(gateway, 8000.1, capture=capture)
    gateway.handle(8000.2, [helpers.outcome(1, 0, "a"), helpers.outcome(2, 0, "a")])
    captured(gateway, 8000.3, capture=capture)
    before = dict(capture.encoded_entries)
    gateway.handle(8000.4, [helpers.request(3, customer=8)])
    snapshot = captured(gateway, 8000.5, capture=capture)
    assert capture.encoded_entries[7] is before[7] and capture.encoded_entries[8] is not before[8]
    assert codec.decode_account(snapshot.encoded_accounts()[8]).in_flight == 1
    del gateway.accounts[7]
    assert list(captured(gateway, 8000.6, capture=capture).encoded_accounts()) == [8]


def test_quota_shares_of_a_ring_add_up_to_one_through_kills_with_snapshots():
    """Each member in turn is killed and restarted from a snapshot that is up to a second old."""

    def asked(me):  # never zero: without a request the account would not be decoded
        return 0.5 if me == 0 else 0.02

    ring = helpers.FakeTier(plan=Plan(rate=6.0, burst=30.0, name="small"))
    ring.run(6, ask=asked)
    snapshots, before = {}, ring.quota_shares()
    assert max(before.values()) > 0.45  # supply has moved to the demand
    for me in (0, 1, 2, 0):
        snapshots[me] = captured(ring.gateways[me], ring.now)
        ring.run(0.8, ask=asked)  # more exchanges, which the snapshot does not have
        del ring.gateways[me]
        ring.run(0.7)
        gateway_settings = helpers.settings(me, 3, plans=(ring.plan,))
        restored = RestoredState(snapshots[me], 1.5, ring.now, gateway_settings, lambda name: "", Counter())
        gateway = ring.gateways[me] = Gateway(gateway_settings, seed=9)
        gateway.restore(restored)
        ring.process_actions(me, gateway.handle(ring.now, [helpers.servers("a", "b", "c")]))
        ring.run(3, ask=asked)
        assert sum(ring.quota_shares().values()) == pytest.approx(1.0, abs=0.02)
    assert max(ring.quota_shares().values()) > 0.45
