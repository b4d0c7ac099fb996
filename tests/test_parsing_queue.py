"""Client connections take turns: none handles commands for longer than its slice while others wait."""

import types

from corkdeal.net.parsing_queue import SLICE_TIME, TURN_TIME, WINDOW, ParsingQueue
from corkdeal.net.resp import encode_command

from .net_fakes import connect
from .test_idle_connections import make_gateway

COMMAND_TIME = SLICE_TIME / 4  # s


class FakeConnection:
    """A connection with some slices of work left."""

    def __init__(self, queue, clock, name, slices, turns):
        self.queue, self.clock, self.name, self.slices, self.turns = queue, clock, name, slices, turns

    def parse_commands(self):
        self.clock.time += SLICE_TIME
        self.turns.append(self.name)
        self.slices -= 1
        if self.slices:
            self.queue.add(self)


class OneIteration:
    """A reactor whose iterations a test runs one by one."""

    def __init__(self):
        self.calls = []

    def callLater(self, delay, call):
        assert delay == 0
        self.calls.append(call)

    def iterate(self):
        calls, self.calls = self.calls, []
        for call in calls:
            call()


def make_queue():
    reactor, clock = OneIteration(), types.SimpleNamespace(time=100.0)
    return ParsingQueue(reactor, lambda: clock.time), reactor, clock


def test_connections_take_turns_and_an_iteration_has_its_end():
    queue, reactor, clock = make_queue()
    turns = []
    for name in "abc":
        queue.add(FakeConnection(queue, clock, name, 4, turns))
    began = clock.time
    reactor.iterate()
    assert turns == ["a", "b", "c"]
    assert clock.time - began <= TURN_TIME + SLICE_TIME
    for _ in range(3):
        reactor.iterate()
    assert turns == ["a", "b", "c"] * 4
    assert not queue.waiting


def test_many_connections_share_an_iteration():
    queue, reactor, clock = make_queue()
    turns = []
    for name in range(100):
        queue.add(FakeConnection(queue, clock, name, 1, turns))
    reactor.iterate()
    assert len(turns) < 2 * TURN_TIME / SLICE_TIME
    for _ in range(100):
        reactor.iterate()
    assert turns == list(range(100))


def test_input_is_handled_at_once_while_there_is_time_in_the_window():
    queue, _, clock = make_queue()
    assert queue.has_time()
    queue.record_use(TURN_TIME)
    assert not queue.has_time()
    clock.time += WINDOW
    assert queue.has_time()


def test_a_connection_that_has_ended_gets_no_turn():
    queue, reactor, clock = make_queue()
    turns = []
    queue.add(connection := FakeConnection(queue, clock, "a", 1, turns))
    queue.discard(connection)
    reactor.iterate()
    assert not turns


def make_slow_gateway():
    """A gateway whose clock moves with each look at it, as if each command took `COMMAND_TIME`."""
    gateway, reactor = make_gateway()
    clock = types.SimpleNamespace(time=100.0)

    def now():
        clock.time += COMMAND_TIME
        return clock.time

    gateway.now = gateway.parsing_queue.now = now
    return gateway, reactor


def test_a_pipeline_is_handled_in_slices_and_to_its_end():
    gateway, reactor = make_slow_gateway()
    connection = connect(gateway)
    connection.dataReceived(encode_command(b"PING") * 100)
    handled = connection.transport.value().count(b"+PONG")
    assert 0 < handled <= SLICE_TIME / COMMAND_TIME
    assert connection.has_unread_bytes() and connection.paused
    reactor.advance(0)  # as many iterations as it takes
    assert connection.transport.value() == b"+PONG\r\n" * 100
    assert not connection.paused and not connection.has_unread_bytes()


def test_commands_that_wait_for_their_turn_are_answered_before_the_process_ends():
    gateway, _ = make_slow_gateway()
    connection = connect(gateway)
    connection.dataReceived(encode_command(b"PING") * 100)
    connection.close_before_kill()
    assert connection.transport.value() == b"+PONG\r\n" * 100


def test_a_connection_with_unparsed_input_is_neither_idle_nor_late():
    gateway, _ = make_slow_gateway()
    connection = connect(gateway)
    connection.dataReceived(encode_command(b"PING") * 100)
    assert connection not in gateway.descriptors.idle.placements
