"""Unit tests of `write_health`: counters, log lines and retry delays of failed writes."""

from collections import Counter

import pytest

from corkdeal import logs
from corkdeal.persistence.errors import FolderLockedError
from corkdeal.persistence.write_health import LOCK_RETRY_DELAY, MAX_RETRY_DELAY, WriteHealth


@pytest.fixture
def lines():
    lines = []
    logs.configure(lambda level, name, pairs: lines.append(name))
    yield lines
    logs.configure(None)


def test_the_first_failure_and_the_recovery_are_logged_and_each_failure_is_counted(lines):
    health = WriteHealth("/folder", Counter())
    for _ in range(3):
        health.record_failure(OSError(28, "No space left on device"))
    assert lines == ["knowledge_failing"] and health.counts == {"knowledge_write_failed": 3}
    health.record_success()
    health.record_success()
    assert lines == ["knowledge_failing", "knowledge_healed"] and health.failures == 0


def test_a_lock_is_logged_once_and_is_no_failure_to_write(lines):
    health = WriteHealth("/folder", Counter())
    for _ in range(2):
        health.record_failure(FolderLockedError("locked by another process"))
    assert lines == ["knowledge_locked"] and health.counts == {"knowledge_locked": 2}
    assert health.retry_delay(0.5) == LOCK_RETRY_DELAY and health.retry_delay(60.0) == 60.0
    health.record_success()
    assert lines == ["knowledge_locked", "knowledge_unlocked"] and not health.is_locked


def test_retries_are_spaced_out_up_to_a_bound_and_never_under_the_interval(lines):
    health = WriteHealth("/folder", Counter())
    delays = []
    for _ in range(12):
        health.record_failure(OSError("failed"))
        delays.append(health.retry_delay(1.0))
    assert delays[:4] == [2.0, 4.0, 8.0, MAX_RETRY_DELAY] and set(delays[4:]) == {MAX_RETRY_DELAY}
    assert health.retry_delay(30.0) == 30.0


def test_a_bug_while_capturing_is_logged_with_its_trace_once(lines):
    health = WriteHealth("/folder", Counter())
    for _ in range(2):
        try:
            raise KeyError("a bug")
        except KeyError:
            health.record_capture_failure()
    assert lines == ["knowledge_collect_failed"] and health.counts == {"knowledge_collect_failed": 2}


def test_another_folder_starts_over(lines):
    health = WriteHealth("/folder", Counter())
    health.record_failure(FolderLockedError("locked by another process"))
    health.record_failure(OSError("failed"))
    health.use_folder("/other")
    assert (health.folder, health.failures, health.is_locked) == ("/other", 0, False)
