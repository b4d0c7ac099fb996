"""Unit tests of the admission ramps and the rate estimator."""

import pytest

from corkdeal.decisions.extensions import AdmissionRamp
from corkdeal.recovery.admission_ramp import (
    BURST_TIME,
    MIN_IN_FLIGHT,
    MIN_RATE,
    RATE_FACTOR,
    RATE_TIME_CONSTANT,
    RateEstimator,
    StallRamp,
    StartRamp,
)


def test_the_first_total_gives_no_rate_and_a_long_gap_counts_fully():
    estimator = RateEstimator()
    estimator.update(10.0, 500)
    assert estimator.rate == 0.0
    estimator.update(10.0, 501)  # no time passed
    assert estimator.rate == 0.0
    estimator.update(10.0 + 2 * RATE_TIME_CONSTANT, 501 + 80)
    assert estimator.rate == pytest.approx(8.0)
    estimator.update(10.5 + 2 * RATE_TIME_CONSTANT, 501 + 80)
    assert estimator.rate == pytest.approx(8.0 * 0.9)


def test_a_gateway_without_traffic_may_send_the_least_rate_after_a_stall():
    ramp = StallRamp(100.0, 0.0)
    admitted = sum(ramp.try_admit(100.0 + n / 100, 0) for n in range(1000))
    assert admitted == pytest.approx(RATE_FACTOR * MIN_RATE * 10, abs=2)


def test_a_stall_ramp_is_not_changed_by_outcomes_or_by_what_is_in_flight():
    ramps = [StallRamp(0.0, 100.0) for _ in range(2)]
    for _ in range(9):
        ramps[0].record_outcome(True)
        ramps[0].record_outcome(False)
    admitted = [sum(ramp.try_admit(0.0, 1000 * n) for _ in range(100)) for n, ramp in enumerate(ramps)]
    assert admitted == [int(RATE_FACTOR * 100 * BURST_TIME)] * 2


def test_a_start_ramp_has_a_least_limit_and_doubles_with_each_generation_of_answers():
    ramp = StartRamp(backends=0, gateways=0)
    limits = [ramp.limit]
    for _ in range(3):
        for _ in range(int(ramp.limit)):
            ramp.record_outcome(True)
        limits.append(ramp.limit)
    assert limits == [MIN_IN_FLIGHT * factor for factor in (1, 2, 4, 8)]
    assert ramp.try_admit(0.0, 31) and not ramp.try_admit(0.0, 32)


def test_failures_stop_a_start_ramp_until_they_are_few():
    ramp = StartRamp(1, 1)
    for is_success in (False, False, True):
        ramp.record_outcome(is_success)
    assert ramp.limit == MIN_IN_FLIGHT
    for _ in range(9):
        ramp.record_outcome(True)
    assert ramp.limit == MIN_IN_FLIGHT + 1  # two failures are few compared to ten successes


def test_both_are_admission_ramps_to_the_decisions():
    ramps: list[AdmissionRamp] = [StallRamp(0.0, 1.0), StartRamp(1, 1)]
    for ramp in ramps:
        assert ramp.try_admit(0.0, 0)
        ramp.record_outcome(is_success=True)
