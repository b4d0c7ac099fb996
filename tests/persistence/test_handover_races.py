"""Two and three processes that join, probe and end at once in the folder of `handover_files`.

Each process runs in a thread that stops before each of its system calls until the schedule lets it go on, so
every order is reproduced in every run. `EarlierHandoverFiles` makes the system calls of version 0.2.0.
"""

import contextlib
import fcntl
import itertools
import os
import threading
import types

import pytest

from corkdeal.persistence import files as files_module
from corkdeal.persistence import handover_files as handover_module
from corkdeal.persistence.errors import FolderLockedError
from corkdeal.persistence.files import CLOSED, StateFolder
from corkdeal.persistence.handover_files import HandoverFiles

STEPPED_CALLS = ("open", "close", "link", "unlink", "listdir", "flock")
WAIT_TIMEOUT = 20.0  # seconds after which a thread that does not stop fails the test


class EarlierHandoverFiles(HandoverFiles):
    """Joins and probes as version 0.2.0: creates, then locks; probes by locking; remembers who has ended."""

    def __init__(self, folder):
        super().__init__(folder)
        self.ended = set()

    def join(self):
        while True:
            existing = self.incarnations()
            self.incarnation = max(existing, default=0) + 1
            name = handover_module.incarnation_name(self.incarnation)
            try:
                self.files.close_file(self.files.create(name))
            except FileExistsError:
                continue
            self.lock = self.files.lock(name)
            self._remove_ended([number for number in existing if self.is_running(number)])
            return self.predecessor()

    def is_running(self, number):
        if number == self.incarnation:
            return True
        if number in self.ended:
            return False
        try:
            lock = self.files.lock(handover_module.incarnation_name(number))
        except FolderLockedError:
            return True
        files_module.os.close(lock)
        self.ended.add(number)
        return False


class SteppedProcess:
    """A thread that runs one operation and stops before each system call."""

    current = threading.local()

    def __init__(self, operation):
        self.operation, self.result, self.error, self.has_ended = operation, None, None, False
        self.may_go, self.has_stopped = threading.Semaphore(0), threading.Semaphore(0)
        self.step_count = 0
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        self.current.process = self
        self.may_go.acquire()
        try:
            self.result = self.operation()
        except BaseException as error:
            self.error = error
        self.has_ended = True
        self.has_stopped.release()

    def stop_before_call(self):
        self.has_stopped.release()
        self.may_go.acquire()

    def step(self):
        """Run to just before the next system call; the first step makes none. Returns whether it goes on."""
        if not self.has_ended:
            self.may_go.release()
            assert self.has_stopped.acquire(timeout=WAIT_TIMEOUT)
            self.step_count += 1
        return not self.has_ended

    def advance(self, count):
        """Make that many system calls, or fewer if the operation ends before."""
        for _ in range(count + 1 - min(1, self.step_count)):
            self.step()
        return self

    def finish(self):
        """Run to the end; returns the operation's result."""
        while self.step():
            pass
        self.thread.join(WAIT_TIMEOUT)
        if self.error is not None:
            raise self.error
        return self.result


class StoppingCalls:
    """Stands for a module; the calls in `STEPPED_CALLS` stop first where a stepped process makes them."""

    def __init__(self, module):
        self.module = module

    def __getattr__(self, name):
        attribute = getattr(self.module, name)
        if name not in STEPPED_CALLS:
            return attribute

        def call(*arguments, **options):
            process = getattr(SteppedProcess.current, "process", None)
            if process is not None:
                process.stop_before_call()
            return attribute(*arguments, **options)

        return call


@pytest.fixture(autouse=True)
def stopping_calls(monkeypatch):
    stopping_os = StoppingCalls(os)
    monkeypatch.setattr(files_module, "os", stopping_os)
    monkeypatch.setattr(files_module, "fcntl", StoppingCalls(fcntl))
    monkeypatch.setattr(handover_module, "os", stopping_os)


class Folder:
    """A folder and the processes that use it; each schedule gets a folder of its own."""

    def __init__(self, path):
        self.path, self.opened = str(path), []

    def process(self, factory=HandoverFiles):
        self.opened.append(factory(self.path))
        return self.opened[-1]

    def joined(self, factory=HandoverFiles):
        process = self.process(factory)
        process.join()
        return process

    def ended(self, factory=HandoverFiles):
        process = self.joined(factory)
        process.close()
        age_files(self.path)
        return process

    def close(self):
        for process in self.opened:
            process.close()


def age_files(path):
    """Make all files look as if they had been created long ago, in place of waiting."""
    for name in os.listdir(path):
        os.utime(os.path.join(path, name), (0, 0))


@pytest.fixture
def folders(tmp_path):
    """Yields a function that makes a new folder; all their processes are closed at the end."""
    made = []

    def make():
        made.append(Folder(tmp_path / str(len(made))))
        return made[-1]

    yield make
    for folder in made:
        folder.close()


def step_count(operation):
    """The number of system calls of an operation when nothing runs beside it."""
    process = SteppedProcess(operation)
    process.finish()
    return process.step_count - 1


def running_numbers(process):
    return [number for number in process.incarnations() if process.is_running(number)]


def assert_all_see_each_other(joined):
    """Each process has a number of its own, holds the file of that name, and is seen by all others."""
    numbers = sorted(process.incarnation for process in joined)
    assert len(set(numbers)) == len(numbers)
    for process in joined:
        assert running_numbers(process) == numbers
        index = numbers.index(process.incarnation)
        assert process.predecessor() == (numbers[index - 1] if index else None)
        assert process.successor() == (numbers[index + 1] if index + 1 < len(numbers) else None)


def probe(process):
    """What a running gateway does every 0.1 s."""
    return process.successor(), process.predecessor()


# A look in the middle of a start took the starting process for one that had ended.
@pytest.mark.parametrize("joining_type", [HandoverFiles, EarlierHandoverFiles])
def test_a_probe_at_any_step_of_a_start_neither_disturbs_nor_forgets_it(folders, joining_type):
    first_folder = folders()
    first_folder.joined()
    steps = step_count(first_folder.process(joining_type).join)
    assert steps > 4
    for before in range(steps + 1):
        folder = folders()
        running = folder.joined()
        joining = folder.process(joining_type)
        start = SteppedProcess(joining.join).advance(before)
        probe(running)
        assert start.finish() == running.incarnation
        assert_all_see_each_other([running, joining])


# A process of the earlier version remembered a start that it looked at too early as ended for good.
def test_a_probe_of_the_earlier_version_never_takes_a_start_for_one_that_ended(folders):
    first_folder = folders()
    first_folder.joined(EarlierHandoverFiles)
    steps = step_count(first_folder.process().join)
    for before in range(steps + 1):
        folder = folders()
        running = folder.joined(EarlierHandoverFiles)
        joining = folder.process()
        start = SteppedProcess(joining.join).advance(before)
        probe(running)
        assert start.finish() == running.incarnation
        assert_all_see_each_other([running, joining])


# A start that stopped within its probe held the lock that another start needed.
def test_two_starts_with_each_step_before_and_after_each_of_the_others(folders):
    for factories in itertools.product([HandoverFiles, EarlierHandoverFiles], repeat=2):
        if factories == (EarlierHandoverFiles, EarlierHandoverFiles):
            continue  # two processes of the earlier version still have its fault
        first_folder = folders()
        first_folder.joined()
        steps = step_count(first_folder.process().join)
        for first_steps, second_steps in itertools.product(range(steps + 1), repeat=2):
            folder = folders()
            running = folder.joined()
            processes = [folder.process(each) for each in factories]
            first = SteppedProcess(processes[0].join).advance(first_steps)
            second = SteppedProcess(processes[1].join).advance(second_steps)
            first.finish()
            second.finish()
            assert_all_see_each_other([running, *processes])


# A third start removed the file of a second one that had not locked it yet.
def test_a_start_probes_and_ends_beside_two_others_at_each_of_their_steps(folders):
    first_folder = folders()
    first_folder.ended()
    steps = step_count(first_folder.process().join)
    for first_steps, second_steps in itertools.product(range(steps + 1), repeat=2):
        folder = folders()
        folder.ended()
        processes = [folder.process() for _ in range(3)]
        first = SteppedProcess(processes[0].join).advance(first_steps)
        second = SteppedProcess(processes[1].join).advance(second_steps)
        processes[2].join()
        probe(processes[2])
        ends_early = first_steps % 2 == 0
        if ends_early:
            processes[2].close()
        first.finish()
        second.finish()
        assert_all_see_each_other(processes[:2] if ends_early else processes)


# A number whose file had been removed was taken again by a start that had listed the files before.
def test_no_number_is_used_twice_by_a_start_that_listed_the_files_long_ago(folders):
    first_folder = folders()
    first_folder.joined()
    steps = step_count(first_folder.process().join)
    for before in range(steps + 1):
        folder = folders()
        running = folder.joined()
        late = folder.process()
        start = SteppedProcess(late.join).advance(before)
        ended = folder.joined()
        ended.close()
        third = folder.joined()
        start.finish()
        assert late.incarnation != ended.incarnation
        assert_all_see_each_other([running, third, late])


# Two processes that looked at an ended one at once took each other's look for its life.
def test_two_probes_of_an_ended_process_at_once_both_see_that_it_ended(folders):
    def three_processes():
        folder = folders()
        ended, first, second = folder.joined(), folder.joined(), folder.joined()
        ended.close()
        return folder, ended.incarnation, first, second

    _, number, first, _ = three_processes()
    steps = step_count(lambda: first.is_running(number))
    assert steps > 2
    for before in range(steps + 1):
        folder, number, first, second = three_processes()
        look = SteppedProcess(lambda first=first, number=number: first.is_running(number))
        look.advance(before)
        assert not second.is_running(number)
        assert folder.process().join() == second.incarnation
        assert not look.finish()


# A look of the earlier version is told from a life only by the next look; no answer is kept.
def test_a_probe_beside_one_of_the_earlier_version_is_right_at_the_next_look(folders):
    folder = folders()
    earlier, running, ended = folder.joined(EarlierHandoverFiles), folder.joined(), folder.ended()
    steps = step_count(lambda: earlier.is_running(ended.incarnation))
    earlier.ended.clear()
    look = SteppedProcess(lambda: earlier.is_running(ended.incarnation))
    for before in range(steps + 1):
        look.advance(before)
        running.is_running(ended.incarnation)
    assert not look.finish()
    assert not running.is_running(ended.incarnation)


# An unlocked file of the earlier version is that of a start only while it is new.
def test_a_start_of_the_earlier_version_that_ended_counts_as_ended_after_a_while(folders):
    folder = folders()
    running, earlier = folder.joined(), folder.joined(EarlierHandoverFiles)
    earlier.close()
    assert running.is_running(earlier.incarnation)
    age_files(folder.path)
    assert not running.is_running(earlier.incarnation)
    assert folder.process().join() == running.incarnation


# A start that failed half-way kept its lock and was handed a fraction of the quota.
def test_a_start_that_fails_is_not_seen_as_running(folders):
    class FailingFolder(StateFolder):
        def unlink(self, name):
            raise OSError("forced")

    folder = folders()
    running = folder.joined()
    failing = folder.process(lambda path: HandoverFiles(path, folder_factory=FailingFolder))
    with pytest.raises(OSError, match="forced"):
        failing.join()
    assert failing.lock == CLOSED
    assert running.successor() is None


# The store's lock is held for as long as the folder is open, and only the store takes it.
def test_the_lock_of_the_snapshot_store_is_not_probed_by_anybody(tmp_path, monkeypatch):
    from corkdeal.persistence.store import SnapshotStore

    locked = []
    monkeypatch.setattr(files_module, "fcntl", types.SimpleNamespace(**vars(fcntl)))
    monkeypatch.setattr(
        files_module.fcntl, "flock", lambda file, how: locked.append(how) or fcntl.flock(file, how)
    )
    store = SnapshotStore(str(tmp_path))
    store.open()
    with contextlib.suppress(FolderLockedError):
        SnapshotStore(str(tmp_path)).open()
    assert locked == [fcntl.LOCK_EX | fcntl.LOCK_NB] * 2
    store.close()
