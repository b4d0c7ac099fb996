"""Unit tests of incarnations: their order, those of peers, corrections, and a clock that was set back."""

import pytest

from corkdeal.decisions.incarnations import (
    CORRECTION_INTERVAL,
    INCARNATION_RANGE,
    START_MARGIN,
    Incarnations,
    IncarnationStatus,
    incarnation_after,
    is_later,
)


@pytest.mark.parametrize("base", [1, INCARNATION_RANGE // 2, INCARNATION_RANGE - 1])
def test_order_holds_across_the_wrap_around(base):
    after = incarnation_after(base, 10)
    assert is_later(after, base) and not is_later(base, after) and not is_later(base, base)


def test_the_next_incarnation_is_never_unknown():
    assert incarnation_after(INCARNATION_RANGE - 1, 1) == 1
    incarnations = Incarnations()
    incarnations.start(0.0)
    assert incarnations.own == 1


def test_the_latest_incarnation_of_a_peer_is_followed():
    incarnations = Incarnations()
    assert incarnations.update_peer(3, 100) is IncarnationStatus.NEW
    assert incarnations.update_peer(3, 100) is IncarnationStatus.CURRENT
    assert incarnations.update_peer(3, 200) is IncarnationStatus.NEW
    assert incarnations.update_peer(3, 100) is IncarnationStatus.STALE
    assert incarnations.peers == {3: 200}


def test_each_peer_is_corrected_once_in_an_interval():
    incarnations = Incarnations()
    assert incarnations.may_correct(3, 0.0) and incarnations.may_correct(4, 0.0)
    assert not incarnations.may_correct(3, 0.9 * CORRECTION_INTERVAL)
    assert incarnations.may_correct(3, CORRECTION_INTERVAL)
    assert not incarnations.may_correct(3, 1.9 * CORRECTION_INTERVAL)


def test_a_start_never_goes_back():
    incarnations = Incarnations()
    incarnations.start_after(0)
    assert incarnations.own == 0
    incarnations.start_after(5000)
    incarnations.start(2.0)
    assert incarnations.own == 5001
    incarnations.start(7.0)
    assert incarnations.own == 7000


def test_a_gateway_advances_past_what_peers_know_of_it():
    incarnations = Incarnations()
    incarnations.resume(100, {1: 400, 2: 90_000})
    assert (
        not incarnations.advance_past(0)
        and not incarnations.advance_past(100)
        and not incarnations.advance_past(50)
        and incarnations.own == 100
    )
    assert incarnations.advance_past(500)
    assert incarnations.own == 90_000 + START_MARGIN + 1
    assert incarnations.predates_start(90_000) and not incarnations.predates_start(
        incarnations.own - START_MARGIN
    )
