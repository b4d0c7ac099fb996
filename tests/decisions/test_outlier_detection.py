"""Unit tests of outlier detection: causes and durations of ejections, and how they end."""

import pytest

from corkdeal.decisions.backends import BackendRecord
from corkdeal.decisions.events import Endpoint, EndpointState, Status
from corkdeal.decisions.outlier_detection import (
    EJECTION_FAILURES,
    EJECTION_TIME,
    HANG_MIN_SILENCE,
    MAX_CLASS_REJECTION_TIME,
    MAX_EJECTED_FRACTION,
    MAX_EJECTION_TIME,
    OutlierDetection,
)


def backend(name="a"):
    return BackendRecord(Endpoint(name, EndpointState.READY))


def test_failures_in_a_row_eject_and_a_single_one_does_not():
    detection, failing = OutlierDetection(is_large_tier=False), backend()
    for _ in range(EJECTION_FAILURES - 1):
        detection.on_failure(failing, Status.ERROR, 100.0)
    assert not failing.is_ejected
    detection.on_failure(failing, Status.ERROR, 100.0)
    assert failing.is_ejected and failing.ejected_until == 100.0 + EJECTION_TIME


def test_a_refused_connection_ejects_at_once():
    detection, failing = OutlierDetection(is_large_tier=False), backend()
    detection.on_failure(failing, Status.CONNECT_FAILED, 100.0)
    assert failing.is_ejected


def test_a_backend_that_fails_two_of_three_attempts_is_ejected():
    detection, failing = OutlierDetection(is_large_tier=False), backend()
    for _ in range(2):
        detection.on_failure(failing, Status.ERROR, 100.0)
        if not failing.is_ejected:
            detection.on_success(failing, 0)
            detection.on_failure(failing, Status.ERROR, 100.0)
    assert failing.is_ejected


@pytest.mark.parametrize(("is_large_tier", "factor"), [(False, 1.0), (True, 3.0)])
def test_each_failed_trial_doubles_the_ejection_time_up_to_its_maximum(is_large_tier, factor):
    detection, failing, now, times = OutlierDetection(is_large_tier), backend(), 100.0, []
    for _ in range(5):
        detection.eject(failing, now)
        times.append(failing.ejected_until - now)
        now = failing.ejected_until
    assert times == [factor * min(MAX_EJECTION_TIME, EJECTION_TIME * 2**k) for k in range(5)]


def test_further_failures_before_the_trial_do_not_lengthen_the_ejection():
    detection, failing = OutlierDetection(is_large_tier=False), backend()
    detection.eject(failing, 100.0)
    detection.on_failure(failing, Status.TIMEOUT, 100.5)
    assert failing.ejected_until == 100.0 + EJECTION_TIME


def test_a_trial_is_a_single_request_and_due_after_the_ejection_time():
    detection, failing = OutlierDetection(is_large_tier=False), backend()
    assert not detection.is_trial_due(failing, 100.0)
    detection.eject(failing, 100.0)
    assert not detection.is_trial_due(failing, 100.0 + EJECTION_TIME / 2)
    assert detection.is_trial_due(failing, 100.0 + EJECTION_TIME)
    failing.in_flight[1] = (101.0, 0.0)
    assert not detection.is_trial_due(failing, 100.0 + EJECTION_TIME)


def test_successes_bring_an_ejected_backend_back_once_they_make_up_for_its_failures():
    detection, failing = OutlierDetection(is_large_tier=False), backend()
    detection.eject(failing, 100.0)
    for _ in range(EJECTION_FAILURES - 1):
        detection.on_success(failing, 0)
        assert failing.is_ejected
    detection.on_success(failing, 0)
    assert not failing.is_ejected


def test_a_rejection_passes_the_backend_over_for_its_class_alone():
    detection, busy = OutlierDetection(is_large_tier=False), backend()
    detection.on_rejection(busy, 1, 100.0)
    assert detection.is_rejecting(busy, 1, 100.5) and not detection.is_rejecting(busy, 0, 100.5)
    assert not detection.is_rejecting(busy, 1, 100.0 + EJECTION_TIME)
    assert not busy.is_ejected and busy.failures == 0


def test_repeated_rejections_lengthen_the_time_and_a_success_opens_the_class():
    detection, busy, now = OutlierDetection(is_large_tier=False), backend(), 100.0
    for _ in range(8):
        detection.on_rejection(busy, 0, now)
    assert detection.is_rejecting(busy, 0, now + MAX_CLASS_REJECTION_TIME - 0.1)
    assert not detection.is_rejecting(busy, 0, now + MAX_CLASS_REJECTION_TIME)
    detection.on_success(busy, 0)
    assert not detection.is_rejecting(busy, 0, now)


def test_silence_with_an_attempt_in_flight_is_a_hang_and_an_answer_to_another_one_is_not():
    detection, silent = OutlierDetection(is_large_tier=False), backend()
    late = 100.0 + HANG_MIN_SILENCE + 0.1
    assert not detection.is_hanging(silent, 100.0, 0.01, 0.02, 100.0 + HANG_MIN_SILENCE / 2)
    assert detection.is_hanging(silent, 100.0, 0.01, 0.02, late)
    assert not detection.is_hanging(silent, 100.0, 1.0, 0.02, late)  # the usual latency is that long
    # many requests were before it
    assert not detection.is_hanging(silent, 100.0, 0.01, HANG_MIN_SILENCE + 0.2, late)
    silent.last_answer_at = late - 0.1
    assert not detection.is_hanging(silent, 100.0, 0.01, 0.02, late)


def test_an_attempt_is_lost_after_half_of_its_callers_time_unless_it_was_expected_to_take_longer():
    detection = OutlierDetection(is_large_tier=False)
    assert detection.is_lost(1.1, time_left=1.0, usual_latency=0.1, latest_latency=0.3)
    assert not detection.is_lost(0.9, time_left=1.0, usual_latency=0.1, latest_latency=0.3)
    assert not detection.is_lost(1.1, time_left=1.0, usual_latency=0.1, latest_latency=1.2)
    assert not detection.is_lost(1.1, time_left=1.0, usual_latency=0.3, latest_latency=0.3)


def test_an_attempt_is_looked_at_once_its_backend_is_silent_or_half_of_its_callers_time_has_passed():
    detection, backend_in_use = OutlierDetection(is_large_tier=False), backend()
    backend_in_use.last_answer_at = 100.9
    assert not detection.may_be_overdue(backend_in_use, 100.0, 102.1, 101.0)
    assert detection.may_be_overdue(backend_in_use, 100.0, 101.9, 101.0)
    assert detection.may_be_overdue(backend_in_use, 100.0, 109.0, 100.9 + HANG_MIN_SILENCE + 0.01)


def test_past_the_maximum_fraction_no_ejection_counts():
    detection, backends = OutlierDetection(is_large_tier=False), [backend(str(k)) for k in range(10)]
    most = int(MAX_EJECTED_FRACTION * 10)
    for failing in backends[:most]:
        detection.eject(failing, 100.0)
    assert not detection.is_panicking(backends)
    detection.eject(backends[most], 100.0)
    assert detection.is_panicking(backends)
