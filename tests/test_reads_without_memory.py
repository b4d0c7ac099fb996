"""Commands that begin while the memory budget is used up add next to nothing to what is held."""

import pytest

from corkdeal.net.budget import CONNECTION_MEMORY, MIN_READ_SIZE_WHEN_FULL
from corkdeal.net.resp import encode_command

from .test_closed_connections import connect
from .test_idle_connections import make_gateway

CONNECTIONS = 100
VALUE_SIZE = 60_000  # bytes
READS = 80  # of each connection; enough for its command


class Holder:
    """A holder of the budget."""

    held_bytes = 0


@pytest.fixture
def exhausted():
    """A gateway whose budget is used up, and connected clients with their connections."""
    gateway, reactor = make_gateway()
    gateway.budget.set_held(Holder(), gateway.budget.limit - CONNECTIONS * CONNECTION_MEMORY)
    ends = [connect(gateway, reactor) for _ in range(CONNECTIONS)]
    assert gateway.budget.is_exhausted
    yield gateway, ends
    for client, connection in ends:
        client.close()
        connection.close_now()


def read_available(connection):
    for _ in range(READS):
        if not connection.paused:
            connection.transport.doRead()


def write_command(number, value):
    parameters = b"c=note,t=large,d=1000,k=key,units=1,spread=1,first=0"
    return encode_command(b"API.WRITE", b"%016x" % number, b"%016x" % (number + 1000), parameters, value)


# The first read of each new command was kept whatever was held: 8 KiB and its request, for each connection.
def test_long_commands_that_begin_without_memory_are_rejected_by_their_heads(exhausted):
    gateway, ends = exhausted
    before = gateway.budget.total
    for number, (client, connection) in enumerate(ends):
        client.sendall(write_command(number, b"x" * VALUE_SIZE))
        connection.transport.doRead()
        assert gateway.budget.total <= before + MIN_READ_SIZE_WHEN_FULL
    for client, connection in ends:
        read_available(connection)
        assert client.recv(100) == b"-BUSY\r\n"
    assert gateway.budget.total <= before


def test_a_connection_is_served_again_after_a_command_that_found_no_memory(exhausted):
    _, ends = exhausted
    client, connection = ends[0]
    client.sendall(write_command(1, b"x" * VALUE_SIZE) + encode_command(b"PING"))
    read_available(connection)
    assert client.recv(100) == b"-BUSY\r\n+PONG\r\n"


@pytest.mark.parametrize(
    "words", [b"$4096\r\n" + b"x" * 4096 + b"\r\n", b"$1\r\nx\r\n"], ids=["long", "short"]
)
def test_incomplete_commands_of_many_words_are_counted_and_end_without_memory(exhausted, words):
    gateway, ends = exhausted
    before = gateway.budget.total
    for client, connection in ends:
        client.sendall(b"*64\r\n" + (words * 60)[:12_000])
        read_available(connection)
        assert client.recv(100).startswith(b"-ERR failed: no memory")
    assert gateway.budget.total <= before


def test_a_short_incomplete_command_is_completed_without_memory(exhausted):
    _, ends = exhausted
    client, connection = ends[0]
    command = write_command(1, b"x" * 4000)
    client.sendall(command[:3000])
    read_available(connection)
    client.sendall(command[3000:])
    read_available(connection)
    assert client.recv(100) == b"-BUSY\r\n"
