"""The time from when discovery has a change and is reachable until the watch passes it on.

Covers every way in which a call can fail, tiers of all sizes, and pushed and polled lists, in virtual time.
The random generator always draws the longest pause, and the outage ends at many moments between two calls.
`docs/discovery.md` has the calculated and the measured times.
"""

import itertools

import pytest

from corkdeal import logs
from corkdeal.logs.events import EVENTS
from corkdeal.net import discovery_watch
from corkdeal.net.discovery_retry import RetryPauses

from .discovery_world import ONE_WAY, LongestPause, WatchHarness
from .helpers import settings

NOTIFIED_AFTER = 6.0  # s; the rule, on purpose not read from discovery_retry
CALL_ALLOWANCE = 1.0  # s of NOTIFIED_AFTER reserved for the call that returns the change; here it takes 3 ms
SLACK = 0.01  # s
GRACE = 0.25  # s, of a drain
OUTAGE_BEGINS = 12.0  # s; all watches are running by then
MOMENTS = [0.47 * i for i in range(8)]  # s; ends of an outage, relative to the shortest one

LONGEST_CALL = {  # s that a failed call takes, by fault
    "refused": 0.0,
    "never comes up": 1.0,
    "reset": 0.0,
    "silent": 3.0,
    "head without body": 3.0,
    "body trickles": 3.0,
    "head trickles": 3.0,
    "list cut off": 0.0,
    "list without length cut off": 0.0,
    "HTTP 500": 0.0,
    "HTTP 503 at once": 0.0,
    "no JSON": 0.0,
    "wrong form": 0.0,
}
RELOADED = ["refused", "never comes up", "silent", "head without body", "wrong form"]
SIZES = [3, 30, 200, 1100]


def time_until_notified(pushed, gateways, reloads_at=None, since=None, **script):
    """Return the seconds until the drain is passed on.

    They count from `since`, or from when discovery had the drain and was reachable.
    """
    world = WatchHarness(pushed, gateways, **script)
    if reloads_at is not None:
        world.clock.callLater(reloads_at, world.reload)
    if since is None:
        since = max(script["ends"], script["drains_at"])
    world.run_until(since + 400.0, until_notified=True)
    assert world.notified_at is not None
    return world.notified_at - since


def worst_after_outage(fault, pushed, gateways, reload=False, **more):
    worst = 0.0
    for moment in MOMENTS:
        ends = OUTAGE_BEGINS + 9.0 + moment
        for drains_at in (OUTAGE_BEGINS + 1.0, ends + 0.7):
            script = {"begins": OUTAGE_BEGINS, "ends": ends, "drains_at": drains_at, **more}
            reloads_at = ends - 1.3 if reload else None
            worst = max(worst, time_until_notified(pushed, gateways, reloads_at, fault=fault, **script))
    return worst


def longest(pushed, call):
    """Return the longest time that a failed call and a pause may take together."""
    return call + GRACE + SLACK if pushed else NOTIFIED_AFTER - CALL_ALLOWANCE + SLACK


@pytest.mark.parametrize("gateways", SIZES)
@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
@pytest.mark.parametrize("fault", LONGEST_CALL)
def test_a_change_is_told_in_time_after_an_outage(fault, pushed, gateways):
    assert worst_after_outage(fault, pushed, gateways) <= longest(pushed, LONGEST_CALL[fault])


@pytest.mark.parametrize("gateways", SIZES)
@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
@pytest.mark.parametrize("fault", RELOADED)
def test_a_change_is_told_in_time_after_a_reload_in_an_outage(fault, pushed, gateways):
    worst = worst_after_outage(fault, pushed, gateways, reload=True)
    assert worst <= longest(pushed, LONGEST_CALL[fault])


@pytest.mark.parametrize("gateways", SIZES)
@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
def test_a_discovery_that_begins_anew_tells_in_time(pushed, gateways):
    assert worst_after_outage("refused", pushed, gateways, restarted=True) <= longest(pushed, 0.0)


def worst_after_silence(pushed, gateways, fault="watch falls silent", outage=0.0):
    """The time counts from when the watch stops responding, or from the end of an outage that follows."""
    worst = 0.0
    for moment in MOMENTS:
        falls_silent = OUTAGE_BEGINS + moment / 2
        for drains_after in (0.1, 1.0, 2.9):
            ends = falls_silent + max(outage, 0.01)
            since = falls_silent if not outage else ends
            script = {"begins": falls_silent, "ends": ends, "drains_at": falls_silent + drains_after}
            worst = max(worst, time_until_notified(pushed, gateways, since=since, fault=fault, **script))
    return worst


@pytest.mark.parametrize("gateways", SIZES)
@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
def test_a_watch_that_falls_silent_is_opened_anew_in_time(pushed, gateways):
    assert worst_after_silence(pushed, gateways) <= NOTIFIED_AFTER - CALL_ALLOWANCE + SLACK


@pytest.mark.parametrize("gateways", SIZES)
@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
@pytest.mark.parametrize("outage", [0.5, 2.0, 4.0, 12.0])
def test_a_watch_that_falls_silent_just_before_an_outage_is_opened_anew_in_time(outage, pushed, gateways):
    worst = worst_after_silence(pushed, gateways, "never comes up", outage)
    assert worst <= NOTIFIED_AFTER - CALL_ALLOWANCE + SLACK


@pytest.mark.parametrize("gateways", SIZES)
@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
def test_what_changes_while_an_answer_is_on_its_way_comes_with_the_next_call(pushed, gateways):
    script = {"begins": OUTAGE_BEGINS, "ends": OUTAGE_BEGINS + 2.2, "drains_at": OUTAGE_BEGINS + 3.0}
    assert time_until_notified(pushed, gateways, fault="slow answer", **script) <= 1.5 + SLACK


@pytest.mark.parametrize("gateways", SIZES)
def test_a_starting_gateway_calls_before_it_counts_as_notified(gateways):
    world = WatchHarness(False, gateways, fault=None, begins=None, ends=0.0, drains_at=0.5)
    world.run_until(200.0, until_notified=True)
    assert world.notified_at <= world.settings.poll_interval - CALL_ALLOWANCE + SLACK


def test_a_list_without_length_that_ends_with_its_connection_is_passed_on():
    world = WatchHarness(True, 3, fault="list without length cut off", begins=1.0, ends=3.0, drains_at=2.0)
    world.discovery.respond_with_fault = lambda connection: (
        world.discovery.answer(connection, world.discovery.body(True), length=False),
        connection.loseConnection(),
    )
    world.run_until(3.0, until_notified=True)
    assert world.notified_at is not None and world.notified_at < 3.0


@pytest.mark.parametrize("fault", LONGEST_CALL)
def test_an_outage_leaves_no_connections_behind(fault):
    world = WatchHarness(True, 3, fault=fault, begins=1.0, ends=61.0, drains_at=2.0)
    world.run_until(66.0)
    assert world.notified_at is not None
    assert sum(not connection.ended for connection in world.discovery.connections) <= 1


def test_a_list_without_end_is_abandoned_and_not_buffered():
    world = WatchHarness(True, 3, fault="head without body", begins=1.0, ends=2.0, drains_at=1.5)
    world.discovery.respond_with_fault = lambda connection: (
        connection.send(b"HTTP/1.1 200 OK\r\n\r\n"),
        connection.send(b" " * (discovery_watch.MAX_BODY + 1)),
    )
    world.run_until(4.0, until_notified=True)
    assert world.notified_at is not None
    assert sum(not connection.ended for connection in world.discovery.connections) <= 1


def test_an_exception_in_on_snapshot_does_not_end_the_watch(monkeypatch):
    written = []
    monkeypatch.setattr(logs, "event", lambda name, **pairs: written.append((EVENTS[name], pairs)))
    world = WatchHarness(True, 3, fault=None, begins=None, ends=0.0, drains_at=1.0)
    pass_on, faults = world.watch.on_snapshot, [ValueError("a fault in the gateway")] * 3

    def record(snapshot):
        if snapshot.entries and faults:
            raise faults.pop()
        pass_on(snapshot)

    world.watch.on_snapshot = record
    world.run_until(10.0, until_notified=True)
    assert world.notified_at is not None and not faults
    assert sum("a fault in the gateway" in pairs.get("trace", "") for _, pairs in written) == 3
    assert len(world.discovery.calls) < 10


@pytest.mark.parametrize("gateways", SIZES)
@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
@pytest.mark.parametrize("fault", ["refused", "silent", "HTTP 500", "wrong form"])
def test_a_long_outage_costs_few_calls(fault, pushed, gateways):
    outage = 200.0
    ends = OUTAGE_BEGINS + outage
    world = WatchHarness(pushed, gateways, fault=fault, begins=OUTAGE_BEGINS, ends=ends, drains_at=ends)
    world.run_until(ends)
    calls = [at for at in world.discovery.calls if at >= OUTAGE_BEGINS]
    if pushed:
        shortest = 0.1 / 2
    elif gateways == 3:
        shortest = 1.2 / 2
    else:
        shortest = 5.0 / 2 - LONGEST_CALL[fault] / 2
    assert len(calls) <= outage / (LONGEST_CALL[fault] + shortest) + 10


@pytest.mark.parametrize("gateways", SIZES)
def test_only_calls_turned_away_after_a_line_are_spread_by_the_size_of_the_tier(gateways):
    pauses = RetryPauses(settings(gateways=gateways, is_endpoint_list_pushed=False), LongestPause())
    drawn = [pauses.after_failure(2.0, overloaded=True) for _ in range(5)]
    assert drawn == pytest.approx([gateways * s for s in (0.1, 0.2, 0.4, 0.4, 0.4)], rel=0.01)
    assert pauses.after_failure(2.0) <= NOTIFIED_AFTER - CALL_ALLOWANCE - 2.0


def test_a_call_turned_away_after_a_line_leaves_the_service_time():
    ends = OUTAGE_BEGINS + 200.0
    script = {"begins": OUTAGE_BEGINS, "ends": ends, "drains_at": ends}
    world = WatchHarness(False, 200, fault="HTTP 503 after a line", **script)
    connects = world.discovery.calls
    world.run_until(ends)
    gaps = [b - a for a, b in itertools.pairwise(connects)]
    assert max(gaps) == pytest.approx(80.0 + 2.0 + 2 * ONE_WAY, abs=0.1)
