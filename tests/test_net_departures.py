"""Requests of disconnected clients are not sent to backends, at whatever moment they disconnect.

The failure to guard against: a gateway that runs late starts an attempt before it reads the client's close.
A gateway stopped by SIGSTOP handles all events of that time in one reactor iteration: overdue timers first,
then the connections in the order of their events. So an event that starts an attempt comes before the
client's close, which by then is longer ago than an attempt may start after it.
"""

import copy
import json
import signal
import socket
import time
import unittest

from twisted.internet.testing import MemoryReactorClock

from corkdeal.decisions.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from corkdeal.net import client_connection, config, gateway, invariants, tcp_state, timers
from corkdeal.net.resp import encode_command

from .net_world import SETTINGS, WAIT_TIMEOUT, ControlledProgram, served
from .test_bodies import FakeTransport

BUSY, FAILED = b"BUSY", b"ERR failed"
STOPPED = 0.3  # s that the process is stopped after a client's close; no attempt may start after 0.1


class Departures(ControlledProgram):
    """No attempt starts for a client that has disconnected, after a short grace period."""

    def test_while_the_connection_to_its_backend_comes_up(self):
        self.crowded()
        self.patient()
        client = self.client()
        self.ask(client, b"pay", d=80000, body=b"x")
        client.sock.shutdown(socket.SHUT_WR)  # like a client that closes, but it still sees the reply
        self.assertEqual(client.read(), [BUSY])
        self.assertIsNone(client.read())

    def test_a_reset_ends_a_connection_that_still_comes_up(self):
        listener = self.crowded()
        self.patient()
        client, other = self.client(), self.client()
        self.ask(client, b"pay", d=80000, body=b"of one who left")
        self.ask(other, b"pay", d=80000, rid=2, body=b"of one who left later")
        client.reset()
        other.sock.shutdown(socket.SHUT_WR)
        self.assertEqual(other.read(), [BUSY])  # by now the reset has been handled too
        staying = self.client()
        self.ask(staying, b"pay", d=80000, rid=3, body=b"of one who stays")
        listener.settimeout(WAIT_TIMEOUT)
        while True:  # sockets that filled the queue, abandoned connections, then one with a request
            conn = listener.accept()[0]
            conn.settimeout(WAIT_TIMEOUT)
            if data := conn.recv(65536, socket.MSG_DONTWAIT) if self.has_bytes(conn) else b"":
                break
        self.assertIn(b"of one who stays", data)

    @staticmethod
    def has_bytes(conn):
        """Return whether the peer wrote something; the sockets that filled the queue never do."""
        conn.settimeout(1.5)
        try:
            return bool(conn.recv(1, socket.MSG_PEEK))
        except (TimeoutError, ConnectionError):
            return False

    def test_while_the_decisions_hold_it(self):
        self.patient()  # without a backend
        client, staying = self.client(), self.client()
        self.ask(client, b"pay", d=80000, body=b"x")
        self.ask(staying, b"pay", d=80000, rid=2, body=b"y")
        client.sock.shutdown(socket.SHUT_WR)
        self.assertEqual(client.read(), [BUSY])
        self.world.add("a")
        self.world.tell()
        asked = self.world.next()
        self.assertEqual(asked.words[4], b"y")
        asked.conn.send(served())
        self.assertEqual(staying.read(), [b"v"])
        self.assertTrue(self.world.asked.empty())

    def test_between_two_attempts(self):
        self.patient(a={})
        client, marker = self.client(), self.client()
        self.ask(client, d=80000)
        asked = self.world.next()
        self.world.tell(a="Terminating")
        self.ask(marker, d=80000, rid=2)  # held, as no backend is left
        client.sock.shutdown(socket.SHUT_WR)
        self.wait_for_disconnects(marker)
        self.world.add("b")
        self.world.tell()
        asked.conn.end()
        self.assertEqual(client.read(), [FAILED])
        self.assertTrue(self.world.asked.empty())

    def wait_for_disconnects(self, marker):
        """Disconnect this client and wait for its rejection: earlier disconnects have been handled then."""
        marker.sock.shutdown(socket.SHUT_WR)
        self.assertEqual(marker.read(), [BUSY])

    def test_an_attempt_that_is_out_is_still_the_answer_of_one_who_reads_on(self):
        self.patient(a={})
        client, marker = self.client(), self.client()
        self.ask(client, b"pay", d=80000, body=b"x")
        asked = self.world.next()
        self.world.tell(a="Terminating")
        self.ask(marker, d=80000, rid=2)
        client.sock.shutdown(socket.SHUT_WR)
        self.wait_for_disconnects(marker)
        asked.conn.send(served(b"mine"))
        self.assertEqual(client.read(), [b"mine"])
        self.assertIsNone(client.read())

    def test_behind_so_many_others_that_its_client_connection_is_not_read(self):
        self.patient()
        client, many = self.client(), 900  # not all read at once; the rest fits the kernel's buffer
        client.send(b"".join(encode_command(*self.words(b"look", d=80000, rid=rid)) for rid in range(many)))
        client.sock.shutdown(socket.SHUT_WR)
        for _ in range(many):
            self.assertTrue(client.read()[0].startswith(BUSY))
        self.assertIsNone(client.read())

    def test_a_reset_of_a_client_connection_that_is_not_read(self):
        self.patient()
        client, marker, staying = self.client(), self.client(), self.client()
        client.send(b"".join(encode_command(*self.words(b"look", d=80000, rid=rid)) for rid in range(900)))
        self.ask(marker, d=80000, rid=5000, customer=8)
        self.ask(staying, b"pay", d=80000, rid=5001, customer=9, body=b"y")
        client.reset()
        self.wait_for_disconnects(marker)  # paused connections are checked more often than this takes
        self.world.add("a")
        self.world.tell()
        asked = self.world.next()
        self.assertEqual(asked.words[2], b"%016x" % 5001)
        asked.conn.send(served())
        self.assertEqual(staying.read(), [b"v"])
        self.assertTrue(self.world.asked.empty())

    def test_a_burst_of_departures(self):
        self.patient()
        clients = [self.client() for _ in range(100)]
        for rid, client in enumerate(clients):
            self.ask(client, b"pay", d=80000, rid=rid, customer=rid + 10, body=b"x")
        for client in clients:
            client.sock.shutdown(socket.SHUT_WR)
        for client in clients:
            self.assertEqual(client.read(), [BUSY])
        self.world.add("a")
        self.world.tell()
        other = self.client()
        self.ask(other, rid=1000)
        asked = self.world.next()
        self.assertEqual(asked.words[2], b"%016x" % 1000)
        self.assertTrue(self.world.asked.empty())

    def test_on_a_drain(self):
        self.start()  # without a backend it is held; after 1 s it would be rejected with a retry-after
        client = self.client()
        self.ask(client, b"pay", d=4000, body=b"x")
        client.send(encode_command(b"PING"))
        self.process.send_signal(signal.SIGTERM)
        self.line("draining")
        client.sock.shutdown(socket.SHUT_WR)
        self.assertEqual(client.read(), [BUSY])
        self.assertEqual(client.read(), [b"PONG"])
        self.assertIsNone(client.read())
        self.assertEqual(self.process.wait(WAIT_TIMEOUT), 0)


class StoppedProcess(ControlledProgram):
    """A client disconnects while the process is stopped; an event that starts an attempt is handled first."""

    def leave(self, client, reset):
        """Half-close a client's connection, or reset it."""
        if reset:
            client.reset()
        else:
            client.sock.shutdown(socket.SHUT_WR)

    def nothing_sent(self):
        """Check that only the request of a client that stays connected reaches a backend."""
        marker = self.client()
        self.ask(marker, d=80000, rid=9999, customer=9)
        self.assertEqual(self.world.next().words[2], b"%016x" % 9999)
        self.assertTrue(self.world.asked.empty())

    def open_backend_connections(self):
        """Open a connection to each of the two backends, so that attempts are written at once."""
        clients = [self.client() for _ in "ab"]
        for rid, client in enumerate(clients):
            self.ask(client, d=80000, rid=1000 + rid)
        asked = [self.world.next() for _ in clients]
        self.assertEqual({request.backend.name for request in asked}, {"a", "b"})
        for request in asked:
            request.conn.send(served())
        for client in clients:
            self.assertEqual(client.read(), [b"v"])

    def between_attempts(self, reset):
        self.patient(a={}, b={})
        self.open_backend_connections()
        client = self.client()
        self.ask(client, d=80000)
        asked = self.world.next()
        self.freeze()
        asked.conn.end()
        self.leave(client, reset)
        self.thaw(after=STOPPED, since=time.monotonic())
        if not reset:
            self.assertEqual(client.read(), [BUSY])
            self.assertIsNone(client.read())
        self.nothing_sent()

    def test_an_attempt_breaks_before_a_fin(self):
        self.between_attempts(reset=False)

    def test_an_attempt_breaks_before_a_reset(self):
        self.between_attempts(reset=True)

    def at_a_timer(self, reset):
        settings = copy.deepcopy(SETTINGS)
        settings["classes"][0].update(aim_us=4_000_000, deadline_us=20_000_000)
        self.start(config={"settings": settings}, a={}, b={})
        self.open_backend_connections()
        client = self.client()
        self.ask(client, d=20000)
        asked = self.world.next()
        self.freeze()
        stopped = time.monotonic()
        self.leave(client, reset)
        self.thaw(after=2.6, since=stopped)  # late enough to time out, early enough for a retry
        self.assertTrue(asked.ended.wait(WAIT_TIMEOUT))
        if not reset:
            self.assertIn(client.read(), ([BUSY], [FAILED]))
        self.nothing_sent()

    def test_the_timer_of_a_further_attempt_is_due_before_a_fin_is_read(self):
        self.at_a_timer(reset=False)

    def test_the_timer_of_a_further_attempt_is_due_before_a_reset_is_read(self):
        self.at_a_timer(reset=True)

    def while_connecting(self, reset):
        listener = self.crowded()
        self.patient()
        client = self.client()
        self.ask(client, b"pay", d=80000, body=b"x")
        client.send(encode_command(b"PING"))
        self.freeze()
        listener.settimeout(WAIT_TIMEOUT)
        fillers = {connection.getsockname() for connection in self.filling}
        while (accepted := listener.accept())[1] in fillers:
            self.addCleanup(accepted[0].close)
        self.addCleanup(accepted[0].close)
        self.leave(client, reset)
        self.thaw(after=STOPPED, since=time.monotonic())
        if not reset:
            self.assertEqual(client.read(), [BUSY])
        accepted[0].settimeout(WAIT_TIMEOUT)
        self.assertFalse(self.received(accepted[0]))

    @staticmethod
    def received(sock):
        """Return the bytes received before the peer's close."""
        try:
            return sock.recv(65536)
        except ConnectionError:
            return b""

    def test_a_connection_to_a_backend_comes_up_before_a_fin(self):
        self.while_connecting(reset=False)

    def test_a_connection_to_a_backend_comes_up_before_a_reset(self):
        self.while_connecting(reset=True)

    def test_a_request_is_read_with_a_fin_behind_it(self):
        self.patient(a={})
        client = self.client()
        client.send(encode_command(b"PING"))
        self.assertEqual(client.read(), [b"PONG"])
        self.freeze()
        self.ask(client, b"pay", d=80000, body=b"x")
        self.leave(client, reset=False)
        self.thaw(after=STOPPED, since=time.monotonic())
        self.assertEqual(client.read(), [BUSY])
        self.nothing_sent()

    def test_requests_are_read_with_others_and_a_fin_unread_behind_them(self):
        self.patient(a={})
        client, many = self.client(), 900  # more than are read at once, or before some are answered
        client.send(encode_command(b"PING"))
        self.assertEqual(client.read(), [b"PONG"])
        self.freeze()
        client.send(b"".join(encode_command(*self.words(b"look", d=80000, rid=rid)) for rid in range(many)))
        self.leave(client, reset=False)
        self.thaw(after=STOPPED, since=time.monotonic())
        for _ in range(many):
            self.assertEqual(client.read(), [BUSY])
        self.nothing_sent()

    def test_two_hundred_leave_a_process_short_of_processor_time(self):
        self.patient(sockets=1024, a={}, b={}, c={}, d={})
        clients = []
        for _ in range(200):  # each sends at once: of so many, a connection silent for 0.25 s is closed
            clients.append(self.client())
            clients[-1].send(encode_command(b"PING"))
            self.assertEqual(clients[-1].read(), [b"PONG"])
        self.freeze()
        for rid, client in enumerate(clients):
            self.ask(client, d=80000, rid=rid, customer=rid + 10)
            self.leave(client, reset=rid % 2 == 1)
        time.sleep(STOPPED)
        for _ in range(40):  # it runs for a few milliseconds at a time and is stopped for longer
            self.process.send_signal(signal.SIGCONT)
            time.sleep(0.004)
            self.process.send_signal(signal.SIGSTOP)
            time.sleep(0.02)
        self.process.send_signal(signal.SIGCONT)
        for client in clients[::2]:
            self.assertTrue(client.read()[0].startswith(BUSY))
        self.nothing_sent()


class OnAFakeClock(unittest.TestCase):
    """If the kernel does not date the FIN, as on these Unix sockets, its earliest possible time counts."""

    def setUp(self):
        self.reactor = MemoryReactorClock()
        raw = json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}).encode()
        self.gateway = gateway.Gateway(self.reactor, config.parse_config(raw, {}))
        self.gateway.now = self.gateway.pool.now = self.gateway.descriptors.now = self.reactor.seconds
        self.gateway.timers.now = self.reactor.seconds
        self.near_end, self.far_end = socket.socketpair()
        self.addCleanup(self.near_end.close)
        self.addCleanup(self.far_end.close)
        self.connection = client_connection.ClientConnection(self.gateway)
        self.wire = FakeTransport()
        self.wire.fileno, self.wire.getsockopt = self.near_end.fileno, self.near_end.getsockopt
        self.connection.makeConnection(self.wire)
        invariants.counts.clear()

    def add_backend(self):
        """Add a ready backend."""
        self.gateway.pool.update_endpoint("a", True, ("127.0.0.1", 3))
        self.gateway.handle_event(EndpointUpdate(UpdateKind.COMPLETE, (Endpoint("a", EndpointState.READY),)))

    def ask(self, rid=1):
        params = b"c=look,t=large,d=3000,units=1,spread=1,first=0"
        self.connection.dataReceived(encode_command(b"API.READ", b"%016x" % 7, b"%016x" % rid, params))

    def establish(self):
        """Establish the backend connection opened last; return what is written on it."""
        wire = FakeTransport()
        self.reactor.tcpClients[-1][2].buildProtocol(None).makeConnection(wire)
        return bytes(wire.taken)

    def test_a_request_that_comes_with_the_end_of_sending_still_gets_its_attempt(self):
        self.add_backend()
        self.far_end.shutdown(socket.SHUT_WR)
        self.ask()
        self.connection.readConnectionLost()
        self.reactor.advance(client_connection.HALF_CLOSE_GRACE / 2)
        self.assertIn(b"API.READ", self.establish())
        self.reactor.advance(client_connection.HALF_CLOSE_GRACE)
        self.assertFalse(self.wire.taken)  # its backend has the request and will reply

    def test_a_connection_to_a_backend_that_comes_up_after_the_grace_gets_nothing(self):
        self.add_backend()
        self.ask()
        self.far_end.shutdown(socket.SHUT_WR)
        self.connection.check_paused()
        self.reactor.rightNow += client_connection.HALF_CLOSE_GRACE  # without running timers
        self.assertEqual(self.establish(), b"")
        self.assertEqual(bytes(self.wire.taken), b"-BUSY\r\n")

    def test_a_reset_ends_an_attempt_that_still_connects_at_once(self):
        self.add_backend()
        self.ask()
        self.far_end.close()  # closes both directions, which the kernel reports as a closed connection
        self.assertEqual(self.establish(), b"")
        self.assertTrue(self.wire.aborted)
        self.assertFalse(self.gateway.rpcs)

    def test_a_late_turn_counts_an_end_as_having_come_before_it(self):
        self.ask()  # held, as there is no backend
        self.add_backend()
        self.far_end.shutdown(socket.SHUT_WR)
        self.reactor.advance(STOPPED)  # the timer of the held request is late
        self.assertFalse(self.reactor.tcpClients)
        self.assertEqual(bytes(self.wire.taken), b"-BUSY\r\n")

    def test_a_turn_in_time_counts_it_from_when_it_is_seen(self):
        self.ask()
        self.reactor.advance(STOPPED)  # an earlier late iteration has no effect
        self.add_backend()
        self.far_end.shutdown(socket.SHUT_WR)
        self.reactor.pump([timers.MIN_REPORTED_LATENESS / 2] * 100)
        self.assertEqual(len(self.reactor.tcpClients), 1)

    def test_on_a_connection_that_is_not_read_it_counts_from_the_last_look(self):
        for rid in range(client_connection.MAX_PENDING_REPLIES):
            self.ask(rid)
        self.assertTrue(self.connection.paused)
        self.add_backend()
        self.far_end.shutdown(socket.SHUT_WR)
        self.reactor.pump([timers.MIN_REPORTED_LATENESS / 2] * 100)
        self.assertFalse(self.reactor.tcpClients)
        self.assertEqual(self.wire.taken.count(b"-BUSY"), client_connection.MAX_PENDING_REPLIES)


class PeerStates(unittest.TestCase):
    """What the kernel reports about a TCP peer."""

    def setUp(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.far_end = socket.create_connection(listener.getsockname())
            self.near_end = listener.accept()[0]
        self.addCleanup(self.near_end.close)
        self.addCleanup(self.far_end.close)

    def wait_for(self, state):
        deadline = time.monotonic() + WAIT_TIMEOUT
        while tcp_state.peer_state(self.near_end) is not state:
            self.assertLess(time.monotonic(), deadline)

    def test_a_fin_behind_unread_bytes_and_then_a_reset(self):
        self.far_end.sendall(b"unread")
        self.assertIs(tcp_state.peer_state(self.near_end), tcp_state.PeerState.OPEN)
        self.assertIsNone(tcp_state.seconds_since_fin(self.near_end))
        self.far_end.shutdown(socket.SHUT_WR)
        self.wait_for(tcp_state.PeerState.HALF_CLOSED)
        self.far_end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.far_end.close()
        self.wait_for(tcp_state.PeerState.CLOSED)

    def test_a_fin_is_dated_by_its_own_arrival(self):
        self.far_end.sendall(b"long before")
        time.sleep(2 * STOPPED)
        ended = time.monotonic()
        self.far_end.shutdown(socket.SHUT_WR)
        self.wait_for(tcp_state.PeerState.HALF_CLOSED)
        time.sleep(STOPPED)
        age = tcp_state.seconds_since_fin(self.near_end)
        self.assertLessEqual(age, time.monotonic() - ended + client_connection.KERNEL_TICK)
        self.assertGreaterEqual(age, STOPPED - client_connection.KERNEL_TICK)
        self.assertGreaterEqual(tcp_state.seconds_since_last_data(self.near_end) - age, STOPPED)

    def test_a_socket_whose_kernel_dates_nothing(self):
        near_end, far_end = socket.socketpair()
        self.addCleanup(near_end.close)
        far_end.close()
        self.assertIsNone(tcp_state.seconds_since_fin(near_end))
        self.assertIsNone(tcp_state.seconds_since_last_data(near_end))
        near_end.close()
        self.assertIs(tcp_state.peer_state(near_end), tcp_state.PeerState.OPEN)


class ReleaseDepartures(Departures):
    build = ("-O",)


class ReleaseStoppedProcess(StoppedProcess):
    build = ("-O",)


if __name__ == "__main__":
    unittest.main()
