"""What a gateway has answered reaches a slow client although the gateway ends the connection."""

import socket
import time

import pytest

from corkdeal.net import client_connection
from corkdeal.net.resp import encode_command
from corkdeal.net.stalled_readers import CLIENT_STALL_TIMEOUT

from .net_world import Conn, Program, served
from .test_bodies import HEAD, VALUE, GatewayWithClient

FIRST_VALUE = b"x" * 1_500_000  # fits into the buffers of the two sockets
PAUSE = 2.0  # s in which the client reads nothing; less than the time after which it is closed for that


class SlowReaders(Program):
    build = ("-O",)

    def slow_client(self):
        """Return a client whose socket takes few bytes ahead."""
        host, port = self.config["listen"].split(":")
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.connect((host, int(port)))
        return Conn(sock)

    def assert_first_value_arrives(self, client):
        expected = b"$%d\r\n%b\r\n" % (len(FIRST_VALUE), FIRST_VALUE)
        received = bytearray(client.sock.recv(1000))
        time.sleep(PAUSE)
        while data := client.sock.recv(1 << 16):
            received += data
            if len(received) < len(expected):
                time.sleep(0.02)
        self.assertTrue(received.startswith(expected), f"{len(received)} bytes of {len(expected)}")

    # The connection was reset 0.5 s later, with whole answers before the broken one still in its buffers.
    def test_an_answer_before_one_that_breaks_off_arrives_whole(self):
        self.start(a={}, b={})
        client = self.slow_client()
        client.send(
            b"".join(encode_command(*self.words(b"pay", rid=rid, body=b"x")) for rid in (1, 2)),
        )
        first, second = sorted((self.world.next(), self.world.next()), key=lambda each: each.words[2])
        first.conn.send(served(FIRST_VALUE))
        second.conn.send(served(b"v" * 500_000)[:250_000])
        time.sleep(0.2)  # the second answer has begun, if the buffers have room for it
        self.ask(client, rid=3)  # a request that stays unread
        second.conn.end()
        self.assert_first_value_arrives(client)

    # The error reply to it ended the connection 0.5 s later, whatever the client had taken.
    def test_an_answer_before_a_malformed_command_arrives_whole(self):
        self.start(a={})
        client = self.slow_client()
        self.ask(client)
        self.world.next().conn.send(served(FIRST_VALUE))
        client.send(b"not RESP\r\n")
        self.assert_first_value_arrives(client)


@pytest.mark.parametrize("takes", [False, True])
def test_a_connection_that_ends_is_closed_once_its_client_takes_nothing_more(takes):
    harness = GatewayWithClient()
    harness.use_up_answer_room()
    conn, _ = harness.ask(1)
    conn.dataReceived(HEAD + VALUE[:90000])
    harness.client.dataBuffer = bytes(30000)  # not accepted by the socket
    conn.connectionLost()
    for _ in range(int(CLIENT_STALL_TIMEOUT / client_connection.LINGER) + 1):
        assert not harness.client.aborted
        harness.client.dataBuffer = harness.client.dataBuffer[1000 * takes :]
        harness.reactor.advance(client_connection.LINGER)
    assert harness.client.aborted is not takes
    assert not harness.client.lost
    harness.client.dataBuffer = b""
    harness.reactor.advance(client_connection.LINGER)
    assert harness.client.lost is takes  # closed, and not reset: the client may not have read all yet
