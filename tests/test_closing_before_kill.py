"""Shortly before the kill a gateway closes the connections that would keep it from ending by itself."""

import dataclasses

import pytest

from corkdeal.net.shutdown import FINAL_ANSWER_MARGIN, KILL_DELAY

from .net_fakes import connect
from .test_idle_connections import PING, make_gateway

PARTIAL_COMMAND = b"*5\r\n$8\r\nAPI.RE"
DEADLINE = 1.0  # s, of all request classes
TIME_TO_KILL = DEADLINE + KILL_DELAY  # s after SIGTERM
LAST_CALL = TIME_TO_KILL - FINAL_ANSWER_MARGIN  # s after SIGTERM


@pytest.fixture
def draining():
    """A gateway that drains, and its clock."""
    gateway, reactor = make_gateway()
    classes = tuple(dataclasses.replace(each, deadline=DEADLINE) for each in gateway.settings.classes)
    gateway.settings = dataclasses.replace(gateway.settings, classes=classes)
    gateway.watch.stop = lambda: None
    reactor.running = True
    reactor.stop = lambda: setattr(reactor, "running", False)
    gateway.start()
    return gateway, reactor


# Processes that were held up for 0.1 s at their last answers were killed before they had ended.
def test_the_last_answers_leave_time_for_a_hold_up_and_for_the_end_of_the_process(draining):
    gateway, reactor = draining
    longest_hold_up, time_to_end = 0.15, 0.1  # s
    connection = connect(gateway)
    connection.dataReceived(PING)
    gateway.shutdown.begin()
    connection.dataReceived(PARTIAL_COMMAND)  # keeps the connection until the last answers
    reactor.pump([0.01] * round((TIME_TO_KILL - longest_hold_up - time_to_end + 0.02) * 100))
    assert not gateway.client_connections


def advance(reactor, seconds):
    for _ in range(round(seconds / 0.05)):
        reactor.advance(0.05)


# A client that stopped in the middle of a command kept the process there until the kill.
def test_a_client_that_sent_part_of_a_command_late_does_not_keep_the_gateway_from_ending(draining):
    gateway, reactor = draining
    connection = connect(gateway)
    connection.dataReceived(PING)
    gateway.shutdown.begin()
    advance(reactor, 0.4)
    connection.dataReceived(PARTIAL_COMMAND)
    advance(reactor, LAST_CALL - 0.5)
    assert connection in gateway.client_connections
    advance(reactor, TIME_TO_KILL - LAST_CALL + 0.1)
    assert not gateway.client_connections
    assert not reactor.running


# An error reply late in the shutdown waits half a second for the client to read it.
def test_a_client_that_gets_an_error_late_does_not_keep_the_gateway_from_ending(draining):
    gateway, reactor = draining
    connection = connect(gateway)
    gateway.shutdown.begin()
    connection.dataReceived(PARTIAL_COMMAND)
    advance(reactor, LAST_CALL - 0.2)
    connection.dataReceived(b"\r\nnot RESP\r\n")
    assert connection.terminating and connection in gateway.client_connections
    advance(reactor, 0.35)
    assert not gateway.client_connections
    assert not reactor.running


def test_a_connection_whose_requests_may_be_unread_is_left_open_until_they_are(draining):
    gateway, reactor = draining
    connection = connect(gateway)
    connection.dataReceived(PING)
    gateway.shutdown.begin()
    connection.transport.recv.side_effect = lambda *_: b"x"  # a request waits in the socket
    advance(reactor, TIME_TO_KILL)
    assert connection in gateway.client_connections


# Found by the soak (seed 907): the transport of a client that reads nothing waits for room in the socket
# before it closes, and what the client has sent since is never read.
def test_a_connection_that_is_closing_and_has_unread_bytes_does_not_outlast_the_process():
    gateway, _ = make_gateway()
    connection = connect(gateway)
    connection.dataReceived(PING)
    connection.transport.disconnecting = True
    connection.transport.recv = lambda size, flags: b"x"
    connection.close_before_kill()
    assert not gateway.client_connections
