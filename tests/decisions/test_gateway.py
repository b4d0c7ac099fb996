"""Fixed rules: one final reply, no unsafe retry, attempt limits, draining and cold backends, hard limits."""

import pytest

from corkdeal.decisions.actions import Fail, Reject, SetTimer, StartAttempt
from corkdeal.decisions.events import ClientDisconnected, EndpointState, Status, TimerExpired, UpdateKind
from corkdeal.decisions.gateway import Gateway
from corkdeal.decisions.settings import DeduplicationScope, Effect, Plan, RequestClass
from tests.helpers import SAFE, outcome, pick, request, servers, settings


def make_gateway(*events, **more):
    gateway = Gateway(settings(**more), seed=1)
    return gateway, gateway.handle(100.0, list(events))


def deadline_timer(actions):
    return [a for a in pick(actions, SetTimer) if a.token][-1]


def test_every_request_is_answered_before_its_deadline():
    gateway, _ = make_gateway(servers("a"))
    actions = gateway.handle(101.0, [request(1, cls=1, timeout=0.5)])
    timer = deadline_timer(actions)
    assert len(pick(actions, StartAttempt)) == 1 and timer.delay < 0.5
    late = gateway.handle(101.0 + timer.delay, [TimerExpired(timer.token)])
    assert pick(late, Fail) == [Fail(1)] and not pick(late, Reject)
    again = gateway.handle(
        101.6,
        [
            TimerExpired(timer.token),
            ClientDisconnected(1),
            ClientDisconnected(1),
            outcome(1, 0, "a", Status.CANCELLED, final=True),
        ],
    )
    assert not pick(again, (Fail, Reject, StartAttempt))


def test_every_rejection_has_a_retry_after():
    gateway, _ = make_gateway(servers())
    gateway.handle(101.0, [request(1)])
    assert all(r.retry_after > 0 for r in pick(gateway.handle(101.9, [TimerExpired(0)]), Reject))
    gateway, _ = make_gateway(servers("a"))
    results = [pick(gateway.handle(101.0, [request(rid, customer=rid)]), Reject) for rid in range(20)]
    rejections = [r for result in results for r in result]
    assert rejections and all(0 < r.retry_after <= 1.0 for r in rejections)


def test_a_request_waiting_for_a_backend_gets_a_reply():
    gateway, _ = make_gateway(servers())
    assert not pick(gateway.handle(101.0, [request(1)]), (Fail, Reject, StartAttempt))
    assert not pick(gateway.handle(102.9, [TimerExpired(0)]), (Fail, Reject))  # its caller has 1.1 s left
    assert pick(gateway.handle(103.9, [TimerExpired(0)]), Reject)
    gateway.handle(104.0, [request(2)])
    assert pick(gateway.handle(104.1, [servers("a"), TimerExpired(0)]), StartAttempt)


@pytest.mark.parametrize(
    "status, again",
    [
        (Status.CONNECT_FAILED, True),
        (Status.REJECTED, True),
        (Status.ERROR, False),
        (Status.RESET, False),
    ],
)
def test_a_request_that_is_not_idempotent_runs_once(status, again):
    gateway, _ = make_gateway(servers("a", "b"))
    sent = pick(gateway.handle(101.0, [request(1, cls=1)]), StartAttempt)[0]
    after = gateway.handle(101.1, [outcome(1, 0, sent.backend, status)])
    assert len(pick(after, StartAttempt)) == again
    assert len(pick(after, Fail)) == (not again) and not pick(after, Reject)


@pytest.mark.parametrize("scope", DeduplicationScope)
def test_a_request_with_an_idempotency_key_is_retried_within_its_scope_and_window(scope):
    keyed = RequestClass(
        latency_objective=2.0,
        deadline=9.0,
        effect=Effect.IDEMPOTENCY_KEY,
        deduplication_scope=scope,
        deduplication_window=1.0,
    )
    for wait, may_retry in ((0.2, True), (1.5, False)):
        gateway, _ = make_gateway(servers("a", "b", zones=[0, 0]), classes=(keyed,))
        sent = pick(gateway.handle(101.0, [request(1, timeout=9.0)]), StartAttempt)[0]
        other = "b" if sent.backend == "a" else "a"
        gateway.handle(101.0, [servers("c", zones=[1], kind=UpdateKind.DELTA)])
        after = gateway.handle(101.0 + wait, [outcome(1, 0, sent.backend, Status.ERROR, elapsed=wait)])
        picked = [s.backend for s in pick(after, StartAttempt)]
        assert picked in (
            [[other], ["c"]]
            if scope is DeduplicationScope.ALL and may_retry
            else [[other]]
            if may_retry
            else [[]]
        )


def test_one_attempt_at_a_time_and_attempt_limit():
    gateway, _ = make_gateway(servers("a", "b", "c", "d", "e"))
    starts = pick(gateway.handle(101.0, [request(1)]), StartAttempt)
    send_count = 0
    while starts:
        assert len(starts) == 1
        send_count += 1
        starts = pick(
            gateway.handle(
                101.0 + send_count / 100,
                [outcome(1, send_count - 1, starts[0].backend, Status.ERROR, elapsed=0.01)],
            ),
            StartAttempt,
        )
    assert send_count == 4


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_draining_backends_get_no_requests(state):
    gateway, _ = make_gateway(servers("a", "b"))
    gateway.handle(101.0, [servers("a", kind=UpdateKind.DELTA, state=state)])
    for i in range(10):
        for send in pick(gateway.handle(101.1 + i / 10, [request(i)]), StartAttempt):
            assert send.backend == "b"


def test_a_cold_backend_gets_less_than_its_budget():
    more = {"initial_capacity": 0.2, "warm_up_time": 10.0, "overload_multiple": 2.0, "overload_window": 1.0}
    plan = Plan(rate=1e6, burst=1e6)
    gateway, _ = make_gateway(servers("new", started=100.0), plans=(plan,), **more)
    usual, sent = 0.15, 0
    for i in range(200):
        now = 100.0 + i / 100
        for send in pick(gateway.handle(now, [request(i), TimerExpired(0)]), StartAttempt):
            sent += 1
            gateway.handle(now, [outcome(send.id, 0, send.backend, elapsed=usual)])
    # multiple x capacity fraction of one core at 2 s x 2 s / gateways
    budget = 2.0 * (0.2 + 0.8 * 0.2) * 2.0 / 3
    assert 0 < sent * usual <= budget + usual


def test_the_hard_limit_is_kept_per_gateway_and_starts_empty():
    plan = Plan(rate=3.0, burst=300.0, hard_limit_rate=6.0, hard_limit_burst=12.0)
    gateway, _ = make_gateway(servers("a", "b"), plans=(plan,))
    assert pick(gateway.handle(100.0, [request(1, units=1.0)]), Reject)
    admitted, now = 0.0, 100.0
    for i in range(2, 400):
        now += 0.05
        for send in pick(gateway.handle(now, [request(i, units=1.0)]), StartAttempt):
            admitted += 1
            gateway.handle(now, [outcome(i, 0, send.backend, elapsed=0.01)])
    assert 0 < admitted <= 2.0 * (now - 100.0) + 4.0


def test_the_hard_limit_holds_even_if_requests_beyond_the_quota_pay():
    plan = Plan(
        rate=3.0,
        burst=3.0,
        over_quota_weight=1.0,
        over_quota_cost=0.1,
        hard_limit_rate=3.0,
        hard_limit_burst=3.0,
    )
    gateway, _ = make_gateway(servers("a"), plans=(plan,), classes=(SAFE,))
    assert pick(gateway.handle(100.0, [request(1)]), Reject)
