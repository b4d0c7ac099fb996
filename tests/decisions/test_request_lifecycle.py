"""Unit tests of the request lifecycle, with a fake host without sockets, timers or peers."""

import random

import pytest

from corkdeal.decisions.accounts import AccountTable
from corkdeal.decisions.actions import CancelAttempt, Fail, Reject, SetTimer, StartAttempt
from corkdeal.decisions.admission import Admission
from corkdeal.decisions.aggregation_tree import AggregationScheduler
from corkdeal.decisions.backend_selection import BackendSelection
from corkdeal.decisions.backends import BackendRecord, Backends
from corkdeal.decisions.events import Status, StreamStarted
from corkdeal.decisions.latency_model import LatencyModel
from corkdeal.decisions.outlier_detection import OutlierDetection
from corkdeal.decisions.request_lifecycle import RequestLifecycle
from corkdeal.decisions.retries import Retries
from corkdeal.decisions.settings import Plan
from corkdeal.decisions.slow_start import SlowStartBudget
from tests.helpers import outcome, pick, request, servers, settings

UNSAFE = 1  # index of the class that is not idempotent
BURST = 3.0
PLAN = Plan(rate=1.0, burst=BURST)


class FakeHost:
    """A gateway that is the only one in its tier, with a flag for the admission ramp."""

    def __init__(self, config):
        self.now = 100.0
        self.actions = []
        self.quota_fraction = 1.0
        self.is_endpoint_list_stale = False
        self.has_ramp_capacity = True
        self.table = AccountTable(config)

    def has_room_for(self, customer):
        return True

    def account(self, customer, plan, first_gateway, member_count):
        accounts = self.table.by_customer
        if customer not in accounts:
            self.table.create(customer, plan, first_gateway, member_count, self.now)
        return accounts[customer]

    def refill(self, account):
        account.refill(self.now, 1.0, True)
        return 1.0

    def may_start_attempt(self):
        return self.has_ramp_capacity


def make(*names):
    config = settings(0, 1, plans=(PLAN,))
    host, rng = FakeHost(config), random.Random(1)
    backends = Backends(0, False)
    backends.apply(servers(*names), lambda endpoint: BackendRecord(endpoint, first_seen_at=host.now))
    latency_model = LatencyModel(config.classes, False)
    slow_start = SlowStartBudget(config, rng, latency_model.initial_latency)
    outlier_detection = OutlierDetection(False)
    selection = BackendSelection(config, rng, backends, latency_model, slow_start, outlier_detection)
    admission = Admission(rng, AggregationScheduler(1, 0.0), lambda *_: False, latency_model.attempt_time)
    lifecycle = RequestLifecycle(
        config,
        host,
        host.table,
        admission,
        backends,
        selection,
        latency_model,
        slow_start,
        outlier_detection,
        Retries(config),
    )
    return lifecycle, host


def take_actions(host):
    actions, host.actions = host.actions, []
    return actions


def test_a_request_inside_the_quota_starts_an_attempt_and_a_deadline_timer():
    lifecycle, host = make("a")
    lifecycle.handle_request(request(1, spread=1))
    timer, start = take_actions(host)
    assert isinstance(timer, SetTimer) and start == StartAttempt(1, "a")
    assert lifecycle.attempts_in_flight[1, 0][0] is lifecycle.backends.records["a"]
    assert host.table.by_customer[7].level == BURST - 1.0


def test_a_request_beyond_the_quota_is_rejected_with_a_retry_after():
    lifecycle, host = make("a")
    lifecycle.handle_request(request(1, units=2.5, spread=1))
    take_actions(host)
    lifecycle.handle_request(request(2, units=1.0, spread=1))
    (rejection,) = pick(take_actions(host), Reject)
    assert rejection.id == 2 and rejection.retry_after == pytest.approx(0.5, rel=1e-3)
    assert lifecycle.rejection_counts == {"beyond_quota": 1} and 2 not in lifecycle.pending


def test_a_request_within_the_quota_is_rejected_if_the_ramp_has_no_capacity():
    lifecycle, host = make("a")
    host.has_ramp_capacity = False
    lifecycle.handle_request(request(1, spread=1))
    assert pick(take_actions(host), Reject) and lifecycle.rejection_counts == {"inside_opening": 1}
    assert host.table.by_customer[7].level == BURST  # nothing was spent


def test_the_ramp_limits_first_attempts_and_retries_alike():
    lifecycle, host = make("a", "b")
    lifecycle.handle_request(request(1, spread=1))
    (start,) = pick(take_actions(host), StartAttempt)
    host.has_ramp_capacity = False
    lifecycle.handle_attempt_ended(outcome(1, 0, start.backend, Status.REJECTED))
    assert pick(take_actions(host), Reject) and lifecycle.rejection_counts == {"inside_opening": 1}


@pytest.mark.parametrize("is_stale", [False, True])
def test_without_a_usable_backend_a_request_waits_until_there_is_one(is_stale):
    lifecycle, host = make(*(["a"] if is_stale else []))
    host.is_endpoint_list_stale = is_stale
    lifecycle.handle_request(request(1, spread=1))
    assert lifecycle.waiting == [1] and not pick(take_actions(host), StartAttempt)
    host.is_endpoint_list_stale = False
    lifecycle.backends.apply(servers("a"), lambda endpoint: BackendRecord(endpoint, first_seen_at=host.now))
    lifecycle.dispatch_waiting()
    assert take_actions(host) == [StartAttempt(1, "a")] and lifecycle.waiting == []


@pytest.mark.parametrize("timeout", [1.0, 3.0])
def test_a_request_waits_for_a_backend_while_its_callers_time_allows_an_attempt(timeout):
    lifecycle, host = make()
    lifecycle.handle_request(request(1, spread=1, timeout=timeout))
    latest = lifecycle.latency_model.latest_latency(lifecycle.pending[1], 0.0, 1.0)
    host.now = 100.0 + timeout - latest - 0.01
    lifecycle.dispatch_waiting()
    assert not pick(take_actions(host), Reject)
    host.now += 0.02
    lifecycle.dispatch_waiting()
    assert pick(take_actions(host), Reject) and lifecycle.rejection_counts == {"inside_no_server": 1}


@pytest.mark.parametrize(
    ("status", "request_class", "answer"),
    [
        (Status.ERROR, 0, StartAttempt),  # idempotent
        (Status.REJECTED, UNSAFE, StartAttempt),  # it did not run
        (Status.ERROR, UNSAFE, Fail),  # it may have run
    ],
)
def test_a_failed_attempt_is_retried_as_its_class_permits(status, request_class, answer):
    lifecycle, host = make("a", "b")
    lifecycle.handle_request(request(1, cls=request_class, spread=1))
    (start,) = pick(take_actions(host), StartAttempt)
    lifecycle.handle_attempt_ended(outcome(1, 0, start.backend, status))
    (action,) = take_actions(host)
    assert isinstance(action, answer)
    assert answer is Fail or action.backend != start.backend


def test_an_attempt_that_ends_twice_counts_once():
    lifecycle, host = make("a")
    lifecycle.handle_request(request(1, spread=1))
    for _ in range(2):
        lifecycle.handle_attempt_ended(outcome(1, 0, "a"))
    assert host.table.by_customer[7].in_flight == 0 and not lifecycle.pending


def test_a_deadline_answers_a_request_once_and_cancels_its_attempt():
    lifecycle, host = make("a")
    lifecycle.handle_request(request(1, spread=1))
    timer, _ = take_actions(host)
    lifecycle.expire(timer.token)
    assert [type(action) for action in take_actions(host)] == [Reject, CancelAttempt]
    lifecycle.expire(timer.token)
    assert take_actions(host) == []


def test_a_request_whose_answer_has_begun_has_no_deadline():
    lifecycle, host = make("a")
    lifecycle.handle_request(request(1, spread=1))
    timer, _ = take_actions(host)
    lifecycle.handle_stream_started(StreamStarted(1, 0, "a", 0.1))
    lifecycle.expire(timer.token)
    assert take_actions(host) == [] and 1 in lifecycle.pending


def test_a_head_beyond_the_quota_is_rejected_early_and_spends_nothing():
    lifecycle, host = make("a")
    account = host.account(7, 0, 0, 1)
    assert lifecycle.early_rejection(request(1, units=2.0, spread=1)) is None
    account.level = 1.0
    assert lifecycle.early_rejection(request(2, units=2.0, spread=1)) == pytest.approx(1.0, rel=1e-3)
    assert account.level == 1.0 and account.demand > 0 and not lifecycle.pending
