"""Unit tests of backend selection, over backend records that the tests fill in."""

import random

import pytest

from corkdeal.decisions.accounts import Account
from corkdeal.decisions.backend_selection import BackendSelection
from corkdeal.decisions.backends import BackendRecord, Backends
from corkdeal.decisions.latency_model import DEVIATION_MULTIPLE, INITIAL_DEVIATION, LatencyModel
from corkdeal.decisions.outlier_detection import OutlierDetection
from corkdeal.decisions.pending_request import PendingRequest
from corkdeal.decisions.settings import DeduplicationScope, Effect, RequestClass
from corkdeal.decisions.slow_start import SlowStartBudget
from tests.helpers import PLAN, SAFE, UNSAFE, request, servers, settings

NOW = 100.0


class SelectionFixture:
    """One gateway's backend selection with the components that it reads."""

    def __init__(self, names, zones=None, is_large_tier=False, **more):
        config = settings(0, 300 if is_large_tier else 1, **more)
        rng = random.Random(1)
        self.backends = Backends(0, is_large_tier)
        self.latency_model = LatencyModel(config.classes, is_large_tier)
        self.slow_start = SlowStartBudget(config, rng, self.latency_model.initial_latency)
        self.outlier_detection = OutlierDetection(is_large_tier)
        self.classes = config.classes
        self.selection = BackendSelection(
            config, rng, self.backends, self.latency_model, self.slow_start, self.outlier_detection
        )
        self.backends.apply(servers(*names, zones=zones), lambda e: BackendRecord(e, first_seen_at=NOW))

    def pending(self, request_class=0):
        account = Account(PLAN, 0, 0, 1, NOW, NOW)
        return PendingRequest(
            request(1, cls=request_class), self.classes[request_class], account, 1.0, NOW, NOW + 3.0
        )

    def choose(self, pending=None, now=NOW):
        chosen = self.selection.choose(pending or self.pending(), now, 1.0)
        return chosen and chosen.endpoint.backend

    def __getitem__(self, name):
        return self.backends.records[name]


def test_without_a_backend_there_is_no_choice():
    assert SelectionFixture(()).choose() is None


def test_the_least_loaded_backend_is_chosen_whoever_loads_the_others():
    fixture = SelectionFixture(("a", "b", "c"))
    fixture["a"].in_flight.update({1: (NOW, 0.0), 2: (NOW, 0.0)})
    fixture["b"].peer_load, fixture["b"].peer_load_at = 3.0, NOW
    assert fixture.choose() == "c"


def test_a_slow_backend_is_avoided_until_its_record_decays():
    fixture = SelectionFixture(("a", "b"))
    fixture["a"].latency_ratio, fixture["a"].last_attempt_at = 50.0, NOW
    assert fixture.choose() == "b"
    fixture["b"].in_flight[1] = (NOW, 0.0)
    assert fixture.choose() == "b" and fixture.choose(now=NOW + 60.0) == "a"


def test_a_backend_in_the_own_zone_wins_over_one_alike():
    fixture = SelectionFixture(("far", "near"), zones=(1, 0))
    chosen = [fixture.choose() for _ in range(400)]
    assert chosen.count("near") > 1.5 * chosen.count("far") > 0


def test_a_retry_goes_to_a_backend_that_was_not_tried():
    fixture = SelectionFixture(("a", "b"))
    pending = fixture.pending()
    pending.tried_backends.append(fixture["a"])
    fixture["b"].in_flight.update({1: (NOW, 0.0), 2: (NOW, 0.0)})
    assert fixture.choose(pending) == "b"
    pending.tried_backends.append(fixture["b"])
    assert fixture.choose(pending) == "a"  # all were tried


def test_an_ejected_backend_gets_one_idempotent_request_once_its_trial_is_due():
    fixture = SelectionFixture(("a", "b", "c"))
    fixture.outlier_detection.eject(fixture["a"], NOW)
    due = fixture["a"].ejected_until
    assert fixture.choose() != "a" and fixture.choose(fixture.pending(1), due) != "a"
    assert fixture.choose(now=due) == "a"
    fixture["a"].in_flight[1] = (due, 0.0)
    assert fixture.choose(now=due) != "a"


def test_a_backend_that_rejects_a_class_still_gets_the_others():
    fixture = SelectionFixture(("a", "b"))
    fixture["b"].in_flight.update({1: (NOW, 0.0), 2: (NOW, 0.0)})
    fixture.outlier_detection.on_rejection(fixture["a"], 0, NOW)
    assert fixture.choose(fixture.pending(0)) == "b" and fixture.choose(fixture.pending(1)) == "a"


def test_where_too_many_are_ejected_all_are_used():
    fixture = SelectionFixture(("a", "b"))
    fixture["b"].in_flight.update({k: (NOW, 0.0) for k in range(9)})
    for name in ("a", "b"):
        fixture.outlier_detection.eject(fixture[name], NOW)
    assert fixture.choose() == "a"


@pytest.mark.parametrize(
    ("scope", "expected"),
    [(DeduplicationScope.ALL, "b"), (DeduplicationScope.ZONE, "a"), (DeduplicationScope.CELL, "a")],
)
def test_a_keyed_request_that_may_have_run_goes_where_a_repeat_is_deduplicated(scope, expected):
    keyed = RequestClass(
        latency_objective=1.0,
        deadline=3.0,
        effect=Effect.IDEMPOTENCY_KEY,
        deduplication_scope=scope,
        deduplication_window=2.0,
    )
    fixture = SelectionFixture(("first", "a", "b"), zones=(1, 1, 2), classes=(keyed, SAFE, UNSAFE))
    fixture["a"].in_flight.update({k: (NOW, 0.0) for k in range(9)})
    pending = fixture.pending()
    pending.tried_backends.append(fixture["first"])
    pending.may_have_run_at, pending.may_have_run_on = NOW, fixture["first"]
    assert fixture.choose(pending, NOW + 1.0) == expected
    assert fixture.choose(pending, NOW + 2.0) is None  # the retry would run again


def test_a_gateway_leaves_its_subset_only_if_all_of_it_failed():
    fixture = SelectionFixture(tuple(map(str, range(40))), is_large_tier=True)
    preferred = {record.endpoint.backend for record in fixture.backends.preferred}
    assert {fixture.choose() for _ in range(50)} <= preferred
    for record in fixture.backends.preferred:
        record.failures, record.last_attempt_at = 1, NOW
    assert fixture.choose() not in preferred


def test_the_latest_latency_grows_with_load_and_latency_ratio():
    fixture = SelectionFixture(("a",))
    pending, record = fixture.pending(), fixture["a"]
    idle = fixture.selection.latest_latency(record, pending, 0.0, NOW)
    usual = fixture.latency_model.usual_latency(pending)
    assert idle == usual * (1 + DEVIATION_MULTIPLE * INITIAL_DEVIATION)
    record.latency_ratio, record.last_attempt_at = 3.0, NOW
    assert fixture.selection.latest_latency(record, pending, 0.0, NOW) == pytest.approx(3 * idle)
    assert fixture.selection.latest_latency(record, pending, 3.0, NOW) == pytest.approx(6 * idle)
