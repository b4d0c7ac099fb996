"""Tests of `snapshot_writer` with a fake reactor: stores that hang, fail, are locked or change."""

import itertools
import threading
from collections import Counter
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from corkdeal import logs
from corkdeal.decisions.gateway import Gateway
from corkdeal.options import PersistenceOptions
from corkdeal.persistence.files import StateFolder
from corkdeal.persistence.snapshot_writer import SnapshotWriter
from corkdeal.persistence.store import SnapshotStore

from .. import helpers

WAIT = 20.0  # s; far more than any step takes


class FakeReactor(Clock):
    """A fake reactor whose calls from threads wait until the test makes them."""

    def __init__(self):
        super().__init__()
        self.arrived, self.calls_from_threads = threading.Semaphore(0), []

    def callFromThread(self, call, *args):
        self.calls_from_threads.append((call, args))
        self.arrived.release()

    def run_thread_call(self):
        assert self.arrived.acquire(timeout=WAIT)
        call, args = self.calls_from_threads.pop(0)
        call(*args)

    def advance_and_run(self, seconds=0.0):
        """Advance the time, and make all calls that are then due."""
        self.advance(seconds)
        while [c for c in self.getDelayedCalls() if c.getTime() <= self.seconds()]:
            self.advance(0)


class FaultyFolder(StateFolder):
    """A folder whose operations hang while `gate` is clear, and whose writes fail while `broken` is set."""

    gate, broken = threading.Event(), False

    def create(self, name):
        if FaultyFolder.broken:
            raise OSError(28, "No space left on device")
        assert FaultyFolder.gate.wait(WAIT)
        return super().create(name)

    def list_names(self):
        assert FaultyFolder.gate.wait(WAIT)
        return super().list_names()


@pytest.fixture
def world(tmp_path):
    FaultyFolder.gate.set()
    FaultyFolder.broken = False
    lines = []
    logs.configure(lambda level, name, pairs: lines.append(name))
    reactor, decisions = FakeReactor(), Gateway(helpers.settings(), seed=1)
    decisions.handle(5000.0, [helpers.servers("a", "b"), helpers.request(1)])
    gateway = SimpleNamespace(
        decisions=decisions,
        settings=decisions.settings,
        now=lambda: 5000.0 + reactor.seconds(),
        config=SimpleNamespace(name="n0"),
        pool=SimpleNamespace(addresses={"a": ("10.0.0.1", 1)}),
    )
    counts = Counter()

    def writer(**more):
        options = PersistenceOptions(path=str(tmp_path), **more)
        return SnapshotWriter(
            reactor, gateway, options, counts, lambda *a: SnapshotStore(*a, folder_factory=FaultyFolder)
        )

    yield SimpleNamespace(writer=writer, reactor=reactor, counts=counts, lines=lines, path=tmp_path)
    FaultyFolder.gate.set()
    logs.configure(None)


def files(world):
    return sorted(p.name[:16].lstrip("0") for p in (world.path / "n0").glob("*.know"))


def test_snapshots_are_written_at_intervals_and_loaded_by_the_next_incarnation(world):
    writer = world.writer(every=2.0)
    writer.load()
    assert world.lines == ["knowledge_none"]
    writer.start()
    for _ in range(3):
        world.reactor.advance_and_run(2.0)
        world.reactor.run_thread_call()
    assert files(world) == ["2", "3"] and world.counts["knowledge_written"] == 3
    ended = []
    writer.stop(lambda: ended.append(1))
    world.reactor.run_thread_call()
    assert ended == [1] and files(world) == ["3", "4"]
    following = world.writer()
    while "knowledge_loaded" not in world.lines:  # the first writer may not have closed the folder yet
        following.load()
    assert following.capture.restored.head.is_clean
    following.stop(lambda: None)


def test_a_store_that_hangs_is_given_up_and_service_goes_on(world):
    FaultyFolder.gate.clear()
    writer = world.writer(read_wait=0.05, stop_wait=0.5)
    writer.load()
    assert world.lines == ["knowledge_late"] and world.counts["knowledge_late"] == 1
    writer.start()
    for _ in range(3):
        world.reactor.advance_and_run(1.0)
    # one write waits in the thread, and no other is queued behind it
    assert world.counts["knowledge_write_skipped"] == 2
    ended = []
    writer.stop(lambda: ended.append(1))
    world.reactor.advance_and_run(0.4)
    assert not ended
    world.reactor.advance_and_run(0.2)
    assert ended == [1] and world.counts["knowledge_stopped_late"] == 1
    FaultyFolder.gate.set()


def test_a_failing_disk_is_logged_once_retried_more_rarely_and_recovers(world):
    writer = world.writer(every=1.0)
    writer.load()
    writer.start()
    FaultyFolder.broken = True
    attempted_at = []
    for _ in range(5):
        while not writer.is_busy:
            world.reactor.advance_and_run(0.5)
        attempted_at.append(world.reactor.seconds())
        world.reactor.run_thread_call()
    assert world.lines.count("knowledge_failing") == 1 and world.counts["knowledge_write_failed"] == 5
    gaps = [b - a for a, b in itertools.pairwise(attempted_at)]
    assert gaps == sorted(gaps) and gaps[0] >= 1 and gaps[-1] == 10.0
    FaultyFolder.broken = False
    while not writer.is_busy:
        world.reactor.advance_and_run(0.5)
    world.reactor.run_thread_call()
    assert world.lines[-1] == "knowledge_healed" and files(world) == ["1"]
    writer.stop(lambda: None)


def test_a_locked_folder_is_logged_once_and_used_when_it_is_free(world):
    holder = SnapshotStore(str(world.path / "n0"))
    holder.open()
    writer = world.writer()
    writer.load()
    writer.start()
    for _ in range(2):
        while not writer.is_busy:
            world.reactor.advance_and_run(1.0)
        world.reactor.run_thread_call()
    assert world.lines == ["knowledge_locked"] and files(world) == []
    holder.close()
    while not writer.is_busy:
        world.reactor.advance_and_run(1.0)
    world.reactor.run_thread_call()
    assert world.lines[-1] == "knowledge_unlocked" and files(world) == ["1"]
    writer.stop(lambda: None)


def test_a_reload_changes_the_pace_the_generations_and_the_folder(world, tmp_path):
    writer = world.writer(every=5.0)
    writer.load()
    writer.start()
    writer.reload(PersistenceOptions(path=str(tmp_path), every=1.0, generations=3))
    for _ in range(4):
        world.reactor.advance_and_run(1.0)
        world.reactor.run_thread_call()
    assert files(world) == ["2", "3", "4"]
    writer.reload(PersistenceOptions(path=str(tmp_path / "other"), every=1.0))
    world.reactor.advance_and_run(1.0)
    world.reactor.run_thread_call()
    assert [p.name for p in (tmp_path / "other" / "n0").glob("*.know")] == ["0000000000000001.know"]
    writer.stop(lambda: None)


def test_many_accounts_are_captured_in_many_steps(world):
    writer = world.writer()
    decisions = writer.gateway.decisions
    for customer in range(3000):
        decisions.account(customer, 0, 0, 3)
    ticks = iter(i * 0.0004 for i in range(10**6))  # 0.4 ms pass between two readings of the clock
    steps = sum(
        1 for _ in writer.capture.steps(writer.gateway.now, lambda: clock_reading(), lambda: next(ticks))
    )
    assert steps >= 7 and len(writer.capture.encoded_entries) == 3001 - 1
    writer.stop(lambda: None)


def clock_reading():
    from corkdeal.persistence.clock import ClockReading

    return ClockReading(0.0, 100.0, "x")


def test_a_folder_of_another_gateway_is_detected_and_not_used(world):
    writer = world.writer(every=2.0)
    writer.load()
    writer.start()
    world.reactor.advance_and_run(2.0)
    world.reactor.run_thread_call()
    ended = []
    writer.stop(lambda: ended.append(1))
    world.reactor.run_thread_call()
    assert ended and files(world)
    (world.path / "n0").rename(world.path / "n1")
    other = world.writer()
    other.gateway.config.name = "n1"
    other = world.writer()
    while world.lines[-1] != "knowledge_foreign":  # the first writer may not have closed the folder yet
        other.load()
    assert other.capture.restored is None and world.counts["knowledge_foreign"]
    other.stop(lambda: None)


def test_stopping_ends_the_thread_and_lets_go_of_the_folder(world):
    writer = world.writer()
    writer.load()
    writer.start()
    ended = []
    writer.stop(lambda: ended.append("first"))
    writer.stop(lambda: ended.append("second"))  # a second call only calls back
    assert ended == ["second"]
    world.reactor.run_thread_call()
    assert ended == ["second", "first"] and files(world) == ["1"]
    assert writer.worker.join(WAIT)
    assert not [call for call in world.reactor.getDelayedCalls() if call.active()]
    following = SnapshotStore(str(world.path / "n0"))
    following.open()  # the folder is not locked any more
    following.close()


def test_a_writer_stopped_while_it_writes_writes_once_more_and_ends(world):
    writer = world.writer(every=1.0)
    writer.load()
    writer.start()
    FaultyFolder.gate.clear()
    world.reactor.advance_and_run(1.0)
    assert writer.is_busy
    ended = []
    writer.stop(lambda: ended.append(1))
    FaultyFolder.gate.set()
    world.reactor.run_thread_call()  # the write that was in progress
    assert not ended
    world.reactor.run_thread_call()
    assert ended == [1] and files(world) == ["1", "2"] and writer.worker.join(WAIT)


def test_a_writer_given_up_late_ends_its_thread_and_leaves_the_decisions_alone(world):
    writer = world.writer(every=1.0, stop_wait=0.5)
    writer.load()
    writer.start()
    FaultyFolder.gate.clear()
    world.reactor.advance_and_run(1.0)
    ended = []
    writer.stop(lambda: ended.append(1))
    world.reactor.advance_and_run(0.6)
    assert ended == [1] and not writer.worker.join(0.01)
    FaultyFolder.gate.set()
    world.reactor.run_thread_call()  # the write that hung ends now
    assert writer.worker.join(WAIT) and ended == [1]
    assert writer.gateway.decisions.changed_customers is None  # no longer collected
    assert world.counts["knowledge_stopped_late"] == 1


def test_a_bug_while_capturing_costs_a_count_and_not_the_gateway(world, monkeypatch):
    writer = world.writer(every=1.0)
    monkeypatch.setattr(writer.capture, "head", lambda *_: 1 / 0)
    writer.start()
    world.reactor.advance_and_run(1.0)
    assert world.lines == ["knowledge_collect_failed"] and not writer.is_busy
    ended = []
    writer.stop(lambda: ended.append(1))
    assert ended == [1] and world.counts["knowledge_collect_failed"] == 2 and writer.worker.join(WAIT)
