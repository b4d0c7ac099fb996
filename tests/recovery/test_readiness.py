"""Unit tests of readiness and of the stall detector, with the time passed in."""

import pytest

from corkdeal.recovery.readiness import (
    CONCURRENT_START_TIME,
    MAX_LEARNING_TIME,
    Readiness,
    ReadinessState,
    ServiceSample,
    Transition,
    count_concurrent_starts,
    is_mass_start,
)
from corkdeal.recovery.stall_detector import StallDetector


def test_states_have_the_names_of_the_log_event():
    assert [str(state) for state in ReadinessState] == ["returning", "learning", "full"]


def test_the_first_transition_is_a_record_with_its_reason():
    readiness = Readiness(10.0)
    assert readiness.update(10.5, responded=1, neighbours=2, answers=0, unserved=0) is None
    readiness.has_fresh_endpoints = True
    assert readiness.update(10.5, responded=1, neighbours=2, answers=0, unserved=0) is None
    transition = readiness.update(10.5, responded=2, neighbours=2, answers=0, unserved=0)
    expected = Transition(
        ReadinessState.LEARNING, ReadinessState.RETURNING, "list, neighbours responded", 0.5
    )
    assert transition == expected and readiness.state is ReadinessState.LEARNING


def test_learning_ends_after_its_longest_time_while_ever_more_requests_are_unserved():
    readiness = Readiness(0.0)
    readiness.has_fresh_endpoints = True
    reasons, unserved = [], 0
    for second in range(1, int(MAX_LEARNING_TIME) + 3):
        fraction = 0.03 * second
        unserved += round(1000 * fraction / (1 - fraction))
        transition = readiness.update(float(second), 0, 0, 1000 * second, unserved)
        reasons += [(second, transition.reason)] if transition else []
    assert reasons == [(1, "list, neighbours responded"), (int(MAX_LEARNING_TIME) + 2, "time")]


def test_a_restart_drops_the_samples_and_needs_a_fresh_endpoint_list():
    readiness = Readiness(0.0)
    readiness.has_fresh_endpoints = True
    readiness.update(1.0, 0, 0, 5, 0)
    transition = readiness.restart(4.0, "stood still for 3.00 s")
    assert transition.previous is ReadinessState.LEARNING and transition.elapsed == 4.0
    assert not readiness.samples and not readiness.has_fresh_endpoints
    assert readiness.update(4.5, 0, 0, 5, 0) is None


def test_requests_between_samples_are_answers_and_unserved_requests():
    assert ServiceSample(9.0, 30, 7).requests_since(ServiceSample(7.0, 20, 4)) == 13


@pytest.mark.parametrize(("distance", "count"), [(CONCURRENT_START_TIME, 1), (CONCURRENT_START_TIME + 1, 0)])
@pytest.mark.parametrize("incarnation", [50_000, 0])
def test_starts_are_concurrent_up_to_a_distance_across_the_wrap(incarnation, distance, count):
    for peer in (incarnation + distance, (incarnation - distance) % (1 << 32)):
        assert count_concurrent_starts(incarnation, {1: peer}) == count
        assert is_mass_start(incarnation, {1: peer}) is (count == 1)


def test_the_first_check_finds_no_stall_and_the_threshold_counts_as_one():
    detector = StallDetector(min_stall=1.0)
    assert [detector.check(now) for now in (50.0, 50.9, 51.9, 51.9, 61.9)] == [0.0, 0.0, 1.0, 0.0, 10.0]
