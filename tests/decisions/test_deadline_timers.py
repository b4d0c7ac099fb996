"""Unit tests of deadline timers."""

from corkdeal.decisions.actions import SetTimer
from corkdeal.decisions.deadline_timers import DeadlineTimers


def test_each_timer_has_a_token_of_its_own_and_expires_once():
    timers = DeadlineTimers()
    first, second = timers.set(7, 1.5), timers.set(8, -0.5)
    assert first == SetTimer(1.5, 1) and second == SetTimer(0.0, 2)
    assert timers.expire(second.token) == 8 and timers.expire(second.token) is None
    assert timers.expire(first.token) == 7


def test_the_token_of_the_scan_is_no_deadline():
    assert DeadlineTimers().expire(0) is None


def test_the_timer_of_a_request_that_has_ended_is_not_kept():
    timers = DeadlineTimers()
    token = timers.set(1, 5.0).token
    assert timers.is_pending(token)
    timers.cancel(1)
    assert not timers.is_pending(token)
    assert timers.expire(token) is None
    assert not (timers.request_ids or timers.tokens)
