"""Unit tests of incarnations: their order, those of peers, corrections, and a clock that was set back."""

import pytest

from corkdeal.decisions.incarnations import (
    CORRECTION_INTERVAL,
    INCARNATION_RANGE,
    OLDER_MARGIN,
    Incarnations,
    IncarnationStatus,
    incarnation_after,
    is_later,
)


@pytest.mark.parametrize("base", [1, INCARNATION_RANGE // 2, INCARNATION_RANGE - 1])
def test_order_holds_where_the_numbers_begin_anew(base):
    after = incarnation_after(base, 10)
    assert is_later(after, base) and not is_later(base, after) and not is_later(base, base)


def test_following_is_never_the_unknown_one():
    assert incarnation_after(INCARNATION_RANGE - 1, 1) == 1
    made = Incarnations()
    made.start(0.0)
    assert made.own == 1


def test_the_latest_incarnation_of_a_peer_is_followed():
    made = Incarnations()
    assert made.update_peer(3, 100) is IncarnationStatus.NEW
    assert made.update_peer(3, 100) is IncarnationStatus.CURRENT
    assert made.update_peer(3, 200) is IncarnationStatus.NEW
    assert made.update_peer(3, 100) is IncarnationStatus.STALE
    assert made.peers == {3: 200}


def test_each_peer_is_corrected_once_in_an_interval():
    made = Incarnations()
    assert made.may_correct(3, 0.0) and made.may_correct(4, 0.0)
    assert not made.may_correct(3, 0.9 * CORRECTION_INTERVAL)
    assert made.may_correct(3, CORRECTION_INTERVAL)
    assert not made.may_correct(3, 1.9 * CORRECTION_INTERVAL)


def test_a_start_never_goes_back():
    made = Incarnations()
    made.start_after(0)
    assert made.own == 0
    made.start_after(5000)
    made.start(2.0)
    assert made.own == 5001
    made.start(7.0)
    assert made.own == 7000


def test_a_gateway_outlives_what_peers_know_of_it():
    made = Incarnations()
    made.resume(100, {1: 400, 2: 90_000})
    assert (
        not made.advance_past(0)
        and not made.advance_past(100)
        and not made.advance_past(50)
        and made.own == 100
    )
    assert made.advance_past(500)
    assert made.own == 90_000 + OLDER_MARGIN + 1
    assert made.is_older(90_000) and not made.is_older(made.own - OLDER_MARGIN)
