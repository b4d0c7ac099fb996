"""A connection that has ended leaves nothing behind that only a collection of garbage would free."""

import gc
import socket
import weakref

import pytest

from corkdeal.net.client_connection import CLOSED, ClientConnectionFactory
from corkdeal.net.client_transport import ClientTransport
from corkdeal.net.resp import encode_command

from .test_idle_connections import PING, make_gateway

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
