"""How the decisions handle failing, slow and overloaded backends and exhausted quotas, one test per case."""

import pytest

from corkdeal.decisions.actions import (
    CancelAttempt,
    Fail,
    Reject,
    SendToPeer,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from corkdeal.decisions.events import EndpointUpdate, Status, StreamStarted, TimerExpired, UpdateKind
from corkdeal.decisions.gateway import Gateway
from corkdeal.decisions.retries import MAX_RETRY_BUDGET
from corkdeal.decisions.settings import Effect, Plan, RequestClass
from tests.helpers import PLAN, outcome, pick, request, servers, settings

UNLIMITED = Plan(rate=1e6, burst=1e6)


def gateway_with(*names, **more):
    more.setdefault("plans", (UNLIMITED,))
    gateway = Gateway(settings(**more), seed=3)
    gateway.handle(100.0, [servers(*names)])
    return gateway


def send_requests(gateway, count, status_of, now=101.0, step=0.05, cls=0):
    """Send `count` requests; `status_of(backend)` is the status of an attempt or None for no answer.

    Returns the number of attempts by backend, and the time after the last one.
    """
    attempts_by_backend = {}
    for _ in range(count):
        now += step
        actions = gateway.handle(now, [request(int(now * 1000), cls=cls), TimerExpired(0)])
        for send in pick(actions, StartAttempt):
            attempts_by_backend[send.backend] = attempts_by_backend.get(send.backend, 0) + 1
            status = status_of(send.backend)
            if status is not None:
                gateway.handle(
                    now,
                    [
                        outcome(
                            send.id,
                            len(gateway.requests.pending[send.id].tried_backends) - 1,
                            send.backend,
                            status,
                            elapsed=0.03,
                            final=True,
                        )
                    ],
                )
    return attempts_by_backend, now


@pytest.mark.parametrize("failure", [Status.ERROR, Status.CONNECT_FAILED, Status.REJECTED, None])
def test_failing_rejecting_and_hanging_backends_are_avoided(failure):
    gateway = gateway_with("a", "b", "c", "d")
    attempts, now = send_requests(gateway, 100, lambda backend: failure if backend == "a" else Status.OK)
    assert attempts["a"] < 15
    _, now = send_requests(gateway, 300, lambda backend: Status.OK, now)
    later_attempts, _ = send_requests(gateway, 200, lambda backend: Status.OK, now)
    if failure is not None:
        assert not gateway.backends.records["a"].is_ejected and later_attempts["a"] > 20


def test_a_hanging_attempt_of_an_idempotent_request_moves_to_another_backend():
    gateway = gateway_with("a", "b", "c", "d")
    first = pick(gateway.handle(101.0, [request(1)]), StartAttempt)[0]
    gateway.handle(101.4, [TimerExpired(0)])
    cancel = pick(gateway.handle(101.7, [TimerExpired(0)]), CancelAttempt)
    assert cancel == [CancelAttempt(1, 0)]
    moved = pick(gateway.handle(101.7, [outcome(1, 0, first.backend, Status.CANCELLED, 0.7)]), StartAttempt)
    assert len(moved) == 1 and moved[0].backend != first.backend


@pytest.mark.parametrize("effect", Effect)
def test_a_lost_answer_moves_its_request_but_ejects_no_backend(effect):
    moves = effect is not Effect.NOT_IDEMPOTENT
    cls = RequestClass(latency_objective=1.5, deadline=4.0, effect=effect, deduplication_window=10.0)
    gateway = gateway_with("a", classes=(cls,))
    gateway.handle(101.0, [request(1, timeout=4.0)])
    for i in range(40):  # meanwhile the backend answers other requests
        gateway.handle(101.0 + i * 0.05, [request(10 + i, timeout=4.0)])
        gateway.handle(101.02 + i * 0.05, [outcome(10 + i, 0, "a", elapsed=0.02)])
    assert not pick(gateway.handle(102.9, [TimerExpired(0)]), CancelAttempt)
    actions = gateway.handle(103.1, [TimerExpired(0)])  # over half of its caller's time has passed
    assert (gateway.requests.pending[1].is_cancelled, gateway.backends.records["a"].is_ejected) == (
        moves,
        False,
    )
    if moves:
        gateway.handle(103.1, [outcome(1, 0, "a", Status.CANCELLED, 2.1)])
    assert (gateway.requests.pending[1].attempts, len(pick(actions, (Fail, Reject)))) == (1 + moves, 0)


def test_most_of_the_fleet_is_never_ejected():
    gateway = gateway_with("a", "b", "c", "d")
    send_requests(gateway, 60, lambda backend: Status.ERROR)
    actions = gateway.handle(200.0, [request(999999)])
    assert pick(actions, StartAttempt)


def test_retry_budget_prevents_storms():
    gateway = gateway_with(*"abcdefgh", max_attempts=6)
    send_count = first_attempts = 0
    for i in range(200):
        starts = pick(gateway.handle(101.0 + i / 20, [request(i)]), StartAttempt)
        first_attempts += bool(starts)
        attempt = 0
        while starts:
            send_count += 1
            failed = outcome(i, attempt, starts[0].backend, Status.ERROR, 0.001)
            starts = pick(gateway.handle(101.0 + i / 20, [failed]), StartAttempt)
            attempt += 1
    assert send_count <= first_attempts * 1.2 + MAX_RETRY_BUDGET + 1


def test_an_overloaded_fleet_rejects_at_once_those_whose_time_is_too_short():
    gateway = gateway_with("a", "b")
    for i in range(100):
        gateway.handle(101.0 + i / 100, [request(i)])
    model, load = gateway.latency_model, len(gateway.requests.pending) / 2
    # each backend has what it is expected to answer in the 3 s that these callers have, and no more
    pending = next(iter(gateway.requests.pending.values()))
    assert model.latest_latency(pending, load - 1, 1.0) <= 3.0 < model.latest_latency(pending, load + 1, 1.0)
    assert pick(gateway.handle(102.0, [request(998)]), Reject)


def test_at_the_same_load_the_time_left_decides_who_is_rejected():
    gateway = gateway_with("a", "b")
    for i in range(12):
        gateway.handle(101.0 + i / 100, [request(i)])
    assert pick(gateway.handle(101.5, [request(98, timeout=0.6)]), Reject)
    assert pick(gateway.handle(101.5, [request(99)]), StartAttempt)


def test_a_bad_record_does_not_exclude_a_backend():
    gateway = gateway_with("a")
    gateway.backends.records["a"].latency_ratio, gateway.backends.records["a"].last_attempt_at = 50.0, 99.9
    assert pick(gateway.handle(100.1, [request(1)]), Reject)
    assert pick(gateway.handle(101.0, [request(2)]), StartAttempt)


def test_a_clients_retry_is_demand_like_a_first_request():
    demands = []
    for is_retry in (False, True):
        gateway = gateway_with("a", plans=(PLAN,))
        gateway.handle(101.0, [request(1)])
        gateway.handle(101.0, [request(2, is_retry=is_retry)])
        demands.append(gateway.accounts[7].demand)
    assert demands[0] == demands[1] > 0


def test_a_request_beyond_the_quota_is_rejected_at_once_with_retry_after():
    gateway = gateway_with("a", "b", plans=(PLAN,))
    answers = [gateway.handle(101.0, [request(i, units=4.0)]) for i in range(12)]
    rejections = [r for actions in answers for r in pick(actions, Reject)]
    assert rejections and all(0 < r.retry_after <= 1.0 for r in rejections)


def test_a_neighbours_level_is_credit():
    gateway = gateway_with("a", "b", plans=(PLAN,))
    account = gateway.account(7, 0, 0, 3)
    account.level, account.refilled_at = 0.0, 101.0
    assert not gateway.admission.is_within_quota(account, 2.0, 1 / 3, gateway.now)
    gateway.now, gateway.peer_last_received_at[1] = 101.0, 101.0
    account.ledgers[1].peer_level, account.ledgers[1].peer_state_at = 8.0, 101.0
    assert gateway.admission.is_within_quota(account, 2.0, 1 / 3, gateway.now)
    account.ledgers[1].peer_state_at = 50.0
    assert not gateway.admission.is_within_quota(account, 2.0, 1 / 3, gateway.now)


def test_concurrency_slots_are_shared_and_small_shares_not_starved():
    plan = Plan(max_in_flight=2)
    gateway = gateway_with("a", "b", plans=(plan,))
    assert pick(gateway.handle(101.0, [request(1)]), StartAttempt)
    assert pick(gateway.handle(101.0, [request(2)]), Reject)
    gateway.handle(101.1, [outcome(1, 0, gateway.requests.pending[1].backend.endpoint.backend)])
    assert pick(gateway.handle(101.2, [request(3)]), StartAttempt)


def test_true_units_correct_the_bucket():
    gateway = gateway_with("a", plans=(PLAN,), is_post_paid=True)
    send = pick(gateway.handle(101.0, [request(1, units=1.0)]), StartAttempt)[0]
    before = gateway.accounts[7].level
    gateway.handle(101.0, [outcome(1, 0, send.backend, true_units=4.0)])
    assert gateway.accounts[7].level == pytest.approx(before - 3.0)


def test_streams_have_no_deadline():
    stream = RequestClass(latency_objective=1.0, deadline=2.0, is_streaming=True)
    gateway = gateway_with("a", classes=(stream,))
    actions = gateway.handle(101.0, [request(1, timeout=2.0)])
    token = next(x.token for x in pick(actions, SetTimer) if x.token)
    gateway.handle(101.1, [StreamStarted(1, 0, "a", 0.1)])
    assert not pick(
        gateway.handle(103.0, [TimerExpired(token), TimerExpired(0)]), (Fail, Reject, CancelAttempt)
    )


def test_endpoint_lists_on_request_are_watched_again():
    gateway = Gateway(settings(is_endpoint_list_pushed=False, poll_interval=4.0), seed=1)
    assert pick(gateway.handle(100.0, []), WatchEndpoints)
    assert pick(gateway.handle(102.0, [EndpointUpdate(UpdateKind.FAILED), TimerExpired(0)]), WatchEndpoints)


def test_shared_slowness_is_seen_within_a_second_of_answers():
    gateway = gateway_with(*"abcdefghij")
    _, now = send_requests(gateway, 100, lambda backend: Status.OK)
    usual = gateway.latency_model.fleet_latency_ratio
    for i in range(20):
        now += 0.05
        for send in pick(gateway.handle(now, [request(i)]), StartAttempt):
            gateway.handle(now, [outcome(i, 0, send.backend, elapsed=0.3)])
    assert gateway.latency_model.fleet_latency_ratio > 2 * usual


def test_idle_backends_share_the_work():
    gateway = gateway_with("a", "b", "c", "d")
    attempts, _ = send_requests(gateway, 400, lambda backend: Status.OK)
    assert min(attempts.values()) > 40


def test_no_messages_where_they_are_not_allowed():
    gateway = gateway_with("a", may_message_peers=False, gateways=2)
    assert not pick(gateway.handle(101.0, [request(1, spread=2), TimerExpired(0)]), SendToPeer)
    gateway.handle(105.0, [TimerExpired(0)])
    # without messages, silence is no sign of a failure
    assert gateway.quota_share(gateway.accounts[7]) == pytest.approx(1 / 2)


def test_retry_after_of_a_concurrency_limit_is_about_a_service_time():
    gateway = gateway_with("a", "b", plans=(Plan(max_in_flight=2),))
    gateway.handle(101.0, [request(1)])
    rejections = pick(gateway.handle(101.0, [request(2)]), Reject)
    assert len(rejections) == 1 and 0 < rejections[0].retry_after < 0.5


@pytest.mark.parametrize("order", [1, -1])
def test_the_order_of_the_classes_changes_no_assumed_latency(order):
    """The latency assumed before any answer must not depend on the order of classes in the settings."""
    quick, slow = (
        RequestClass(latency_objective=0.8, deadline=2.4),
        RequestClass(latency_objective=3.5, deadline=9.0),
    )
    gateway = gateway_with("a", gateways=12, plans=(Plan(max_in_flight=4),), classes=(quick, slow)[::order])
    account = gateway.account(7, 0, 0, 12)
    assert gateway.rate(account) == pytest.approx(0.3 * 4 / (0.15 * 0.8))


@pytest.mark.parametrize("elapsed", [0.1, 0.3, 0.6])
@pytest.mark.parametrize(("weight", "cost"), [(0.0, 0.0), (0.3, 0.0), (1.0, 0.5)])
def test_only_requests_within_the_quota_are_served_whatever_the_load(elapsed, weight, cost):
    """A quota holds for idle backends too, and whatever the score gives for a request beyond it."""
    plan = Plan(rate=100.0, burst=100.0, over_quota_weight=weight, over_quota_cost=cost)
    gateway = gateway_with("a", "b", plans=(plan,))
    for i in range(300):
        gateway.handle(101.0 + i / 10, [request(i, customer=i)])
        for (request_id, attempt), (backend, _) in list(gateway.requests.attempts_in_flight.items()):
            gateway.handle(
                101.0 + i / 10, [outcome(request_id, attempt, backend.endpoint.backend, elapsed=elapsed)]
            )
    sent = []
    for level in (30.0, 0.0):
        account = gateway.account(7, 0, 0, 3)
        account.level = account.demand = level
        account.refilled_at = 131.0
        sent.append(len(pick(gateway.handle(131.0, [request(int(900 + level))]), StartAttempt)))
    assert sent == [1, 0]
    assert gateway.early_rejection(131.0, request(990)) is not None
