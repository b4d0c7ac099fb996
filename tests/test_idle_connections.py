"""The queues of idle client connections choose as a scan of all connections would, without such a scan."""

import dataclasses
import itertools
import json
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock

from corkdeal.decisions.actions import Fail
from corkdeal.net import config, descriptors, gateway
from corkdeal.net.idle_connections import Awaited, IdleConnections, TimeOrderedQueue, Use
from corkdeal.net.resp import encode_command

from .net_fakes import connect
from .net_world import SETTINGS

PING = b"*1\r\n$4\r\nPING\r\n"
GIVEN = {"listen": "127.0.0.1:6379", "discovery": "127.0.0.1:8500", "seed": "8c1f", "settings": SETTINGS}


def make_gateway(sockets=100_000):
    reactor = MemoryReactorClock()
    new_gateway = gateway.Gateway(
        reactor, dataclasses.replace(config.parse_config(json.dumps(GIVEN).encode(), {}), sockets=sockets)
    )
    new_gateway.now = new_gateway.descriptors.now = reactor.seconds
    return new_gateway, reactor


def has_work_or_ends(c):
    """The reference: whether a connection has work or is being closed."""
    return (
        c.pending_replies or c.terminating or c.half_closed or (c.closing and not c.parser.has_partial_frame)
    )


def to_evict(connections, now):
    """The reference: the connections that may be evicted, in order."""
    idle = [
        c
        for c in connections
        if not has_work_or_ends(c)
        and not (c.has_sent_command and c.parser.has_partial_frame)
        and now - c.idle_since
        >= (descriptors.MIN_IDLE_TIME if c.request_count else descriptors.MIN_SILENT_TIME)
    ]
    return sorted(idle, key=lambda c: (min(c.request_count, 2), c.idle_since))


def expired(connections, now, is_crowded):
    """The reference: the connections that a sweep closes, with what was awaited on them."""
    found = {}
    for c in connections:
        if has_work_or_ends(c) and not (
            c.closing and not c.has_sent_command and not c.terminating and not c.half_closed
        ):
            continue
        if c.body is not None:
            continue
        if c.parser.has_partial_frame:
            if now - c.command_started_at >= descriptors.COMMAND_TIMEOUT:
                found[c] = Awaited.REST_OF_COMMAND
        elif not c.has_sent_command:
            if now - c.idle_since >= (
                descriptors.MIN_SILENT_TIME if is_crowded else descriptors.COMMAND_TIMEOUT
            ):
                found[c] = Awaited.FIRST_COMMAND
        elif now - c.idle_since >= (descriptors.MIN_IDLE_TIME if is_crowded else descriptors.IDLE_TIMEOUT):
            found[c] = Awaited.NEXT_COMMAND
    return found


def asks(connection):
    """Send a request, which the decisions hold because there is no backend."""
    if not connection.parser.has_partial_frame:
        number = next(REQUEST_NUMBERS)
        params = b"c=look,t=large,d=4000,units=1,spread=1,first=0"
        connection.dataReceived(encode_command(b"API.READ", b"%016x" % number, b"%016x" % number, params))


def is_answered(connection):
    unanswered = [rpc for rpc in connection.pending_replies if rpc.reply is None]
    if unanswered:
        connection.gateway.fail(Fail(unanswered[0].request.id))


def half_command(connection):
    if not connection.parser.has_partial_frame:
        connection.dataReceived(PING[:7])


def rest_of_command(connection):
    if connection.parser.has_partial_frame and connection.body is None:
        connection.dataReceived(PING[7:])


def bad_long_command(connection):
    """Send the start of a large command with an invalid customer, whose value is discarded."""
    if not connection.parser.has_partial_frame:
        connection.dataReceived(b"*5\r\n$9\r\nAPI.WRITE\r\n$1\r\nx\r\n$1\r\nx\r\n$1\r\nx\r\n$70000\r\n..")


def rest_of_long_command(connection):
    if connection.body is not None:
        connection.dataReceived(b"." * 69998 + b"\r\n")


EVENTS = {
    "half_command": half_command,
    "rest_of_command": rest_of_command,
    "bad_long_command": bad_long_command,
    "rest_of_long_command": rest_of_long_command,
    "ping": lambda c: c.parser.has_partial_frame or c.dataReceived(PING),
    "asks": asks,
    "is_answered": is_answered,
    "sends_no_more": lambda c: c.readConnectionLost(),
    "is_to_close": lambda c: c.close_when_idle(),
    "is_malformed": lambda c: c.dataReceived(b"?\r\n"),
    "is_lost": lambda c: c.connectionLost(),
}
REQUEST_NUMBERS = itertools.count(1)
AT_ANY_TIME = ("is_answered", "is_lost")  # all others need a client that still sends


def happens(name, connection):
    """Apply an event, unless the connection is closed in a way that rules it out."""
    ending = connection.terminating or connection.half_closed or connection.transport.disconnecting
    if not ending or name in AT_ANY_TIME:
        EVENTS[name](connection)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["accept"] * 4 + ["standby", *EVENTS]), st.integers(0, 5), st.floats(0.001, 1.5)
    ),
    max_size=60,
)


@settings(max_examples=400)
@given(STEPS, st.randoms(use_true_random=False))
def test_the_same_go_in_the_same_order_as_by_a_look_through_all(steps, chance):
    new_gateway, reactor = make_gateway()
    for name, index, wait in steps:
        now = reactor.seconds()
        open_now = sorted(new_gateway.client_connections, key=lambda c: c.idle_since)
        if name == "standby":
            new_gateway.operators.standby = not new_gateway.operators.standby
        elif name == "accept":
            connect(new_gateway)
        elif open_now:
            happens(name, open_now[index % len(open_now)])
        reactor.rightNow = now + wait  # without running the timers of the connections
        check_expiry(new_gateway, reactor.seconds())
    check_evictions(new_gateway, reactor, chance)


def check_expiry(new_gateway, now):
    for is_crowded in (False, True):
        expected = expired(new_gateway.client_connections, now, is_crowded)
        latest = {
            Awaited.FIRST_COMMAND: descriptors.MIN_SILENT_TIME if is_crowded else descriptors.COMMAND_TIMEOUT,
            Awaited.REST_OF_COMMAND: descriptors.COMMAND_TIMEOUT,
            Awaited.NEXT_COMMAND: descriptors.MIN_IDLE_TIME if is_crowded else descriptors.IDLE_TIMEOUT,
        }
        queues = new_gateway.descriptors.idle.expiring
        actual = {c: awaited for awaited, s in latest.items() for c in queues[awaited].all_until(now - s)}
        assert actual == expected


def check_evictions(new_gateway, reactor, chance):
    """Evict all connections that can be, while some turn out to have unread bytes."""
    unread = {c: chance.random() < 0.3 for c in new_gateway.client_connections}
    for c, has_bytes in unread.items():
        c.has_unread_bytes = lambda has_bytes=has_bytes: has_bytes
    while True:
        before = set(new_gateway.client_connections)
        expected = next((c for c in to_evict(before, reactor.seconds()) if not unread[c]), None)
        evicted = new_gateway.descriptors.evict()
        assert before - new_gateway.client_connections == ({expected} if expected else set())
        assert evicted is (expected is not None)
        if not evicted:
            return


def test_one_with_bytes_to_be_read_can_go_once_they_were():
    new_gateway, reactor = make_gateway()
    connection = connect(new_gateway)
    reactor.advance(descriptors.MIN_SILENT_TIME)
    connection.has_unread_bytes = lambda: True
    assert not new_gateway.descriptors.evict()
    connection.dataReceived(PING)
    connection.has_unread_bytes = lambda: False
    reactor.advance(descriptors.MIN_SILENT_TIME)
    assert new_gateway.descriptors.evict()


@pytest.mark.parametrize("has_sent_ping", [False, True])
def test_a_full_table_is_not_looked_through_for_each_connection_or_sweep(has_sent_ping):
    new_gateway, reactor = make_gateway(sockets=2048)
    checks = []
    capacity = new_gateway.descriptors.limit - new_gateway.descriptors.reserved_for_backends()
    for number in range(capacity):
        connection = connect(new_gateway)
        connection.has_unread_bytes = lambda number=number: checks.append(number)
        if has_sent_ping:
            connection.dataReceived(PING)
    reactor.rightNow += descriptors.MIN_SILENT_TIME
    for _ in range(100):
        connect(new_gateway)
    assert checks == list(range(100))  # in the order of acceptance, one check each


def test_only_paused_connections_are_looked_behind():
    new_gateway, _ = make_gateway()
    checked = []
    connections = [connect(new_gateway) for _ in range(5)]
    for connection in connections:
        connection.check_paused = lambda connection=connection: checked.append(connection)
    for connection in connections[1:3]:
        connection.at_reply_limit = True
        connection.update_reading()
    connections[2].at_reply_limit = False
    connections[2].update_reading()
    new_gateway.descriptors.sweep()
    assert checked == connections[1:2]


def test_no_ended_connection_stays_in_a_queue():
    new_gateway, _ = make_gateway()
    chance = random.Random(1)
    for _ in range(200):
        connection = connect(new_gateway)
        for name in chance.choices(sorted(EVENTS), k=5):
            if connection in new_gateway.client_connections:
                happens(name, connection)
        connection.connectionLost()
    idle = new_gateway.descriptors.idle
    queues = [*idle.expiring.values(), *idle.evictable.values()]
    assert not any(queue.times for queue in queues) and not new_gateway.descriptors.paused


def test_a_queue_keeps_its_order_where_a_time_does_not_change():
    queue = TimeOrderedQueue()
    first, second = object(), object()
    queue.put(first, 1.0)
    queue.put(second, 2.0)
    queue.put(first, 1.0)
    assert (queue.head_until(1.5), queue.all_until(2.0)) == (first, [first, second])
    queue.put(first, 3.0)
    assert (queue.head_until(1.5), queue.head_until(2.0), queue.all_until(2.5)) == (None, second, [second])


def test_the_least_used_goes_first_even_if_another_was_idle_for_longer():
    idle = IdleConnections()
    often, once = object(), object()
    idle.evictable[Use.SEVERAL_REQUESTS].put(often, 1.0)
    idle.evictable[Use.ONE_REQUEST].put(once, 2.0)
    latest = dict.fromkeys(Use, 5.0)
    assert idle.next_to_evict(latest) is once
    assert idle.next_to_evict(latest | {Use.ONE_REQUEST: 1.5}) is often
