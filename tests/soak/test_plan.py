"""Plans of the soak come from their seeds alone and stay within what a run can carry out."""

from corkdeal.experiment.soak.plan import MAX_STARTS, Behaviour, GatewayEvent, draw_plan

SEEDS = range(60)


def test_the_same_seed_gives_the_same_plan():
    assert [draw_plan(seed, 20.0) for seed in SEEDS] == [draw_plan(seed, 20.0) for seed in SEEDS]


def test_all_that_can_happen_is_drawn_by_some_seed():
    plans = [draw_plan(seed, 30.0) for seed in SEEDS]
    assert {event.kind for plan in plans for event in plan.gateway_events} == set(GatewayEvent)
    assert {behaviour for plan in plans for behaviour in plan.behaviours} == set(Behaviour)
    assert {plan.gateway_count for plan in plans} == set(range(1, 7))
    assert {plan.is_inherited for plan in plans} == {True, False}
    assert {plan.long_values.broken_answers for plan in plans} == {0.0, 0.05, 0.3}
    assert {bool(plan.long_values.answers) for plan in plans} == {True, False}
    assert any(plan.long_values.requests and plan.pipeline > 1 for plan in plans)
    assert any(plan.crowd for plan in plans) and not all(plan.crowd for plan in plans)


def test_no_gateway_is_started_more_often_than_it_has_ports_for():
    for plan in (draw_plan(seed, 300.0) for seed in SEEDS):
        for gateway in range(plan.gateway_count):
            starts = [
                event
                for event in plan.gateway_events
                if event.gateway == gateway
                and event.kind in (GatewayEvent.RESTART, GatewayEvent.KILL, GatewayEvent.UPGRADE)
            ]
            assert len(starts) < MAX_STARTS
