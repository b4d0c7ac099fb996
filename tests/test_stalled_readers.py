"""Clients that do not read their replies keep no descriptor."""

import itertools
import queue
import select
import signal
import socket
import types

import pytest

from corkdeal.net.shutdown import KILL_DELAY, MAX_CLASS_DEADLINE
from corkdeal.net.stalled_readers import CHECK_INTERVAL, CLIENT_STALL_TIMEOUT, StalledReaders

from .net_world import WAIT_TIMEOUT, Conn, Program, served

VALUE = b"x" * 60_000  # under the size above which a reply is streamed
READING_TIMEOUT = 1.0  # s after which a request has been rejected or not read


class FakeConnection:
    """A connection whose client has taken none of its bytes yet."""

    def __init__(self):
        self.is_awaiting_reply, self.unsent, self.untaken = False, 1000, 3000

    def unsent_bytes(self):
        return self.unsent

    def untaken_bytes(self):
        return self.untaken


@pytest.fixture
def watched():
    """A watched connection; `stalled_after` returns those found to be stalled after some seconds."""
    clock = types.SimpleNamespace(time=100.0)
    readers, connection = StalledReaders(lambda: clock.time), FakeConnection()
    readers.watch(connection)

    def stalled_after(seconds):
        clock.time += seconds
        return readers.find_stalled()

    return types.SimpleNamespace(readers=readers, connection=connection, stalled_after=stalled_after)


def test_a_client_that_takes_no_byte_is_found_after_the_timeout(watched):
    assert watched.stalled_after(CLIENT_STALL_TIMEOUT - CHECK_INTERVAL) == []
    assert watched.stalled_after(CHECK_INTERVAL) == [watched.connection]


def test_a_client_that_reads_slowly_is_never_found(watched):
    for _ in range(50):
        watched.connection.untaken -= 1  # of the socket's queue; the transport's buffer stays as it is
        assert watched.stalled_after(CLIENT_STALL_TIMEOUT - CHECK_INTERVAL) == []


def test_a_client_whose_requests_are_pending_is_found_only_after_their_replies(watched):
    watched.connection.is_awaiting_reply = True
    assert watched.stalled_after(2 * CLIENT_STALL_TIMEOUT) == []
    watched.connection.is_awaiting_reply = False
    assert watched.stalled_after(CLIENT_STALL_TIMEOUT - CHECK_INTERVAL) == []
    assert watched.stalled_after(CHECK_INTERVAL) == [watched.connection]


def test_a_connection_is_watched_until_its_buffer_is_empty_or_it_is_closed(watched):
    watched.connection.unsent = 0
    assert watched.stalled_after(CHECK_INTERVAL) == []
    assert not watched.readers.watched
    watched.readers.watch(watched.connection)
    watched.readers.discard(watched.connection)
    watched.readers.discard(watched.connection)
    assert not watched.readers.watched


class UnreadReplies(Program):
    build = ("-O",)

    def client_with_unread_replies(self):
        """Return a client that asked, one request at a time, until unread replies filled all buffers."""
        host, port = self.config["listen"].split(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.addCleanup(sock.close)
        sock.connect((host, int(port)))
        client = Conn(sock)
        not_sent_on = 0  # of the last requests: one may have been rejected, two are not read
        for rid in itertools.count():
            self.ask(client, rid=rid)
            try:
                self.world.asked.get(timeout=READING_TIMEOUT).conn.send(served(VALUE))
                not_sent_on = 0
            except queue.Empty:
                not_sent_on += 1
                if not_sent_on == 2:
                    return client

    # An answer beyond the sockets' buffers kept its descriptor for as long as the client stayed.
    def test_a_client_that_never_reads_its_replies_is_closed(self):
        self.start(a={})
        client = self.client_with_unread_replies()
        poll = select.poll()
        poll.register(client.sock, select.POLLHUP | select.POLLERR)
        self.assertTrue(poll.poll(WAIT_TIMEOUT * 1000))

    # A client that did not read kept a gateway from ending, so the kill came before its last snapshot.
    def test_a_client_that_never_reads_does_not_keep_a_gateway_from_ending_before_the_kill(self):
        self.start(a={})
        self.client_with_unread_replies()
        self.process.send_signal(signal.SIGTERM)
        code, elapsed = self.timed(lambda: self.process.wait(WAIT_TIMEOUT))
        self.assertEqual(code, 0)
        self.assertLess(elapsed, MAX_CLASS_DEADLINE + KILL_DELAY)
