"""Unit tests of resuming after a stall, on records without a gateway."""

import math
from types import SimpleNamespace

import pytest

from corkdeal.decisions.accounts import Account, PeerLedger
from corkdeal.decisions.backends import BackendRecord
from corkdeal.decisions.events import Endpoint, EndpointState
from corkdeal.recovery.resume import resume_after_stall
from tests.helpers import PLAN

NOW = 160.0
STALL_TIME = 60.0


class FakeMembership:
    """Records the stalls that it is resumed after, and the host's time at each."""

    def __init__(self):
        self.resumed = []

    def resume(self, stall_time):
        self.resumed.append((self.host.now, stall_time))


@pytest.fixture
def host():
    account = Account(PLAN, 0, 0, 3, 100.0, 99.0, {0: PeerLedger(5, peer_level=4.0, peer_state_at=99.5)})
    backend = BackendRecord(Endpoint("a", EndpointState.READY))
    backend.in_flight = {1: (99.0, 2.0)}
    backend.last_answer_at, backend.last_attempt_at = 98.0, 99.0
    backend.peer_load, backend.peer_load_at = 3.0, 99.0
    backend.slow_start_credit, backend.slow_start_credit_at = 2.0, 99.0
    return SimpleNamespace(
        now=100.0,
        last_exchange_at=99.0,
        last_poll_at=98.0,
        accounts={7: account},
        peer_last_received_at={0: 99.0, 2: 50.0},
        backends=SimpleNamespace(records={"a": backend}),
        membership=None,
    )


def test_buckets_do_not_fill_for_the_stall_and_received_levels_are_old(host):
    resume_after_stall(host, NOW, STALL_TIME)
    account = host.accounts[7]
    assert account.refilled_at == 160.0 and account.ledgers[0].peer_state_at == -math.inf
    assert account.ledgers[0].received_share == 5  # the totals are kept


@pytest.mark.parametrize(("refilled_at", "expected"), [(90.0, 150.0), (130.0, 160.0), (170.0, 170.0)])
def test_a_refill_is_dated_no_later_than_now_and_never_earlier_than_it_was(host, refilled_at, expected):
    host.accounts[7].refilled_at = refilled_at
    resume_after_stall(host, NOW, STALL_TIME)
    assert host.accounts[7].refilled_at == expected


def test_no_peer_is_silent_and_no_backend_hung_for_the_stall(host):
    resume_after_stall(host, NOW, STALL_TIME)
    backend = host.backends.records["a"]
    assert host.peer_last_received_at == {0: NOW, 2: NOW}
    assert backend.in_flight == {1: (159.0, 2.0)}
    assert (backend.last_answer_at, backend.last_attempt_at) == (NOW, 159.0)
    assert (host.last_exchange_at, host.last_poll_at) == (NOW, NOW)


@pytest.mark.parametrize(("credit", "expected"), [(2.0, 0.0), (-1.5, -1.5)])
@pytest.mark.parametrize("credit_at", [99.0, None])
def test_reports_and_saved_up_credit_are_dropped_and_debt_stays(host, credit, expected, credit_at):
    backend = host.backends.records["a"]
    backend.slow_start_credit, backend.slow_start_credit_at = credit, credit_at
    resume_after_stall(host, NOW, STALL_TIME)
    assert backend.peer_load_at == -math.inf and backend.slow_start_credit == expected
    assert backend.slow_start_credit_at == (None if credit_at is None else NOW)


def test_membership_is_resumed_at_the_time_of_the_resume(host):
    host.membership = FakeMembership()
    host.membership.host = host
    resume_after_stall(host, NOW, STALL_TIME)
    assert host.membership.resumed == [(NOW, STALL_TIME)]
