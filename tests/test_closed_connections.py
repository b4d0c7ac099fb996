"""A connection that has ended is freed at once, and its client gets what was written to it."""

import gc
import socket
import weakref

import pytest

from corkdeal.net.client_connection import CLOSED, ClientConnectionFactory
from corkdeal.net.client_transport import ClientTransport
from corkdeal.net.descriptors import MIN_IDLE_TIME
from corkdeal.net.resp import encode_command

from . import net_fakes
from .test_idle_connections import PING, make_gateway

ANSWER = b"x" * 60_000
CLIENT_TIMEOUT = 5.0  # s
PARTIAL_COMMAND = b"*5\r\n$8\r\nAPI.RE"
MANY_WORDS = b"*64\r\n" + b"$1\r\nx\r\n" * 60
LONG_VALUE = encode_command(
    b"API.WRITE", b"%016x" % 7, b"%016x" % 8, b"c=solve-record,t=school,d=1000,k=key", b"x" * 60_000
)[:-2000]


@pytest.fixture
def without_collections():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def connect(gateway, reactor):
    """A client's socket, and the gateway's connection on a real transport."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname(), timeout=CLIENT_TIMEOUT)
        handle, address = listener.accept()
    connection = ClientConnectionFactory(gateway).buildProtocol(None)
    connection.makeConnection(ClientTransport(handle, connection, address, None, 0, reactor))
    return client, connection


def end_by_eviction(client, connection):
    connection.drop()


def end_by_the_client(client, connection):
    client.close()
    connection.transport.connectionLost(CLOSED)


def end_by_the_gateway(client, connection):
    connection.close_now()


# Closed connections, with what they had received, stayed in memory until a collection of old garbage.
@pytest.mark.parametrize("end", [end_by_eviction, end_by_the_client, end_by_the_gateway])
@pytest.mark.parametrize(
    "data",
    [b"", PING, PARTIAL_COMMAND, MANY_WORDS, LONG_VALUE],
    ids=["nothing", "ping", "partial", "words", "value"],
)
def test_a_closed_connection_is_freed_at_once(without_collections, end, data):
    gateway, reactor = make_gateway()
    client, connection = connect(gateway, reactor)
    with client:
        if data:
            client.sendall(data)
            connection.transport.doRead()
        end(client, connection)
        references = [weakref.ref(connection), weakref.ref(connection.transport)]
        del connection
        assert [each() for each in references] == [None, None]
    assert not gateway.budget.total - gateway.name_memory.held_bytes


def receive_all(client):
    received = bytearray()
    while data := client.recv(1 << 16):
        received += data
    return received


# It was reset, which discards what its client has not taken yet of an answer.
def test_a_connection_that_is_replaced_delivers_what_its_socket_holds():
    gateway, reactor = make_gateway()
    client, connection = connect(gateway, reactor)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.transport.socket.sendall(ANSWER)
    connection.drop()
    with client:
        assert receive_all(client) == ANSWER


# It was replaced, and what the process held of an answer was discarded.
def test_a_connection_is_not_replaced_before_its_socket_has_the_whole_answer():
    gateway, reactor = make_gateway()
    connection = net_fakes.connect(gateway)
    connection.dataReceived(PING)
    connection.transport.dataBuffer = ANSWER
    reactor.advance(2 * MIN_IDLE_TIME)
    assert not gateway.descriptors.evict()
    connection.transport.dataBuffer = b""
    connection.resumeProducing()
    assert not gateway.descriptors.evict()  # it is idle from now on
    reactor.advance(2 * MIN_IDLE_TIME)
    assert gateway.descriptors.evict()
