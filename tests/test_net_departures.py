"""What a client asked that has left is not sent on: departures at every moment, on real connections."""

import signal
import socket
import unittest

from corkdeal.net.resp import command

from .net_world import PATIENCE, Moments, served

BUSY, GONE = b"BUSY", b"ERR failed"


class Departures(Moments):
    """What a client asked that has left is not sent on once a moment has passed."""

    def test_while_the_connection_to_its_backend_comes_up(self):
        self.crowded()
        self.patient()
        client = self.client()
        self.ask(client, b"pay", d=80000, body=b"x")
        client.sock.shutdown(socket.SHUT_WR)  # as a client that closes, but it can see what becomes of it
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
        self.assertEqual(other.read(), [BUSY])  # by now the reset was seen too
        staying = self.client()
        self.ask(staying, b"pay", d=80000, rid=3, body=b"of one who stays")
        listener.settimeout(PATIENCE)
        while True:  # what filled the queue, connections given up, and at last one that brings a request
            conn = listener.accept()[0]
            conn.settimeout(PATIENCE)
            if data := conn.recv(65536, socket.MSG_DONTWAIT) if self.has_bytes(conn) else b"":
                break
        self.assertIn(b"of one who stays", data)

    @staticmethod
    def has_bytes(conn):
        """Whether the other side wrote something; the sockets that filled the queue never do."""
        conn.settimeout(1.5)
        try:
            return bool(conn.recv(1, socket.MSG_PEEK))
        except (TimeoutError, ConnectionError):
            return False

    def test_while_the_decisions_hold_it(self):
        self.patient()  # no backend at all
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
        self.ask(marker, d=80000, rid=2)  # held: there is no backend for it
        client.sock.shutdown(socket.SHUT_WR)
        self.mark(marker)
        self.world.add("b")
        self.world.tell()
        asked.conn.end()
        self.assertEqual(client.read(), [GONE])
        self.assertTrue(self.world.asked.empty())

    def mark(self, marker):
        """Returns once the gateway has acted on whatever left before this client with its held request."""
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
        self.mark(marker)
        asked.conn.send(served(b"mine"))
        self.assertEqual(client.read(), [b"mine"])
        self.assertIsNone(client.read())

    def test_behind_so_many_others_that_its_client_connection_is_not_read(self):
        self.patient()
        client, many = self.client(), 900  # not all are read in one go; the rest fits the kernel's buffer
        client.send(b"".join(command(*self.words(b"look", d=80000, rid=rid)) for rid in range(many)))
        client.sock.shutdown(socket.SHUT_WR)
        for _ in range(many):
            self.assertTrue(client.read()[0].startswith(BUSY))
        self.assertIsNone(client.read())

    def test_a_reset_of_a_client_connection_that_is_not_read(self):
        self.patient()
        client, marker, staying = self.client(), self.client(), self.client()
        client.send(b"".join(command(*self.words(b"look", d=80000, rid=rid)) for rid in range(900)))
        self.ask(marker, d=80000, rid=5000, customer=8)
        self.ask(staying, b"pay", d=80000, rid=5001, customer=9, body=b"y")
        client.reset()
        self.mark(marker)  # a look at the client connections that are not read comes more often than this
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
        self.start()  # no backend, so the decisions hold it, and would refuse it with advice after a second
        client = self.client()
        self.ask(client, b"pay", d=4000, body=b"x")
        client.send(command(b"PING"))
        self.process.send_signal(signal.SIGTERM)
        self.line("draining")
        client.sock.shutdown(socket.SHUT_WR)
        self.assertEqual(client.read(), [BUSY])
        self.assertEqual(client.read(), [b"PONG"])
        self.assertIsNone(client.read())
        self.assertEqual(self.process.wait(PATIENCE), 0)


class ReleaseDepartures(Departures):
    build = ("-O",)


if __name__ == "__main__":
    unittest.main()
