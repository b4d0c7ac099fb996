"""Tests with real sockets, one for each rule that clients rely on; run on the debug and the release build."""

import contextlib
import json
import signal
import socket
import time

from corkdeal.net.client_connection import MAX_SHORT_VALUE
from corkdeal.net.resp import MAX_VALUE, encode_command

from .net_world import ControlledProgram, FakeServices, Program, served
from .ports import reserve_port


class DebugBuild(Program):
    """The gateway with its invariants asserted."""

    def test_answer_comes_in_time_and_a_late_one_reaches_nobody(self):
        self.start(a={})
        client = self.client()
        self.ask(client, b"pay", d=400, body=b"x")
        first = self.world.next()
        self.assertLessEqual(int(first.params[b"d"]), 400)
        (answer,), took = self.timed(client.read)
        self.assertTrue(answer.startswith(b"ERR"), answer)
        self.assertLess(took, 2.0)
        self.assertTrue(first.ended.wait(20))
        with contextlib.suppress(OSError):
            first.conn.send(served(b"late"))
        self.ask(client, rid=2)
        self.world.next().conn.send(served(b"own"))
        self.assertEqual(client.read(), [b"own"])

    def test_command_goes_on_unchanged_but_for_the_wait(self):
        self.start(a={})
        client, body = self.client(), bytes(range(256)) * 256
        words = self.words(b"note", rid=2**63 + 5, more=b",k=5c0f6e1a2b3d4c59", body=body)
        encoded = encode_command(*words)
        client.send(encoded[:90])  # in two pieces, so that the head arrives incomplete
        client.send(encoded[90:])
        asked = self.world.next()
        self.assertEqual(asked.words[:3] + asked.words[4:], words[:3] + words[4:])
        sent = words[3].replace(b"d=3000", b"d=%b" % asked.params[b"d"])
        self.assertEqual(asked.words[3], sent)
        asked.conn.send(served(body))
        self.assertEqual(client.read(), [body])

    def test_resends_as_the_class_permits(self):
        self.start(a={"cell": 1}, b={"cell": 2}, c={"cell": 1})
        for rid, class_name, more, stays_in_cell in (
            (1, b"look", b"", None),
            (2, b"note", b",k=ab", 1),
            (3, b"pay", b"", 0),
        ):
            with self.subTest(class_name):
                client, body = self.client(), b"x" if stays_in_cell is not None else None
                self.ask(client, class_name, rid=rid, more=more, body=body)
                first = self.world.next()
                first.conn.end()
                if class_name == b"pay":
                    self.assertEqual(client.read(), [b"ERR failed"])
                    continue
                if stays_in_cell and first.backend.name == "b":  # the only backend of its cell
                    again = self.world.next()
                    self.assertEqual(again.backend.name, "b")
                else:
                    again = self.world.next()
                    self.assertIsNot(again.backend, first.backend)
                    if stays_in_cell:
                        self.assertEqual(again.backend.entry["cell"], first.backend.entry["cell"])
                self.assertEqual(again.words[:3], first.words[:3])
                again.conn.send(served())
                self.assertEqual(client.read(), [b"v"])

    def test_never_two_attempts_at_once(self):
        self.start(a={}, b={})
        client = self.client()
        self.ask(client)
        first, second = self.world.next(), self.world.next()  # the first hangs, so there is a retry
        self.assertTrue(first.ended.wait(20))
        self.assertIsNot(first.backend, second.backend)
        second.conn.send(served())
        self.assertEqual(client.read(), [b"v"])

    def test_nothing_new_to_what_drains_and_a_bad_list_is_kept_out(self):
        self.start(a={}, b={})
        self.world.tell(a="Terminating")
        client = self.client()
        for rid in range(8):
            if rid == 4:
                self.world.tell(raw=b'{"revision":9,"complete":true,"members":[{"id":""}]}')
                self.line("members.0.id")
            self.ask(client, rid=rid)
            asked = self.world.next()
            self.assertEqual(asked.backend.name, "b")
            asked.conn.send(served())
            self.assertEqual(client.read(), [b"v"])

    def test_known_list_serves_while_discovery_is_silent(self):
        self.world.silent = True
        backend = self.world.add("a")
        self.start(known={"revision": 0, "complete": True, "members": [backend.entry]})
        client = self.client()
        self.ask(client)
        self.world.next().conn.send(served())
        self.assertEqual(client.read(), [b"v"])

    def test_a_watch_without_an_answer_soon_asks_again(self):
        self.start(a={})
        while self.world.calls.get(timeout=20) != self.world.revision:
            pass
        self.world.silent = True  # as if the connection had died, where a long wait would hide every change
        while not self.world.calls.empty():
            self.world.calls.get()
        _, took = self.timed(lambda: self.world.calls.get(timeout=20))
        self.assertLess(took, 15.0)

    def test_cold_backend_is_not_overloaded(self):
        self.start(a={"up_since_ms": int(time.time() * 1000)})
        clients = []
        for rid in range(60):
            clients.append(self.client())
            self.ask(clients[rid], rid=rid, d=900)
        refused = {rid for rid, client in enumerate(clients) if client.read()[0].startswith(b"BUSY")}
        sent = [int(self.world.next().words[2], 16) for _ in range(self.world.asked.qsize())]
        self.assertEqual(len(set(sent)), len(sent))  # no request was sent twice
        # Requests that were sent and not answered in time are rejected too, because a read may be retried.
        self.assertEqual(refused | set(sent), set(range(60)))
        self.assertGreater(len(refused - set(sent)), 30)

    def test_quota_is_enforced_by_immediate_rejections_with_retry_after(self):
        self.start(a={})
        client = self.client()
        for rid in range(2):
            self.ask(client, customer=1, rid=rid)
            self.world.next().conn.send(served())
            self.assertEqual(client.read(), [b"v"])
        self.ask(client, customer=1, rid=3)
        (answer,), took = self.timed(client.read)
        self.assertEqual(answer, b"BUSY 500")
        self.assertLess(took, 1.5)
        self.assertTrue(self.world.asked.empty())

    def test_peers_get_updates_and_malformed_datagrams_are_dropped(self):
        self.start(a={})
        client = self.client()
        client.send(
            encode_command(*self.words(b"look")[:3], b"c=look,t=large,d=900,units=1,spread=2,first=0")
        )
        host, port = self.udp.split(":")
        for payload in (b"junk", b"", b"x" * 257):
            self.peer.sendto(payload, (host, int(port)))
        datagram, sender = self.peer.recvfrom(2048)
        self.assertEqual(f"{sender[0]}:{sender[1]}", self.udp)
        self.assertLessEqual(len(datagram), 256)
        self.world.next().conn.send(served())
        self.assertEqual(client.read(), [b"v"])
        self.process.send_signal(signal.SIGTERM)
        self.assertIn("datagram_malformed=2", self.line("counts "))

    def test_pipelined_answers_keep_their_order_and_a_half_closed_client_connection_is_served(self):
        self.start(a={}, b={})
        client = self.client()
        client.send(
            b"".join(encode_command(*self.words(b"pay", rid=rid, body=b"%d" % rid)) for rid in range(3))
            + encode_command(b"PING")
            + encode_command(b"NOSUCH")
        )
        client.sock.shutdown(1)
        asked = sorted((self.world.next() for _ in range(3)), key=lambda a: a.words[2], reverse=True)
        for attempt in asked:
            attempt.conn.send(served(attempt.words[4]))
        self.assertEqual(
            [client.read() for _ in range(5)], [[b"0"], [b"1"], [b"2"], [b"PONG"], [b"ERR unknown command"]]
        )
        self.assertIsNone(client.read())

    def test_a_client_that_goes_away_harms_nobody(self):
        self.start(a={})
        client, other = self.client(), self.client()
        self.ask(client)
        asked = self.world.next()
        client.reset()
        asked.conn.send(served(b"for nobody"))
        self.ask(other, rid=2)
        self.world.next().conn.send(served(b"mine"))
        self.assertEqual(other.read(), [b"mine"])

    def test_malformed_input_costs_its_client_connection_only(self):
        self.start(a={})
        other = self.client()
        for raw in (
            b"GET / HTTP/1.1\r\n\r\n",
            b"*1\r\n:5\r\n",
            b"*2\r\n$4\r\nPING\r\n$-1\r\n",
            b"*1\r\n$%d\r\n" % (MAX_VALUE + 1),
            b"*100\r\n",
            b"*" + b"9" * 5000,
            b"*1\r\n$3\r\nPING\r\n",
        ):
            with self.subTest(raw[:20]):
                client = self.client()
                client.send(raw)
                self.assertTrue(client.read()[0].startswith(b"ERR"))
                self.assertIsNone(client.read())
        other.send(encode_command(b"PING"))
        self.assertEqual(other.read(), [b"PONG"])

    def test_a_long_pipeline_is_served_to_its_end(self):
        self.start(a={})
        client = self.client()  # sends more commands than a connection may have unanswered
        client.send(b"".join(encode_command(*self.words(b"look", customer=1, rid=rid)) for rid in range(600)))
        for _ in range(2):
            self.world.next().conn.send(served())
        answers = [client.read()[0] for _ in range(600)]
        self.assertEqual(answers[:2], [b"v", b"v"])
        self.assertTrue(all(a.startswith(b"BUSY") for a in answers[2:]))

    def test_a_client_that_reads_no_answers_is_not_read_on(self):
        self.start(a={})
        client, sent = self.client(), 0
        client.sock.settimeout(1.0)
        with self.assertRaises(TimeoutError):  # otherwise its answers would fill the gateway's memory
            while sent < 200_000_000:
                sent += client.sock.send(encode_command(b"ECHO", b"x" * MAX_SHORT_VALUE))
        other = self.client()
        other.send(encode_command(b"PING"))
        self.assertEqual(other.read(), [b"PONG"])

    def test_bad_requests_get_an_error_and_the_client_connection_stays(self):
        self.start(a={})
        client, good = self.client(), self.words(b"look")
        for params in (
            b"",
            b"c=no,t=large,d=900",
            b"c=look,t=no,d=900",
            b"c=look,t=large",
            b"c=note,t=large,d=900",
            b"c=look,t=large,d=-1",
            b"c=look,t=large,d=9,first=7",
            b"c=look,t=large,d=9,units=nan",
        ):
            with self.subTest(params):
                client.send(encode_command(*good[:3], params))
                self.assertTrue(client.read()[0].startswith(b"ERR"))
        for words in (good[:2], [good[0], b"zz", *good[2:]], [*good, b"x", b"x"]):
            client.send(encode_command(*words))
            self.assertTrue(client.read()[0].startswith(b"ERR"))

    def test_dead_backend_is_a_failed_connect_and_a_stale_connection_a_reset(self):
        self.start(a={}, b={})
        client = self.client()
        self.ask(client)
        warm = self.world.next()
        warm.conn.send(served())
        self.assertEqual(client.read(), [b"v"])
        for backend in self.world.backends.values():
            if backend is not warm.backend:
                backend.stop_listening()
        for rid in range(2, 10):  # `pay` may be retried only because it did not run
            self.ask(client, b"pay", rid=rid, body=b"x")
            asked = self.world.next()
            self.assertIs(asked.backend, warm.backend)
            asked.conn.send(served())
            self.assertEqual(client.read(), [b"v"])

    def test_reload_moves_the_watch_and_disturbs_no_rpc(self):
        self.start(a={})  # without a handler, SIGHUP would end the process and lose accepted requests
        other, client = FakeServices(), self.client()
        self.addCleanup(other.close)
        other.add("b")
        self.ask(client, b"pay", body=b"x")
        asked = self.world.next()
        self.path.write_text(json.dumps({**self.config, "discovery": "nowhere"}))
        self.process.send_signal(signal.SIGHUP)
        self.assertIn("discovery must be", self.line("reload_refused"))
        moved = {**self.config, "discovery": f"127.0.0.1:{other.http.server_port}", "name": "n1"}
        self.path.write_text(json.dumps(moved))
        self.process.send_signal(signal.SIGHUP)
        self.assertIn("at_next_start=name", self.line("reloaded"))
        self.assertEqual(other.calls.get(timeout=20), -1)  # the complete list first, then deltas
        self.assertEqual(other.calls.get(timeout=20), other.revision)
        asked.conn.send(served(b"old"))
        self.assertEqual(client.read(), [b"old"])
        self.ask(client, rid=2)
        other.next().conn.send(served(b"new"))
        self.assertEqual(client.read(), [b"new"])
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(20), 0)

    def test_planned_end_serves_what_was_taken_and_new_connections_for_a_while(self):
        self.start(a={})
        client = self.client()
        self.ask(client, d=8000)
        asked = self.world.next()
        self.process.send_signal(signal.SIGTERM)
        self.line("draining")
        late = self.client()
        self.ask(late, rid=2)
        second = self.world.next()
        second.conn.send(served(b"late"))
        self.assertEqual(late.read(), [b"late"])
        self.assertIsNone(late.read())  # closed when it became idle
        asked.conn.send(served())
        self.assertEqual(client.read(), [b"v"])
        self.assertEqual(self.process.wait(20), 0)

    def test_planned_end_does_not_wait_for_a_command_that_never_comes_whole(self):
        self.start(a={})
        client = self.client()
        client.send(encode_command(b"PING") + b"*1\r\n$4\r\nPI")
        self.assertEqual(client.read(), [b"PONG"])
        self.process.send_signal(signal.SIGTERM)
        self.assertTrue(client.read()[0].startswith(b"ERR timeout"))
        self.assertEqual(self.process.wait(20), 0)

    def test_silent_and_half_sent_client_connections_end_and_one_with_work_in_hand_does_not(self):
        self.start(a={})
        busy, half, silent = self.client(), self.client(), self.client()
        self.ask(busy, b"pay", d=8000, body=b"x")
        asked = self.world.next()
        half.send(b"*1\r\n$4\r\nPI")
        for client in (half, silent):
            self.assertTrue(client.read()[0].startswith(b"ERR timeout"))
            self.assertIsNone(client.read())
        asked.conn.send(served())
        self.assertEqual(busy.read(), [b"v"])


class ReleaseBuild(DebugBuild):
    """The gateway as deploy/balancer.toml runs it."""

    build = ("-O",)


class AddressInUse(ControlledProgram):
    """An address that another process still uses when the gateway starts."""

    def run_program(self):
        super().run_program()
        self.line("listen_failed")
        self.holder.close()

    def occupy_address(self, kind):
        """Reserve an address that is in use until `holder` is closed."""
        self.holder = socket.socket(type=kind)
        self.addCleanup(self.holder.close)
        self.holder.bind(("127.0.0.1", reserve_port(kind)))
        if kind == socket.SOCK_STREAM:
            self.holder.listen()
        return f"127.0.0.1:{self.holder.getsockname()[1]}"

    def test_clients_are_served_and_peers_heard_once_their_port_is_free(self):
        at = self.occupy_address(socket.SOCK_DGRAM)
        peers = [at, f"127.0.0.1:{self.peer.getsockname()[1]}"]
        self.start(config={"peer_listen": at, "peers": peers}, a={})
        client = self.client()
        words = self.words(b"look", more=b",spread=2")
        words[3] = words[3].replace(b",spread=1", b"")
        client.send(encode_command(*words))
        self.world.next().conn.send(served())
        self.assertEqual(client.read(), [b"v"])
        _, sender = self.peer.recvfrom(2048)  # sent from the port that it has got by now
        self.assertEqual(f"{sender[0]}:{sender[1]}", at)

    def test_an_operators_address_in_use_keeps_no_client_out(self):
        at = self.occupy_address(socket.SOCK_STREAM)
        self.start(config={"ops": at}, a={})
        self.seen("ops_listening")  # before `serving` or after it
        client = self.client()
        self.ask(client)
        self.world.next().conn.send(served())
        self.assertEqual(client.read(), [b"v"])

    def test_an_address_in_use_is_logged_and_taken_once_it_is_free(self):
        self.holder = socket.create_server(("127.0.0.1", reserve_port()))
        at = f"127.0.0.1:{self.holder.getsockname()[1]}"
        self.start(config={"listen": at}, a={})  # returns after the log event `serving`
        host, port = at.split(":")
        with socket.create_connection((host, int(port)), 20) as client:
            client.sendall(b"*1\r\n$4\r\nPING\r\n")
            self.assertEqual(client.recv(100), b"+PONG\r\n")
