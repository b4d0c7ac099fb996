"""Quota handover between two processes: what both admit, what is handed over, and ends at any moment."""

import collections
import dataclasses
import re
import shutil
import signal
import socket
import threading
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkdeal.decisions.actions import Reject, SendToPeer, StartAttempt
from corkdeal.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    PeerMessage,
    Request,
    Status,
    TimerExpired,
    UpdateKind,
)
from corkdeal.decisions.gateway import Gateway
from corkdeal.decisions.settings import Plan, RequestClass, Settings
from corkdeal.persistence import clock, codec, quota_handover
from corkdeal.persistence.capture import StateCapture
from corkdeal.persistence.handover_files import HandoverFiles, HandoverPart
from corkdeal.persistence.restore import RestoredState
from tests.helpers import FakeTier, pick, request
from tests.net_world import WAIT_TIMEOUT, Program, served

PLAN = Plan(rate=2.0, burst=6.0, name="p")
ONE = Settings(
    gateway_index=0,
    gateway_count=1,
    classes=(RequestClass(latency_objective=1.0, deadline=3.0, name="c"),),
    plans=(PLAN,),
)
ENDPOINT_UPDATE = EndpointUpdate(UpdateKind.COMPLETE, (Endpoint("a", EndpointState.READY),))
EPOCH = 1000.0


class Process:
    """The decisions of one process, on a clock that the test advances."""

    def __init__(self, settings=ONE, state=None, fraction=1.0, now=EPOCH):
        self.decisions, self.rid, self.now = Gateway(settings, seed=1), 0, now
        if state is not None:
            self.decisions.restore(state)
        self.decisions.quota_fraction = fraction
        self.decisions.handle(now, [ENDPOINT_UPDATE])

    def ask(self, now, customer=7, spread=1, units=1.0):
        """Whether a request is sent to the backend, which replies at once."""
        self.now, self.rid = now, self.rid + 1
        out = self.decisions.handle(now, [Request(self.rid, customer, 0, 0, units, 0, spread, 3.0)])
        sent = any(isinstance(a, StartAttempt) for a in out)
        if sent:
            self.decisions.handle(now, [AttemptEnded(self.rid, 0, "a", Status.OK, 0.1, True)])
        return sent

    def snapshot(self, now):
        """Return the snapshot that it hands over, encoded and decoded."""
        quota_handover.refill_accounts(self.decisions, now)
        clock_reading = lambda: clock.ClockReading(now, now, "boot")  # noqa: E731
        capture = StateCapture(self.decisions, "n0", "test")
        list(capture.steps(lambda: now, clock_reading, lambda: 0.0))
        parts = codec.encode_snapshot(
            1, capture.head(now, clock_reading(), 0.0, True, {}), list(capture.pages())
        )
        return codec.decode_snapshot(b"".join(parts))[2]

    def restored(self, snapshot, now):
        """Return a snapshot as the successor restores it."""
        return RestoredState(
            snapshot,
            now - snapshot.head.clock.boot,
            now,
            self.decisions.settings,
            lambda _: "",
            collections.Counter(),
        )


def hand_over_partial_state(old, now):
    snapshot = old.snapshot(now)
    quota_handover.reduce_to_fraction(old.decisions, 1 - quota_handover.SUCCESSOR_FRACTION)
    partial = quota_handover.PartialState(old.restored(snapshot, now), quota_handover.SUCCESSOR_FRACTION)
    return (
        Process(
            old.decisions.settings,
            partial,
            snapshot.head.fleet.quota_fraction * quota_handover.SUCCESSOR_FRACTION,
            now,
        ),
        partial,
        snapshot.head.fleet.quota_fraction,
    )


def hand_over_remainder(old, new, partial, now, between=lambda: None):
    snapshot = old.snapshot(now)
    quota_handover.release_all(old.decisions)
    steps = quota_handover.take_over_remainder(
        new.decisions, lambda: now, partial, new.restored(snapshot, now), snapshot.head.fleet.quota_fraction
    )
    for _ in steps:
        between()


STEPS = st.lists(
    st.tuples(st.sampled_from(["old", "new", "old", "wait", "give", "rest", "kill"]), st.floats(0.0, 1.5)),
    max_size=60,
)


@pytest.fixture(autouse=True, scope="module")
def each_account_is_a_step():
    original, quota_handover.ACCOUNTS_PER_STEP = quota_handover.ACCOUNTS_PER_STEP, 1
    yield
    quota_handover.ACCOUNTS_PER_STEP = original


@given(STEPS, st.integers(1, 3))
def test_both_processes_together_admit_no_more_than_one_may(steps, customers):
    old, now, sent = Process(), EPOCH, dict.fromkeys(range(customers), 0)
    new = partial = None
    predecessor_fraction = 0.0

    def ask_all():
        for customer in sent:
            sent[customer] += new.ask(now, customer)

    for what, n in steps:
        customer = int(n * 100) % customers
        if what == "wait":
            now += n
        elif what == "give" and new is None:
            new, partial, total_fraction = hand_over_partial_state(old, now)
            predecessor_fraction = total_fraction * (1 - quota_handover.SUCCESSOR_FRACTION)
        elif what in ("rest", "kill") and new is not None and old is not None:
            if what == "rest":
                hand_over_remainder(old, new, partial, now, ask_all)
                assert not any(old.ask(now, c) for c in range(customers))
            else:
                quota_handover.add_fraction(new.decisions, now, predecessor_fraction)
            old = None
            assert new.decisions.quota_fraction == pytest.approx(1.0)
        elif what in ("old", "new") and (process := old if what == "old" else new) is not None:
            sent[customer] += process.ask(now, customer)
        for units in sent.values():
            assert units <= PLAN.burst + PLAN.rate * (now - EPOCH) + 1e-6


def test_both_processes_together_keep_the_hard_limit():
    plan = Plan(rate=50.0, burst=500.0, hard_limit_rate=2.0, hard_limit_burst=4.0, name="p")
    settings = dataclasses.replace(ONE, plans=(plan,))
    old = Process(settings)
    for second in range(10):
        old.ask(EPOCH + second, units=1e-3)
    start = EPOCH + 10.0
    new, partial, _ = hand_over_partial_state(old, start)
    admitted = 0
    for tick in range(400):
        now = start + tick / 20
        if tick == 200:
            hand_over_remainder(old, new, partial, now)
        admitted += old.ask(now) + new.ask(now)
    assert 30 <= admitted <= plan.hard_limit_burst + plan.hard_limit_rate * 20.0


def test_an_old_process_of_two_gateways_rejects_what_comes_after_it_gave_all():
    ring = FakeTier(2)
    ring.spread = 2
    ring.run(3.0, lambda me: 0.2)
    quota_handover.release_all(ring.gateways[0])
    # by now its peer is silent, so it could borrow the peer's share
    actions = ring.gateways[0].handle(ring.now + 2.0, [request(999, spread=2)])
    assert pick(actions, Reject) and not pick(actions, StartAttempt)


def test_what_the_old_process_held_is_the_new_ones_at_the_end():
    old = Process()
    assert old.ask(EPOCH, customer=7) and old.ask(EPOCH, customer=8)
    new, partial, _ = hand_over_partial_state(old, EPOCH)
    assert new.ask(EPOCH, customer=7)  # customer 8 has no request there, and is handed over all the same
    hand_over_remainder(old, new, partial, EPOCH)
    levels = {c: a.level for c, a in new.decisions.accounts.items()}
    assert levels == {7: pytest.approx(PLAN.burst - 2), 8: pytest.approx(PLAN.burst - 1)}
    third, _, total_fraction = hand_over_partial_state(new, EPOCH)
    assert total_fraction == pytest.approx(1.0) and third.decisions.quota_fraction == pytest.approx(
        quota_handover.SUCCESSOR_FRACTION
    )


def test_peers_continue_with_the_new_process_where_they_were_with_the_old():
    tier_settings = dataclasses.replace(ONE, gateway_count=2, may_message_peers=True, peer_message_rate=60)
    peer, now, processes = (
        Process(dataclasses.replace(tier_settings, gateway_index=1)),
        EPOCH,
        [Process(tier_settings)],
    )

    def exchange_messages(seconds):
        nonlocal now
        for _ in range(int(seconds / 0.05)):
            now += 0.05
            process = processes[-1]
            process.ask(now, 7, spread=2, units=0.2)
            for sender, receiver in ((process, peer), (peer, process)):
                out = sender.decisions.handle(now, [TimerExpired(0)])
                for _ in range(4):  # in both directions until no message is left
                    messages = [
                        PeerMessage(sender.decisions.settings.gateway_index, a.payload)
                        for a in out
                        if isinstance(a, SendToPeer)
                    ]
                    sender, receiver = receiver, sender
                    out = sender.decisions.handle(now, messages) if messages else []

    def total():
        return sum(process.decisions.accounts[7].base_share() for process in (processes[-1], peer))

    exchange_messages(4.0)
    share, incarnation_before = (
        processes[0].decisions.accounts[7].base_share(),
        processes[0].decisions.incarnation,
    )
    assert share > 0.7 and total() == pytest.approx(1.0, abs=1e-3)
    new, partial, _ = hand_over_partial_state(processes[0], now)
    hand_over_remainder(processes[0], new, partial, now)
    processes.append(new)
    assert (
        new.decisions.accounts[7].base_share() == pytest.approx(share)
        and new.decisions.incarnation == incarnation_before
    )
    seen_incarnation = peer.decisions.peer_incarnations[0]
    exchange_messages(2.0)
    # the peer saw no restart and kept the ledger
    assert peer.decisions.peer_incarnations[0] == seen_incarnation == incarnation_before
    assert total() == pytest.approx(1.0, abs=1e-3) and new.decisions.accounts[7].base_share() > 0.6


def test_a_snapshot_reaches_only_the_process_that_it_was_made_for(tmp_path):
    processes = [HandoverFiles(str(tmp_path)) for _ in range(3)]
    old, new, third = processes
    encode = lambda process: codec.encode_snapshot(process, Process().snapshot(EPOCH).head, [])  # noqa: E731
    assert old.join() is None and new.join() == old.incarnation == old.successor() - 1
    old.write(new.incarnation, HandoverPart.PARTIAL, encode)
    assert (
        new.read(old.incarnation, HandoverPart.PARTIAL) is not None
        and new.read(old.incarnation, HandoverPart.FINAL) is None
    )
    new.close()  # it ends before it serves
    assert not old.is_running(2) and old.successor() is None
    assert third.join() == old.incarnation and third.incarnation == 3  # no number is used twice
    assert third.read(old.incarnation, HandoverPart.PARTIAL) is None
    old.write(third.incarnation, HandoverPart.FINAL, encode)
    name = next(p for p in tmp_path.iterdir() if p.name.endswith("-3.rest"))
    name.write_bytes(name.read_bytes()[:-1])
    with pytest.raises(ValueError, match="byte"):
        third.read(old.incarnation, HandoverPart.FINAL)
    old.close()
    fourth = HandoverFiles(str(tmp_path))
    assert fourth.join() == 3 and not any("-3.rest" in p.name for p in tmp_path.iterdir())


class Upgrade(Program):
    """Real processes on one listening socket; customer 1 has a burst of 2 units and 0.1 units per second."""

    build = ("-O",)

    def begin(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.fds = (listener.fileno(),)
        self.more_env = {"RELAY_INHERITED_FD": str(listener.fileno())}
        self.start(config={"listen": f"127.0.0.1:{listener.getsockname()[1]}"}, a={})
        self.rid = 0

    def next_process(self):
        """Start another process beside the one that serves; returns the old one."""
        old = self.process
        self.addCleanup(lambda: (old.kill(), old.wait(), old.stdout.close()))
        self.run_program()
        return old

    def wait_for_line(self, process, text):
        for line in process.stdout:
            if text in line:
                return line
        self.fail(f"ended without {text!r}")

    def is_admitted(self, client):
        """Whether a request of customer 1 is admitted."""
        self.rid += 1
        self.ask(client, customer=1, rid=self.rid)
        serving_thread = threading.Thread(target=self.serve, daemon=True)
        serving_thread.start()
        answer = client.read()
        self.world.asked.put(None)  # ends `serve` if the request was rejected and never reached a backend
        serving_thread.join(WAIT_TIMEOUT)
        while not self.world.asked.empty():
            self.world.asked.get()
        return answer == [b"v"]

    def serve(self):
        """Reply to the next request at the backend, if one comes."""
        if (asked := self.world.next()) is not None:
            asked.conn.send(served())

    def admitted(self, client, attempts=4):
        return sum(self.is_admitted(client) for _ in range(attempts))

    def test_the_new_process_continues_from_the_old_ones_buckets(self):
        self.begin()
        client = self.client()
        self.assertEqual(self.admitted(client), 2)
        old = self.next_process()
        self.assertIn("accounts=1", self.line("handover_begun"))
        self.line("serving ")
        self.assertEqual(self.admitted(client), 0)
        old.send_signal(signal.SIGTERM)
        self.wait_for_line(old, "handover_rest")
        self.assertIn("part=1.0", self.line("handover_done"))
        self.assertEqual(old.wait(WAIT_TIMEOUT), 0)
        self.assertEqual(self.admitted(self.client()), 0)

    def test_an_old_process_killed_before_it_gave_the_rest_leaves_its_rate_and_a_dead_new_one_gives_it_back(
        self,
    ):
        self.begin()
        self.assertEqual(self.admitted(self.client()), 2)
        old = self.next_process()
        self.line("serving ")
        self.process.kill()  # the new process, before it admitted anything
        self.process.wait()
        self.wait_for_line(old, "handover_taken_back")
        dead = self.process
        self.addCleanup(dead.stdout.close)
        self.run_program()  # a third process, which gets a snapshot of its own
        self.assertIn("life=3", self.line("handover_begun"))
        self.line("serving ")
        old.kill()
        self.assertTrue(re.search("rest=False part=1.0", self.line("handover_done")))
        self.assertEqual(self.admitted(self.client()), 0)
        client, began = self.client(), time.monotonic()
        while not self.admitted(client, 1) and time.monotonic() - began < 2 * WAIT_TIMEOUT:
            time.sleep(0.1)  # it refills at the whole rate, 0.1 per second
        self.assertLess(time.monotonic() - began, 2 * WAIT_TIMEOUT)

    def test_a_folder_that_goes_away_while_it_serves_harms_nothing(self):
        self.begin()
        shutil.rmtree(f"{self.folder.name}/corkdeal-lives")
        next_old = self.next_process()  # it finds no predecessor, so both have the whole quota
        self.line("serving ")
        next_old.send_signal(signal.SIGTERM)
        self.assertEqual(next_old.wait(WAIT_TIMEOUT), 0)
        self.assertEqual(self.admitted(self.client()), 2)

    def test_a_shared_folder_that_cannot_be_used_costs_the_handover_only(self):
        with open(f"{self.folder.name}/corkdeal-lives", "w"):
            pass
        self.begin()
        self.assertTrue(any("handover_off" in line for line in self.lines))
        self.assertEqual(self.admitted(self.client()), 2)
