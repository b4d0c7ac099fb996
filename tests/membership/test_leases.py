"""Unit tests of leases: the records of one gateway, with the time passed in."""

import pytest

from corkdeal.membership.leases import (
    LEASE_TIME,
    SENT_HISTORY_TIME,
    TAKEOVER_TIME,
    Leases,
    TakeoverRequest,
)


def started_leases(now=100.0):
    leases = Leases()
    leases.record_sent(now, 1)
    return leases


def test_a_lease_is_held_from_the_send_time_and_an_older_renewal_shortens_nothing():
    leases = started_leases()
    leases.record_sent(101.0, 2)
    leases.held_until[3] = leases.renewed_until(3, 2)
    assert leases.is_held(3, 101.0 + LEASE_TIME - 0.01) and not leases.is_held(3, 101.0 + LEASE_TIME)
    assert leases.renewed_until(3, 1) is None and leases.renewed_until(3, 2) is None
    assert not leases.is_held(4, 101.0)


def test_send_times_are_dropped_once_no_lease_counts_from_them():
    leases = started_leases()
    leases.record_sent(100.0 + SENT_HISTORY_TIME, 2)
    assert list(leases.sent_at) == [1, 2]
    leases.record_sent(100.1 + SENT_HISTORY_TIME, 3)
    assert list(leases.sent_at) == [2, 3]


def test_before_any_renewal_a_lease_of_an_earlier_incarnation_may_last():
    leases = started_leases()
    assert not leases.has_lapsed(3, 100.0 + TAKEOVER_TIME - 0.01)
    assert leases.has_lapsed(3, 100.0 + TAKEOVER_TIME)
    assert not Leases().has_lapsed(3, 1e9)  # nothing was sent: this incarnation has not started


def test_a_member_that_receives_nothing_is_not_renewed():
    leases = started_leases()
    assert not leases.has_stopped_receiving(3, 100.0)  # the time is counted from the first check
    assert leases.has_stopped_receiving(3, 100.1 + TAKEOVER_TIME) and not leases.may_renew(
        3, 100.1 + TAKEOVER_TIME
    )
    leases.record_sent(102.0, 2)
    leases.record_acknowledgement(3, 2)
    leases.record_acknowledgement(3, 1)  # an older heartbeat that is acknowledged later changes nothing
    leases.record_acknowledgement(3, 99)  # not a heartbeat of this gateway
    assert leases.acknowledged_sent_at == {3: 102.0} and leases.may_renew(3, 100.1 + TAKEOVER_TIME)


@pytest.mark.parametrize("restarted", [1, 2])
def test_a_restart_voids_the_grants_of_that_neighbour_alone(restarted):
    leases = started_leases()
    requests = [TakeoverRequest(1, 3), TakeoverRequest(2, 3)]
    for request in requests:
        leases.record_grant(request, 1)
        leases.record_grant(TakeoverRequest(request.neighbour, 4), 99)  # not a heartbeat of this gateway
    leases.record_renewal(restarted, 7, 100.0)
    leases.record_restart(restarted)
    assert [leases.is_granted(request, 100.0) for request in requests] == [restarted != 1, restarted != 2]
    assert len(leases.grants) == 1 and not leases.renewed_sequences
    assert not leases.has_lapsed(restarted, 100.0 + TAKEOVER_TIME - 0.01)  # the renewal had been sent
