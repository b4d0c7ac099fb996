"""Edge cases on real connections: truncated responses, floods, late and slow bytes, late endpoint lists.

tests/test_net_races.py explains how stopping the gateway makes an adverse order of events reproducible.
"""

import contextlib
import copy
import itertools
import os
import pathlib
import socket
import threading
import time

from corkdeal.net.resp import encode_command

from .net_world import SETTINGS, WAIT_TIMEOUT, ControlledProgram, Discovery, served

FAILED = b"ERR failed"

PING = encode_command(b"PING")


def reset(sock):
    """Reset a connection, even with bytes still to be sent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.shutdown(socket.SHUT_RD)  # otherwise a thread that reads it would keep it open
    sock.close()


class EdgeCases(ControlledProgram):
    """Base class of these tests."""

    def descriptors(self):
        """Return how many descriptors the gateway has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


class TruncatedResponses(Discovery):
    """A discovery whose responses have no length; `world.endings` says how the next ones end."""

    def answer(self, body):
        ending = self.server.world.endings.pop(0) if self.server.world.endings else "whole"
        self.close_connection = True
        self.send_response(200)
        if ending == "chunked, reset before its end":
            self.send_header("Transfer-Encoding", "chunked")
            body = b"%x\r\n%b\r\n" % (len(body), body)
        elif ending == "short of its length, reset":
            self.send_header("Content-Length", str(len(body) + 1))
        self.end_headers()
        self.wfile.write(body if "half" not in ending else body[: len(body) // 2])
        if "reset" in ending:
            self.rfile.close()
            reset(self.connection)


class DiscoveryResponses(EdgeCases):
    """A response without a length is ended by a close of the connection, but not by a reset."""

    def setUp(self):
        super().setUp()
        self.world.endings = []
        self.world.http.RequestHandlerClass = TruncatedResponses

    def watching(self):
        """Wait until a watch is open; return its revision."""
        self.assertEqual(self.world.calls.get(timeout=WAIT_TIMEOUT), -1)
        self.assertEqual(self.world.calls.get(timeout=WAIT_TIMEOUT), self.world.revision)
        return self.world.revision

    def publish(self):
        """Publish the endpoint list as the test changed it."""
        with self.world.changed:
            self.world.revision += 1
            self.world.changed.notify_all()

    def test_a_list_without_a_length_is_whole_as_its_connection_ends(self):
        self.start(a={}, b={})
        self.watching()
        self.world.backends["a"].entry["phase"] = "Terminating"
        self.publish()
        self.assertEqual(self.world.calls.get(timeout=WAIT_TIMEOUT), self.world.revision)  # it was applied
        client = self.client()
        self.assertEqual({self.serve(client, rid).backend.name for rid in range(6)}, {"b"})

    def test_a_list_that_was_cut_changes_nothing(self):
        self.start(a={}, b={})
        held = self.watching()
        self.world.endings = ["half, reset", "half", "chunked, reset before its end"]
        self.world.endings += ["short of its length, reset", "half, reset"]
        self.addCleanup(self.world.backends.pop("a").listener.close)
        self.publish()
        calls = [self.world.calls.get(timeout=WAIT_TIMEOUT) for _ in range(6)]
        self.assertEqual(calls, [held] * 5 + [held + 1])  # each asks for changes since the list held
        client = self.client()
        self.assertEqual({self.serve(client, rid).backend.name for rid in range(6)}, {"b"})

    def test_the_list_held_serves_while_answers_are_cut(self):
        self.start(a={})
        held = self.watching()
        self.world.endings = ["half, reset"] * 10_000
        self.addCleanup(self.world.backends.pop("a").listener.close)
        self.publish()
        client = self.client()
        for rid in range(3):
            self.assertEqual(self.world.calls.get(timeout=WAIT_TIMEOUT), held)
            self.assertEqual(self.serve(client, rid).backend.name, "a")


class Floods(EdgeCases):
    """Clients that send a lot at once and disconnect do not affect other clients."""

    def test_bad_clients_that_send_much_and_go(self):
        self.start(a={})
        (good,) = self.pinged(1)
        before = self.descriptors()
        floods = (
            b"GET / HTTP/1.1\r\n" * 20_000,
            encode_command(b"API.READ") * 20_000,
            encode_command(b"QUIT") * 20_000,
        )
        clients = [self.client() for _ in range(30)]
        for flood, client in zip(itertools.cycle(floods), clients, strict=False):
            client.sock.setblocking(False)
            with contextlib.suppress(BlockingIOError, ConnectionError):
                client.sock.send(flood)
        for client in clients[::2]:
            reset(client.sock)
        for client in clients[1::2]:
            client.sock.close()
        self.serve(good, 1)
        self.wait_for(lambda: self.descriptors() == before + 1)  # one more: the backend connection

    def test_pipelines_of_clients_that_go(self):
        self.patient()  # without a backend, requests inside a quota wait for the whole test
        before = self.descriptors()
        clients = [self.client() for _ in range(6)]
        for n, client in enumerate(clients):
            rids = range(1000 * n, 1000 * n + 600)
            client.send(b"".join(encode_command(*self.words(b"look", d=80000, rid=rid)) for rid in rids))
        for client in clients:
            reset(client.sock)
        self.wait_for(lambda: self.descriptors() == before)
        self.world.add("a")
        self.world.tell()
        (staying,) = self.pinged(1)
        self.assertEqual(self.serve(staying, 9000, customer=9).words[2], b"%016x" % 9000)
        self.assertTrue(self.world.asked.empty())

    def test_a_pipeline_whose_client_reads_on_has_every_answer_in_order(self):
        self.start(a={})
        client = self.client()
        many = 700
        client.send(b"".join(encode_command(b"ECHO", b"%d" % i) + PING for i in range(many)))
        client.sock.shutdown(socket.SHUT_WR)
        replies = [client.read() for _ in range(2 * many)]
        self.assertEqual(replies[::2], [[b"%d" % i] for i in range(many)])
        self.assertEqual(replies[1::2], [[b"PONG"]] * many)
        self.assertIsNone(client.read())


class BadReplies(EdgeCases):
    """Replies that are truncated, malformed or never end."""

    def trickle(self, asked, start):
        """Write a reply byte by byte, until the connection is closed."""

        def write():
            with contextlib.suppress(OSError):
                asked.conn.send(start)
                while True:
                    asked.conn.send(b"x")
                    time.sleep(0.02)

        threading.Thread(target=write, daemon=True).start()

    def send_truncated(self, asked, part):
        """Write part of a reply and close; the gateway may have closed already if it is malformed."""
        with contextlib.suppress(OSError):
            asked.conn.send(part)
            asked.conn.end()

    def test_one_that_trickles_for_ever_is_given_up_long_before_the_deadline(self):
        self.patient(a={})
        client = self.client()
        for rid, start in enumerate((b"-ERR ", b"*3\r\n$60000\r\n", b"*3\r\n$1")):
            with self.subTest(start):
                self.ask(client, b"pay", d=80000, rid=rid, body=b"x")
                asked = self.world.next()
                self.trickle(asked, start)
                self.assertEqual(client.read(), [FAILED])
                self.assertTrue(asked.ended.wait(WAIT_TIMEOUT))

    def test_one_that_breaks_off_is_repeated_where_that_is_harmless_and_only_there(self):
        self.patient(a={}, b={})
        client = self.client()
        for rid, part in enumerate((b"*3\r\n$5\r\nab", b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", b"+OK\r\n")):
            with self.subTest(part):
                self.ask(client, b"pay", d=80000, rid=10 + rid, body=b"x")
                asked = self.world.next()
                self.send_truncated(asked, part)
                self.assertEqual(client.read(), [FAILED])
                self.ask(client, d=80000, rid=rid)
                asked = self.world.next()
                self.send_truncated(asked, part)
                retry = self.world.next()
                self.assertIsNot(retry.backend, asked.backend)
                retry.conn.send(served(b"whole"))
                self.assertEqual(client.read(), [b"whole"])
        self.assertTrue(self.world.asked.empty())

    def test_a_reset_long_after_the_request_was_begun(self):
        self.patient(a={}, b={})
        safe, unsafe = self.client(), self.client()
        self.ask(safe, d=80000, rid=1)
        first = self.world.next()
        self.ask(unsafe, b"pay", d=80000, rid=2, body=b"x")
        second = self.world.next()
        time.sleep(1.5)
        for asked in (first, second):
            reset(asked.conn.sock)
        retry = self.world.next()
        self.assertEqual(retry.words[2], first.words[2])
        self.assertIsNot(retry.backend, first.backend)
        retry.conn.send(served())
        self.assertEqual(safe.read(), [b"v"])
        self.assertEqual(unsafe.read(), [FAILED])
        self.assertTrue(self.world.asked.empty())

    def test_a_backend_that_hangs_in_the_middle_of_its_answer(self):
        self.patient(a={}, b={})
        client = self.client()
        self.ask(client, d=80000)
        first = self.world.next()
        first.conn.send(b"*3\r\n$5\r\nab")
        retry = self.world.next()
        self.assertTrue(first.ended.wait(WAIT_TIMEOUT))  # before the other attempt started
        retry.conn.send(served())
        self.assertEqual(client.read(), [b"v"])


class SlowPeers(EdgeCases):
    """Clients that write slowly, and backend connections that are established late."""

    def test_commands_that_come_byte_by_byte(self):
        self.patient(a={})
        client = self.client()
        client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        commands = [encode_command(*self.words(b"pay", d=80000, rid=rid, body=b"slow")) for rid in (1, 2)]
        raw, size = commands[0] + commands[1], len(commands[0])
        started_at, step = time.monotonic(), 1.7 / size  # each command is in time; both together are not
        for i in range(len(raw)):
            if i != size:
                client.send(raw[i : i + 1] if i != size - 1 else raw[i : i + 2])  # one ends, the next starts
            time.sleep(max(0.0, started_at + (i + 1) * step - time.monotonic()))
            if i == size:
                asked = self.world.next()
                self.assertGreater(int(asked.params[b"d"]), 79_000)  # its timeout counts from its last byte
                asked.conn.send(served(b"first"))
        self.world.next().conn.send(served(b"second"))
        self.assertEqual([client.read(), client.read()], [[b"first"], [b"second"]])

    def test_a_backend_whose_connections_come_up_late(self):
        late = self.crowded("a")
        self.start(b={})
        client, received_bytes = self.client(), 0
        for rid in range(8):  # attempts at the late one are retried, as they can't have run
            self.assertEqual(self.serve(client, rid, b"pay", body=b"x").backend.name, "b")
        late.settimeout(2.5)
        with contextlib.suppress(TimeoutError):  # it accepts by now; abandoned connections never send
            while True:
                conn = late.accept()[0]
                conn.setblocking(False)
                with contextlib.suppress(BlockingIOError, ConnectionError):
                    received_bytes += len(conn.recv(65536))
                conn.close()
        self.assertEqual(received_bytes, 0)


class CompleteLists(EdgeCases):
    """A backend that a complete list omits is removed, even if it still responds."""

    def test_a_backend_that_is_left_out_gets_nothing_more(self):
        self.patient(a={}, b={})
        client = self.client()
        used, rids = set(), itertools.count(100)
        while len(used) < 2:  # an idle connection to each is kept
            used.add(self.serve(client, next(rids), d=80000).backend.name)
        self.ask(client, d=80000, rid=30)
        pending = self.world.next()
        removed = self.world.backends.pop(pending.backend.name)
        self.addCleanup(removed.listener.close)
        self.world.tell()
        other = self.client()
        for rid in range(40, 52):
            self.assertIsNot(self.serve(other, rid, d=80000).backend, removed)
        pending.conn.send(served(b"finished"))  # its current request may finish
        self.assertEqual(client.read(), [b"finished"])
        for rid in range(60, 72):
            self.assertIsNot(self.serve(client, rid, d=80000).backend, removed)

    def test_what_a_backend_that_is_left_out_fails_goes_elsewhere(self):
        self.patient(a={}, b={})
        client = self.client()
        self.ask(client, d=80000)
        pending = self.world.next()
        removed = self.world.backends.pop(pending.backend.name)
        self.addCleanup(removed.listener.close)
        self.world.tell()
        pending.conn.end()
        retry = self.world.next()
        self.assertIsNot(retry.backend, removed)
        retry.conn.send(served())
        self.assertEqual(client.read(), [b"v"])

    def test_a_connection_that_still_comes_up_to_one_that_is_left_out(self):
        late = self.crowded("a")
        self.patient()
        client = self.client()
        self.ask(client, b"pay", d=80000, body=b"x")
        del self.world.backends["a"]
        self.world.add("b")
        self.world.tell()
        asked = self.world.next()
        self.assertEqual(asked.backend.name, "b")
        asked.conn.send(served())
        self.assertEqual(client.read(), [b"v"])
        late.close()


class SilentWatches(EdgeCases):
    """A watch that has worked for long gets no more responses, as its connection is dead."""

    def test_the_list_is_asked_for_on_a_new_connection(self):
        self.start(a={}, b={})
        for _ in range(3):
            self.world.tell()  # several updates, all on the same connection
        self.world.silent = True  # the pending call is never answered
        self.world.backends["a"].entry["phase"] = "Terminating"
        with self.world.changed:
            self.world.revision += 1
        self.assertEqual(self.world.calls.get(timeout=WAIT_TIMEOUT), self.world.revision - 1)  # a second call
        with self.world.changed:
            self.world.silent = False
            self.world.changed.notify_all()
        self.wait_for(lambda: not self.world.calls.empty())
        client = self.client()
        self.assertEqual({self.serve(client, rid).backend.name for rid in range(8)}, {"b"})


class DeduplicationWindows(EdgeCases):
    """A retry with an idempotency key is written within the deduplication window or not at all."""

    WINDOW = 1.0  # s

    def start_connecting_retry(self):
        """Start a retry within the window, on a connection that is established a second later."""
        settings = copy.deepcopy(SETTINGS)
        settings["policy_limits"]["connect_timeout_us"] = 60_000_000
        for request_class in settings["classes"]:
            request_class.update(aim_us=16_000_000, deadline_us=40_000_000)
        settings["classes"][1]["window_us"] = int(1e6 * self.WINDOW)
        self.late, first = self.crowded("b"), self.world.add("a")
        self.world.backends["b"].entry["phase"] = "Terminating"
        self.start(config={"settings": settings})
        client = self.client()
        self.ask(client, b"note", d=6000, more=b",k=ab", body=b"the one repeat")
        started_at = time.monotonic()
        asked = self.world.next()
        self.assertIs(asked.backend, first)
        self.world.tell(b="Ready")
        before = self.connecting()
        time.sleep(max(0.0, started_at + 0.8 * self.WINDOW - time.monotonic()))
        asked.conn.send(b"-ERR failed\r\n")
        self.wait_for(lambda: self.connecting() > before)
        threading.Thread(target=self.accept, daemon=True).start()  # the SYN is retransmitted a second later
        return client, started_at

    def connecting(self):
        """Return the number of connections to the late backend in state SYN_SENT."""
        to = f":{self.late.getsockname()[1]:04X}"
        rows = [line.split() for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()]
        return sum(row[2].endswith(to) and row[3] == "02" for row in rows)

    def accept(self):
        """Accept all connections to the late backend."""
        self.accepted = []
        with contextlib.suppress(OSError):
            while True:
                self.accepted.append(self.late.accept()[0])

    def assert_nothing_received(self):
        """Kill the gateway, so that all that it wrote has arrived; check that it wrote nothing."""
        self.process.kill()
        self.process.wait()
        for conn in self.accepted:
            conn.setblocking(False)
            with contextlib.suppress(BlockingIOError, ConnectionError):
                self.assertEqual(conn.recv(65536), b"")
            conn.close()

    def test_the_connection_comes_up_after_the_window(self):
        client, started_at = self.start_connecting_retry()
        self.assertEqual(client.read(), [FAILED])
        # it would be established by then
        time.sleep(max(0.0, started_at + 2.3 * self.WINDOW - time.monotonic()))
        self.assert_nothing_received()

    def test_the_gateway_learns_only_after_the_window_that_the_connection_is_up(self):
        client, started_at = self.start_connecting_retry()
        self.freeze()
        self.wait_for(lambda: not self.connecting())
        self.thaw(after=1.2 * self.WINDOW, since=started_at)
        self.assertEqual(client.read(), [FAILED])
        self.assert_nothing_received()
