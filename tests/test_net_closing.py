"""Race conditions between arriving bytes and the gateway's closing of a connection or its shutdown.

tests/test_net_races.py explains how stopping the gateway reproduces a critical order in every run.
"""

import copy
import json
import signal
import socket
import unittest
import unittest.mock

from twisted.internet import tcp
from twisted.internet.testing import MemoryReactorClock

from corkdeal.net import backend_connection, client_connection
from corkdeal.net.resp import encode_command

from .net_world import SETTINGS, WAIT_TIMEOUT, ControlledProgram, FakeServices, served


class Closing(ControlledProgram):
    """Base class with helpers."""

    def serve_all(self, clients):
        """Serve one request of each client, and check the answers."""
        for _ in clients:
            self.world.next().conn.send(served())
        for client in clients:
            self.assertEqual(client.read(), [b"v"])


class RequestDuringClose(Closing):
    """A request arrives on an idle client connection just as the gateway closes it."""

    def test_arriving_as_a_shutdown_closes_idle_connections_is_served(self):
        self.start(a={})
        clients = self.pinged(4)
        self.process.send_signal(signal.SIGTERM)
        self.line("draining")
        stopped = self.freeze()
        for rid, client in enumerate(clients):
            self.ask(client, b"pay", rid=rid, body=b"x")
        self.thaw(after=0.6, since=stopped)  # the timer that closes idle connections expires first
        self.serve_all(clients)
        for client in clients:
            self.assertIsNone(client.read())
        self.assertEqual(self.process.wait(WAIT_TIMEOUT), 0)

    def test_arriving_as_the_idle_timeout_expires_is_served(self):
        self.start(config={"limits": {"sockets": 33}}, a={})  # two clients shorten the idle timeout
        clients = self.pinged(2)
        stopped = self.freeze()
        for rid, client in enumerate(clients):
            self.ask(client, b"pay", rid=rid, body=b"x")
        self.thaw(after=2.2, since=stopped)
        self.serve_all(clients)

    def test_arriving_right_after_accept_and_sigterm_is_served(self):
        self.start(a={})
        self.freeze()
        clients = [self.client() for _ in range(4)]
        self.process.send_signal(signal.SIGTERM)
        for rid, client in enumerate(clients):
            self.ask(client, b"pay", rid=rid, body=b"x")
        self.thaw()
        self.serve_all(clients)
        self.assertEqual(self.process.wait(WAIT_TIMEOUT), 0)

    def test_arriving_after_quit_is_not_forwarded(self):
        self.start(a={})
        ended, shut, other = self.client(), self.client(), self.client()
        request = encode_command(*self.words(b"pay", rid=1, body=b"of nobody"))
        ended.send(encode_command(b"QUIT") + request)
        shut.send(encode_command(b"QUIT"))
        for client in (ended, shut):
            self.assertEqual(client.read(), [b"OK"])
            self.assertIsNone(client.read())
        shut.send(request)  # after QUIT, an answer could not be sent any more
        self.assertEqual(self.serve(other, 2).words[2], b"%016x" % 2)
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(WAIT_TIMEOUT), 0)
        self.assertTrue(self.world.asked.empty())


class IncompleteAnswer(Closing):
    """An incomplete line that a backend writes on an idle connection must not spoil a later answer."""

    def start_with_idle_connection(self, **settings):
        """Serve one request; returns its client and the `Asked` of its backend connection, now idle."""
        self.start(config={"settings": settings} if settings else None, a={})
        client = self.client()
        return client, self.serve(client, 1)

    def test_arriving_as_the_connection_is_reused(self):
        for half in (b"*3\r\n$5\r\nab", b"-ER"):
            with self.subTest(half):
                client, warm = self.start_with_idle_connection()
                stopped = self.freeze()
                self.ask(client, b"pay", rid=2, body=b"x")  # handled before the bytes below are read
                warm.conn.send(half)
                self.thaw(after=0.1, since=stopped)  # idle for long enough to be reused
                asked = self.world.next()
                self.assertIsNot(asked.conn, warm.conn)
                self.assertTrue(warm.ended.wait(WAIT_TIMEOUT))
                asked.conn.send(served(b"own"))
                self.assertEqual(client.read(), [b"own"])
                self.stop()

    def test_arriving_before_the_connection_is_reused(self):
        client, warm = self.start_with_idle_connection()
        stopped = self.freeze()
        warm.conn.send(b"*3\r\n$5\r\nab")
        self.ask(client, b"pay", rid=2, body=b"x")
        self.thaw(after=0.1, since=stopped)
        asked = self.world.next()
        self.assertIsNot(asked.conn, warm.conn)
        self.assertTrue(warm.ended.wait(WAIT_TIMEOUT))
        asked.conn.send(served(b"own"))
        self.assertEqual(client.read(), [b"own"])

    def test_arriving_as_the_connection_is_retired(self):
        settings = copy.deepcopy(SETTINGS)
        settings["policy_limits"]["conn_idle_us"] = 500_000
        client, warm = self.start_with_idle_connection(**settings)
        stopped = self.freeze()
        warm.conn.send(b"*3\r\n$5\r\nab")
        self.thaw(after=0.6, since=stopped)
        self.assertTrue(warm.ended.wait(WAIT_TIMEOUT))
        self.assertIsNot(self.serve(client, 2).conn, warm.conn)


class ReloadFollowedByEvent(Closing):
    """A reload that is immediately followed by another event."""

    def reload_to(self, other):
        """Reload the configuration with another discovery address."""
        self.config["discovery"] = f"127.0.0.1:{other.http.server_port}"
        self.path.write_text(json.dumps(self.config))
        self.process.send_signal(signal.SIGHUP)

    def start_other_discovery(self):
        """Start another discovery service, with the same backends."""
        other = FakeServices()
        self.addCleanup(other.close)
        other.backends, other.asked, other.revision = dict(self.world.backends), self.world.asked, 7
        return other

    def test_followed_by_a_backend_draining_in_the_new_discovery(self):
        self.start(a={}, b={})
        client, other = self.client(), self.start_other_discovery()
        self.reload_to(other)
        self.assertEqual(other.calls.get(timeout=WAIT_TIMEOUT), -1)  # for the list in which both are ready
        other.tell(a="Terminating")
        self.assertEqual({self.serve(client, rid).backend.name for rid in range(8)}, {"b"})

    def test_followed_by_a_shutdown(self):
        self.start(a={})
        client, other = self.client(), self.start_other_discovery()
        self.ask(client, b"pay", body=b"x")
        asked = self.world.next()
        self.freeze()
        late = self.client()
        self.ask(late, b"pay", rid=2, body=b"y")
        self.reload_to(other)
        self.process.send_signal(signal.SIGTERM)
        self.thaw()
        asked.conn.send(served())
        self.world.next().conn.send(served())
        for connection in (client, late):
            self.assertEqual(connection.read(), [b"v"])
        self.assertEqual(self.process.wait(WAIT_TIMEOUT), 0)
        self.line("reloaded")


class NoDelay(unittest.TestCase):
    """TCP_NODELAY is set: bytes that Nagle's algorithm holds back would be lost with a reset."""

    def transport(self, protocol):
        """Connect a protocol to Twisted's transport on a real socket; returns the socket's TCP_NODELAY."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            far = socket.create_connection(listener.getsockname(), WAIT_TIMEOUT)
            near = listener.accept()[0]
        self.addCleanup(far.close)
        self.addCleanup(near.close)
        near.setblocking(False)
        protocol.makeConnection(tcp.Server(near, protocol, far.getsockname(), None, 1, MemoryReactorClock()))
        return near.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    def test_on_a_client_connection(self):
        gateway = unittest.mock.MagicMock(now=lambda: 0.0)
        self.assertTrue(
            self.transport(client_connection.ClientConnectionFactory(gateway).buildProtocol(None))
        )

    def test_on_a_backend_connection(self):
        pool = unittest.mock.MagicMock(now=lambda: 0.0)
        attempt = backend_connection.Attempt(None, 0, "a", 0.0, 9.0, [b"x"])
        self.assertTrue(self.transport(backend_connection.BackendConnection(pool, "a", attempt)))
