"""The five rules, one guard each."""

import pytest

from corkdeal.decisions import interface as t
from corkdeal.decisions.gateway import Gateway
from tests.helpers import SAFE, outcome, pick, request, servers, settings


def gateway(*events, **more):
    g = Gateway(settings(**more), seed=1)
    return g, g.handle(100.0, list(events))


def timer_of(actions):
    return [a for a in pick(actions, t.SetTimer) if a.token][-1]


def test_every_request_is_answered_before_its_deadline():
    g, _ = gateway(servers("a"))
    actions = g.handle(101.0, [request(1, cls=1, patience=0.5)])
    timer = timer_of(actions)
    assert len(pick(actions, t.Send)) == 1 and timer.delay < 0.5
    late = g.handle(101.0 + timer.delay, [t.TimerDue(timer.token)])
    assert pick(late, t.Fail) == [t.Fail(1)] and not pick(late, t.Refuse)
    again = g.handle(
        101.6,
        [
            t.TimerDue(timer.token),
            t.ClientGone(1),
            t.ClientGone(1),
            outcome(1, 0, "a", t.Status.CANCELLED, final=True),
        ],
    )
    assert not pick(again, (t.Fail, t.Refuse, t.Send))


def test_every_refusal_says_when_to_come_back():
    g, _ = gateway(servers())
    g.handle(101.0, [request(1)])
    assert all(r.retry_after > 0 for r in pick(g.handle(101.9, [t.TimerDue(0)]), t.Refuse))
    g, _ = gateway(servers("a"))
    pressed = [pick(g.handle(101.0, [request(rid, customer=rid)]), t.Refuse) for rid in range(20)]
    refused = [r for some in pressed for r in some]
    assert refused and all(0 < r.retry_after <= 1.0 for r in refused)


def test_held_request_without_a_server_gets_an_answer():
    g, _ = gateway(servers())
    assert not pick(g.handle(101.0, [request(1)]), (t.Fail, t.Refuse, t.Send))
    assert pick(g.handle(101.9, [t.TimerDue(0)]), t.Refuse)
    g.handle(102.0, [request(2)])
    assert pick(g.handle(102.1, [servers("a"), t.TimerDue(0)]), t.Send)


@pytest.mark.parametrize(
    "status, again",
    [
        (t.Status.CONNECT_FAILED, True),
        (t.Status.FULL, True),
        (t.Status.ERROR, False),
        (t.Status.RESET, False),
    ],
)
def test_unsafe_runs_once(status, again):
    g, _ = gateway(servers("a", "b"))
    sent = pick(g.handle(101.0, [request(1, cls=1)]), t.Send)[0]
    after = g.handle(101.1, [outcome(1, 0, sent.server, status)])
    assert len(pick(after, t.Send)) == again
    assert len(pick(after, t.Fail)) == (not again) and not pick(after, t.Refuse)


@pytest.mark.parametrize("group", t.Group)
def test_keyed_stays_in_its_group_and_window(group):
    keyed = t.RequestClass(aim=2.0, deadline=9.0, effect=t.Effect.KEYED, group=group, window=1.0)
    for wait, may in ((0.2, True), (1.5, False)):
        g, _ = gateway(servers("a", "b", zones=[0, 0]), classes=(keyed,))
        sent = pick(g.handle(101.0, [request(1, patience=9.0)]), t.Send)[0]
        other = "b" if sent.server == "a" else "a"
        g.handle(101.0, [servers("c", zones=[1], kind=t.ListKind.DELTA)])
        after = g.handle(101.0 + wait, [outcome(1, 0, sent.server, t.Status.ERROR, elapsed=wait)])
        picked = [s.server for s in pick(after, t.Send)]
        assert picked in ([[other], ["c"]] if group is t.Group.ALL and may else [[other]] if may else [[]])


def test_one_attempt_at_a_time_and_attempt_limit():
    g, _ = gateway(servers("a", "b", "c", "d", "e"))
    out = pick(g.handle(101.0, [request(1)]), t.Send)
    sends = 0
    while out:
        assert len(out) == 1
        sends += 1
        out = pick(
            g.handle(
                101.0 + sends / 100, [outcome(1, sends - 1, out[0].server, t.Status.ERROR, elapsed=0.01)]
            ),
            t.Send,
        )
    assert sends == 4


@pytest.mark.parametrize("state", [t.ServerState.DRAINING, t.ServerState.GONE])
def test_drained_servers_get_nothing(state):
    g, _ = gateway(servers("a", "b"))
    g.handle(101.0, [servers("a", kind=t.ListKind.DELTA, state=state)])
    for i in range(10):
        for send in pick(g.handle(101.1 + i / 10, [request(i)]), t.Send):
            assert send.server == "b"


def test_cold_server_gets_less_than_its_budget():
    more = {"cold_share": 0.2, "warm_within": 10.0, "fall_multiple": 2.0, "fall_window": 1.0}
    plan = t.Plan(rate=1e6, burst=1e6)
    g, _ = gateway(servers("new", started=100.0), plans=(plan,), **more)
    usual, sent = 0.15, 0
    for i in range(200):
        now = 100.0 + i / 100
        for send in pick(g.handle(now, [request(i), t.TimerDue(0)]), t.Send):
            sent += 1
            g.handle(now, [outcome(send.id, 0, send.server, elapsed=usual)])
    budget = 2.0 * (0.2 + 0.8 * 0.2) * 2.0 / 3  # multiple x share of one core by then x span / gateways
    assert 0 < sent * usual <= budget + usual


def test_ceiling_is_kept_alone_and_starts_empty():
    plan = t.Plan(rate=3.0, burst=300.0, ceiling_rate=6.0, ceiling_burst=12.0)
    g, _ = gateway(servers("a", "b"), plans=(plan,))
    assert pick(g.handle(100.0, [request(1, units=1.0)]), t.Refuse)
    let_in, now = 0.0, 100.0
    for i in range(2, 400):
        now += 0.05
        for send in pick(g.handle(now, [request(i, units=1.0)]), t.Send):
            let_in += 1
            g.handle(now, [outcome(i, 0, send.server, elapsed=0.01)])
    assert 0 < let_in <= 2.0 * (now - 100.0) + 4.0


def test_ceiling_holds_even_where_going_over_quota_pays():
    plan = t.Plan(rate=3.0, burst=3.0, over_worth=1.0, over_cost=0.1, ceiling_rate=3.0, ceiling_burst=3.0)
    g, _ = gateway(servers("a"), plans=(plan,), classes=(SAFE,))
    assert pick(g.handle(100.0, [request(1)]), t.Refuse)
