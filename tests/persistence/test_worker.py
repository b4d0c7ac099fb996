"""Unit tests of `worker`: order of jobs, errors, and stopping."""

import threading

import pytest

from corkdeal.persistence.worker import WorkerThread

WAIT = 20.0  # s; far more than any step takes


def test_jobs_run_in_turn_in_one_daemon_thread_and_their_callbacks_too():
    worker = WorkerThread("jobs")
    called = []
    futures = [worker.submit(threading.current_thread) for _ in range(3)]
    last = worker.submit(lambda: 4)
    last.add_done_callback(lambda future: called.append(future.result()))
    thread = futures[0].result(WAIT)
    assert thread.daemon and thread.name == "jobs"
    assert [future.result(WAIT) for future in futures] == [thread] * 3
    worker.stop()
    assert worker.join(WAIT) and called == [4]


def test_an_error_is_the_futures_and_the_thread_goes_on():
    worker = WorkerThread("jobs")
    with pytest.raises(ZeroDivisionError):
        worker.submit(lambda: 1 / 0).result(WAIT)
    assert worker.submit(lambda: 7).result(WAIT) == 7
    worker.stop()
    assert worker.join(WAIT)


def test_stopping_lets_the_jobs_before_it_end_and_drops_those_after_it():
    worker = WorkerThread("jobs")
    gate = threading.Event()
    blocked = worker.submit(lambda: gate.wait(WAIT))
    queued = worker.submit(lambda: "done")
    worker.stop()
    worker.stop()
    dropped = worker.submit(lambda: "never")
    assert not worker.join(0.01)
    gate.set()
    assert worker.join(WAIT)
    assert blocked.result() and queued.result() == "done" and not dropped.done()
