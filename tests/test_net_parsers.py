"""Table tests of the parsers, and tests of the gateway's limits that need no socket."""

import dataclasses
import itertools
import json
import socket
import subprocess
import sys
import types
import unittest
import unittest.mock

from twisted.internet.testing import MemoryReactorClock, StringTransport

from corkdeal.decisions.events import Endpoint, EndpointState, EndpointUpdate, Request, Status, UpdateKind
from corkdeal.net import (
    backend_connection,
    config,
    discovery_snapshot,
    gateway,
    invariants,
    resp,
    rpc,
    vectored_write,
)
from corkdeal.net import client_connection as client_connection_module
from corkdeal.net import descriptors as descriptors_module
from corkdeal.net.request_ids import RequestIds

from .net_fakes import connect
from .net_world import ROOT, SETTINGS

GIVEN = {"listen": "127.0.0.1:6379", "discovery": "127.0.0.1:8500", "seed": "8c1f", "settings": SETTINGS}
MEMBER = {
    "id": "s-1",
    "host_port": "127.0.0.1:1",
    "locality": "south",
    "flavor": "new",
    "cell": 3,
    "phase": "Ready",
    "size": 1.5,
    "up_since_ms": 1500,
}
LIST = {"revision": 4, "complete": True, "members": [MEMBER]}


def changed(base, path, value):
    """Return a copy with one value replaced."""
    copy = at = json.loads(json.dumps(base))
    *way, last = path.split(".")
    for key in way:
        at = at[int(key) if isinstance(at, list) else key]
    at[int(last) if isinstance(at, list) else last] = value
    return copy


class Frames(unittest.TestCase):
    FRAMES = [
        b"*2\r\n$4\r\nPING\r\n$0\r\n\r\n",
        b"+PONG\r\n",
        b"-BUSY 20\r\n",
        b"$-1\r\n",
        b":7\r\n",
        b"*-1\r\n",
        b"*3\r\n*2\r\n$1\r\na\r\n:1\r\n$-1\r\n$3\r\na=1\r\n",
        b"*1\r\n$70\r\n" + b"\r\n" * 35 + b"\r\n",
    ]
    BAD = [
        b"x",
        b"$x\r\n",
        b"$-2\r\n",
        b"$3\r\nabcd\r\n",
        b"*65\r\n",
        b"$%d\r\n" % (resp.MAX_VALUE + 1),
        b"*2\r\n*32\r\n*32\r\n",
        b"*9\r\n" + (b"$%d\r\n%b\r\n" % (resp.MAX_INLINE_VALUE, b"a" * resp.MAX_INLINE_VALUE)) * 5,
        b"+" + b"a" * 4096,
    ]

    def test_pieces_of_any_size_give_the_same_frames(self):
        raw = b"".join(self.FRAMES)
        for size in (1, 2, 3, 7, 20, len(raw)):
            parser, got = resp.Parser(), []
            for i in range(0, len(raw), size):
                parser.feed(raw[i : i + size])
                while (frame := parser.next()) is not None:
                    got.append((frame, bytes(frame.buf[frame.items[0].head : frame.items[-1].end])))
            self.assertEqual([text for _, text in got], self.FRAMES)
            for frame, text in got:  # later bytes must not change the content of a frame
                self.assertEqual(bytes(frame.buf[frame.items[0].head : frame.items[-1].end]), text)
            self.assertFalse(parser.has_partial_frame)

    def test_malformed(self):
        for raw in self.BAD:
            with self.subTest(raw[:20]), self.assertRaises(resp.MalformedError):
                parser = resp.Parser()
                parser.feed(raw)
                parser.next()

    def test_reports(self):
        names = {"latency_ms": "latency_ms", "qps": "qps"}
        for raw, report in [
            (b"latency_ms=1.5,qps=4", {"latency_ms": 1.5, "qps": 4.0}),
            (b"", {}),
            (b"qps=nan,latency_ms=inf,other=1,qps", {}),
            (b"qps=x,latency_ms=2", {"latency_ms": 2.0}),
            (b"qps=1_0,latency_ms= 2,qps=-3", {}),
        ]:
            self.assertEqual(resp.parse_load_report(raw, names), report)

    def test_replies(self):
        S = Status
        for raw, status, value, report in [
            (b"*3\r\n$1\r\nv\r\n$-1\r\n$5\r\nqps=1\r\n", S.OK, b"$1\r\nv\r\n", b"qps=1"),
            (b"*3\r\n*2\r\n$1\r\nv\r\n:2\r\n$-1\r\n$-1\r\n", S.OK, b"*2\r\n$1\r\nv\r\n:2\r\n", b""),
            (b"*3\r\n$1\r\nv\r\n:x\r\n*1\r\n:2\r\n", S.OK, b"$1\r\nv\r\n", b""),
            (b"-BUSY\r\n", S.REJECTED, None, b""),
            (b"-BUSY qps=2\r\n", S.REJECTED, None, b"qps=2"),
            (b"-ERR failed qps=2\r\n", S.ERROR, None, b"qps=2"),
        ]:
            with self.subTest(raw):
                parser = resp.Parser()
                parser.feed(raw)
                reply = backend_connection.read_reply(parser.next())
                self.assertEqual(
                    (reply.status, reply.value and bytes(reply.value), reply.report), (status, value, report)
                )

    def test_replies_that_are_none(self):
        for raw in (
            b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
            b"*3\r\n*0\r\n$-1\r\n$-1\r\n",
            b"*3\r\n*1\r\n:1\r\n$-1\r\n$-1\r\n",
            b"*3\r\n:1\r\n$-1\r\n$-1\r\n",
            b"*0\r\n",
            b"*-1\r\n",
            b"+OK\r\n",
            b"$1\r\nv\r\n",
            b"-BUSYBODY\r\n",
        ):
            with self.subTest(raw), self.assertRaises(resp.MalformedError):
                parser = resp.Parser()
                parser.feed(raw)
                backend_connection.read_reply(parser.next())


class Requests(unittest.TestCase):
    GOOD = b"c=look,t=large,d=900,units=1,spread=2,first=1"

    def read(self, params, *more, name=b"API.READ", customer=b"%016x" % 7, rid=b"%016x" % 1):
        parser = resp.Parser()
        parser.feed(resp.encode_command(name, customer, rid, params, *more))
        return self.command_parser.parse(parser.next(), 10.0)

    def setUp(self):
        self.command_parser = rpc.CommandParser(
            config.parse_settings_object(SETTINGS), RequestIds(lambda: 0.0, 10)
        )

    def test_good_ones(self):
        got = self.read(self.GOOD).request
        self.assertEqual(
            (got.customer, got.units, got.member_count, got.first_gateway, got.is_write),
            (7, 1.0, 2, 1, False),
        )
        got = self.read(b"d=900,c=note,t=small,k=5c,r=1,new=x", b"body", name=b"api.write", rid=b"0" * 16)
        self.assertEqual((got.request.is_retry, got.request.is_write, got.id), (True, True, 0))

    def test_bad_ones_never_reach_the_module(self):
        for old, bad in (  # Python's int() and float() accept most of these numbers
            (b"d=900", (b"d=+900", b"d=9_0", b"d= 900", b"d=", b"d=0", b"d=-1", b"d=1e3", b"d=nan", b"x=1")),
            (b"units=1", (b"units=1_0", b"units=+1", b"units=nan", b"units=inf", b"units=0", b"units=2")),
            (b"spread=2", (b"spread=0", b"spread=3", b"spread=1_0", b"spread=\xd9\xa2", b"spread=99999999")),
            (b"first=1", (b"first=2", b"first=-1", b"units=1", b"first", b"=1", b"", b"r=yes")),
            (b"look", (b"pay", b"note", b"no")),
            (b"large", (b"no",)),
        ):
            for new in bad:
                with self.subTest(new), self.assertRaises(rpc.BadRequestError):
                    self.read(self.GOOD.replace(old, new))
        for more in (
            {"customer": b"7"},
            {"customer": b"%016x" % 2**33},
            {"customer": b" " * 15 + b"7"},
            {"rid": b""},
            {"rid": b"+" + b"1" * 15},
            {"name": b"API.WRITE"},
        ):
            with self.subTest(more), self.assertRaises(rpc.BadRequestError):
                self.read(self.GOOD, **more)
        with self.assertRaises(rpc.BadRequestError):
            self.read(self.GOOD, b"body")  # API.READ has no body
        self.assertFalse(self.command_parser.ids.open)

    def test_the_id_of_an_open_request_is_refused(self):
        self.read(self.GOOD)
        with self.assertRaises(rpc.BadRequestError):
            self.read(self.GOOD)
        self.command_parser.ids.release(1)
        self.read(self.GOOD)


class Lists(unittest.TestCase):
    def setUp(self):
        self.settings = config.parse_settings_object(SETTINGS)

    def test_a_list_in_the_modules_terms(self):
        result = discovery_snapshot.parse_list(LIST, self.settings)
        self.assertEqual(result.entries, (Endpoint("s-1", EndpointState.READY, 1, 3, 1.5, 1, 1.5),))
        self.assertEqual(
            (result.revision, result.complete, result.addresses), (4, True, {"s-1": ("127.0.0.1", 1)})
        )

    def test_bad_lists_are_refused_by_key(self):
        for path, value in [
            ("revision", "4"),
            ("complete", None),
            ("members", {}),
            ("members.0.id", ""),
            ("members.0.phase", "Odd"),
            ("members.0.host_port", "x"),
            ("members.0.cell", "1"),
            ("members.0.up_since_ms", -1),
            ("members", [MEMBER, MEMBER]),
            ("members", [1]),
        ]:
            with (
                self.subTest(path),
                self.assertRaisesRegex(discovery_snapshot.ListError, path.split(".")[-1]),
            ):
                discovery_snapshot.parse_list(changed(LIST, path, value), self.settings)


class Configurations(unittest.TestCase):
    def test_what_is_left_out_has_a_default(self):
        got = config.parse_config(json.dumps({**GIVEN, "known": LIST}).encode(), {})
        self.assertEqual(
            (got.name, got.listen, got.sockets, got.seed, got.peers),
            ("gateway", ("127.0.0.1", 6379), 1024, 0x8C1F, ()),
        )
        self.assertEqual(got.settings.classes[1].name, "note")
        self.assertEqual(got.settings.report_fields, ("latency_ms", "qps"))
        self.assertEqual(got.known.revision, 4)
        bare = {k: v for k, v in GIVEN.items() if k != "listen"}
        self.assertEqual(
            config.parse_config(json.dumps(bare).encode(), {"RELAY_LISTEN": "127.0.0.1:1"}).listen[1], 1
        )

    def test_messages_name_the_key(self):
        for path, value, key in [
            ("listen", "localhost:1", "listen"),
            ("discovery", "127.0.0.1:0", "discovery"),
            ("seed", "x", "seed"),
            ("settings", None, "settings"),
            ("settings.me", 2, "me"),
            ("settings.balancers", "no", "balancers"),
            ("settings.classes.0.aim_us", 0, "classes.0.aim_us"),
            ("limits", {"sockets": 3}, "limits.sockets"),
            ("limits", {"memory_mb": 3}, "limits.memory_mb"),
            ("limits", {"memory_mb": 47}, "limits.memory_mb must be a number from 48 to"),
            ("settings.classes.1.semantics", "odd", "classes.1.semantics"),
            ("peers", ["127.0.0.1:1"], "peers"),
            ("peers", ["127.0.0.1:1", "x"], "peers.1"),
            ("known", {"revision": 1}, "known"),
            ("settings.tiers_of_service", [], "tiers_of_service"),
            ("limits", 4, "limits"),
        ]:
            with self.subTest(path, value=value), self.assertRaisesRegex(config.ConfigError, key):
                config.parse_config(json.dumps(changed(GIVEN, path, value)).encode(), {})

    def test_the_program_ends_with_one_line_and_2(self):
        for env in ({}, {"RELAY_CONFIG": "/no/such/file"}, {"RELAY_CONFIG": str(ROOT / "README.md")}):
            done = subprocess.run(
                [sys.executable, "-m", "corkdeal.net"], cwd=ROOT, env=env, capture_output=True
            )
            self.assertEqual(
                (done.returncode, done.stdout, done.stderr.count(b"\n")), (2, b"", 1), done.stderr
            )


class Limits(unittest.TestCase):
    def setUp(self):
        self.reactor = MemoryReactorClock()
        given = config.parse_config(json.dumps({**GIVEN, "known": LIST}).encode(), {})
        self.gateway = gateway.Gateway(self.reactor, dataclasses.replace(given, sockets=256))
        self.gateway.handle_event(EndpointUpdate(UpdateKind.CACHED, given.known.entries))
        invariants.counts.clear()

    def client_connection(self):
        return connect(self.gateway)

    def add_request(self, connection):
        """Add a request to the connection that has no reply yet."""
        connection.has_sent_command = True
        frame = types.SimpleNamespace(size=lambda: 100)
        connection.enqueue(
            types.SimpleNamespace(
                reply=None, response_stream=None, attempt=None, frame=frame, held_bytes=0, waiting_bytes=0
            )
        )
        return connection.pending_replies[-1]

    def serve_request(self, connection):
        """Add a request to the connection and complete it."""
        self.add_request(connection).reply = []
        connection.flush()

    def test_a_request_not_read_yet_and_one_likely_under_way_keep_a_client_connection_from_closing(self):
        self.use_reactor_clock()
        new, asked, idle = [self.client_connection() for _ in range(3)]
        for connection in (asked, idle):
            connection.dataReceived(b"*1\r\n$4\r\nPING\r\n")
            near_end, far_end = socket.socketpair()
            self.addCleanup(near_end.close)
            self.addCleanup(far_end.close)
            connection.transport.getHandle = lambda near_end=near_end: near_end
            if connection is asked:
                far_end.sendall(b"*1\r\n$4\r\nPING\r\n")
        for connection in (new, asked, idle):
            connection.close_when_idle()
        self.assertEqual([c.is_shut_down for c in (new, asked, idle)], [False, False, True])
        # they are read, served and then closed
        for connection in (new, asked):
            connection.transport.getHandle = lambda connection=connection: connection.transport
            connection.dataReceived(b"*1\r\n$4\r\nPING\r\n")
        self.assertEqual([c.is_shut_down for c in (new, asked)], [True, True])
        silent = self.client_connection()
        silent.close_when_idle()
        self.reactor.advance(descriptors_module.MIN_SILENT_TIME + 0.01)
        self.assertTrue(silent.is_shut_down)

    def use_reactor_clock(self):
        """Make the gateway use the reactor's clock; return its descriptors."""
        self.gateway.now = self.gateway.descriptors.now = self.reactor.seconds
        return self.gateway.descriptors

    def test_client_connections_that_hold_a_descriptor_for_nothing_end(self):
        descriptors = self.use_reactor_clock()  # otherwise they would keep other clients out
        silent, half, idle, busy = [self.client_connection() for _ in range(4)]
        half.dataReceived(b"*1\r\n$4\r\nPI")
        idle.dataReceived(b"*1\r\n$4\r\nPING\r\n")
        self.add_request(busy)
        self.reactor.advance(descriptors_module.COMMAND_TIMEOUT + 0.1)
        descriptors.sweep()
        for connection in (silent, half):
            self.assertIn(b"-ERR timeout", connection.transport.value())
        self.reactor.advance(client_connection_module.LINGER)
        self.assertEqual(self.gateway.client_connections - {silent}, {idle, busy})
        self.assertTrue(silent.transport.disconnecting)
        self.reactor.advance(descriptors_module.IDLE_TIMEOUT)
        descriptors.sweep()
        self.assertEqual((idle.is_shut_down, busy.is_shut_down), (True, False))

    def test_many_client_connections_make_idle_and_silent_ones_end_sooner(self):
        descriptors = self.use_reactor_clock()
        idle, pinged, silent = [self.client_connection() for _ in range(3)]
        self.serve_request(idle)
        pinged.dataReceived(b"*1\r\n$4\r\nPING\r\n")
        crowd = [self.client_connection() for _ in range(descriptors.limit // 8)]
        for connection in crowd:
            self.add_request(connection)
        self.reactor.advance(descriptors_module.MIN_SILENT_TIME + 0.01)
        descriptors.sweep()
        ended = [c.is_shut_down or c.transport.disconnecting for c in (idle, pinged, silent)]
        self.assertEqual(ended, [False, False, True])
        self.reactor.advance(descriptors_module.MIN_IDLE_TIME)
        descriptors.sweep()
        self.assertTrue(idle.is_shut_down and pinged.is_shut_down)

    def test_short_descriptors_go_to_who_asks(self):
        descriptors = self.use_reactor_clock()
        most = descriptors.limit - descriptors.reserved_for_backends()
        busy, idle = self.client_connection(), self.client_connection()
        self.add_request(busy)
        self.serve_request(idle)
        self.reactor.advance(descriptors_module.MIN_IDLE_TIME)
        silent = [self.client_connection() for _ in range(most - 2)]
        for connection in silent[::2]:  # a PING does not protect a connection from eviction
            connection.dataReceived(b"*1\r\n$4\r\nPING\r\n")
        self.reactor.advance(descriptors_module.MIN_SILENT_TIME)
        for expected_count in (most - 3, most - 4):  # first those without a request so far
            new = self.client_connection()
            self.assertEqual(new.transport.value(), b"")
            self.assertEqual(len(self.gateway.client_connections & set(silent)), expected_count)
        for connection in self.gateway.client_connections - {idle}:
            self.add_request(connection)
        self.client_connection()
        self.assertFalse(idle in self.gateway.client_connections)  # then the connection idle for longest
        refused = self.client_connection()  # but none that has work
        self.assertIn(b"-ERR max number", refused.transport.value())
        self.assertEqual(len(self.gateway.client_connections), most)  # it is closed within the same iteration

    def test_answers_to_a_flood_go_out_together_and_end_it(self):
        self.use_reactor_clock()  # stands still, so that a flood takes one slice of time
        connection, sent = self.client_connection(), []
        connection.transport.sendmsg = lambda parts: sent.append(parts) or sum(map(len, parts))
        connection.dataReceived(b"*1\r\n$8\r\nAPI.READ\r\n" * 500)  # must not cause a write for each
        self.assertEqual((len(sent), len(sent[0])), (1, client_connection_module.MAX_BAD_REQUESTS))
        connection.dataReceived(b"*1\r\n$4\r\nPING\r\n" * 500)
        self.assertEqual(len(sent), 1)
        pings = self.client_connection()  # sendmsg accepts at most 1024 parts
        pings.transport.sendmsg = connection.transport.sendmsg
        pings.dataReceived(b"*1\r\n$4\r\nPING\r\n" * 1500)
        self.reactor.advance(0)  # the next turns: a connection has a limit of unwritten replies
        writes = sent[1:]
        self.assertLessEqual(max(map(len, writes)), vectored_write.MAX_PARTS)
        self.assertEqual(len(writes), -(-1500 // client_connection_module.MAX_PENDING_REPLIES))
        self.assertEqual(b"".join(itertools.chain.from_iterable(writes)), b"+PONG\r\n" * 1500)

    def test_nothing_is_kept_of_backends_that_left(self):
        pool, attempt = self.connecting_attempt()  # backends are replaced again and again in a long run
        connection, _ = self.establish()
        attempt.rpc = rpc = types.SimpleNamespace(body=None, parts=lambda timeout: [b"x"])
        pool.on_finish = lambda attempt, reply: self.assertIs(attempt.rpc, rpc)
        pool.update_endpoint("a", False, ("127.0.0.1", 1))
        connection.dataReceived(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
        self.assertEqual((pool.open, pool.idle, pool.addresses, attempt.rpc), (set(), {}, {}, None))

    def test_a_shortage_of_descriptors_says_nothing_of_a_backend(self):
        pool, _ = self.connecting_attempt()
        pool.has_free_descriptor = lambda: False
        pool.send(backend_connection.Attempt(None, 0, "a", 0.0, 9.0, [b"x"]))
        self.assertEqual(self.ended, [Status.ABANDONED])

    def test_an_exception_in_the_decisions_costs_its_request_only(self):
        self.gateway.decisions.handle = lambda now, events: 1 / 0
        self.gateway.decisions.actions = []
        replies = []
        rpc = type(
            "R",
            (),
            {
                "request": Request(1, 1, 0, 0, 1.0, 0, 1, 1.0),
                "id": 1,
                "attempt": None,
                "release": lambda _: None,
                "done": False,
                "first_run_at": None,
                "client_connection": type(
                    "C", (), {"set_reply": lambda _, rpc, reply: replies.append(reply)}
                )(),
            },
        )()
        self.gateway.accept_rpc(rpc)
        self.assertEqual((replies, self.gateway.rpcs), ([[b"-ERR failed\r\n"]], {}))
        self.assertEqual(invariants.counts["module_failed"], 1)

    def connecting_attempt(self):
        """Return a pool and an attempt whose connection is still being established."""
        self.ended = []
        finished = lambda attempt, reply: self.ended.append(reply.status)  # noqa: E731
        accept = lambda *_: True  # noqa: E731
        pool = backend_connection.BackendPool(
            self.reactor,
            self.gateway.settings,
            1,
            self.reactor.seconds,
            finished,
            accept,
            accept,
            accept,
            self.gateway.budget,
        )
        pool.update_endpoint("a", True, ("127.0.0.1", 1))
        pool.send(attempt := backend_connection.Attempt(None, 0, "a", 0.0, 9.0, [b"x"]))
        return pool, attempt

    def establish(self):
        """Establish the connection opened last; return it and its transport."""
        connection = self.reactor.tcpClients[-1][2].buildProtocol(None)
        transport = StringTransport()
        transport.setTcpNoDelay, transport.connected = (lambda on: None), True
        transport.dataBuffer, transport._tempDataBuffer = b"", []
        transport.getHandle = lambda: transport
        transport.sendmsg = lambda parts: transport.write(b"".join(parts)) or sum(map(len, parts))
        transport.shutdown = lambda how: None
        transport.recv = unittest.mock.Mock(side_effect=BlockingIOError)
        connection.makeConnection(transport)
        return connection, transport

    def test_an_attempt_still_connecting_ends_when_its_backend_drains(self):
        # a send counts from its first byte, which could follow the drain grace
        pool, _ = self.connecting_attempt()
        pool.update_endpoint("a", False, ("127.0.0.1", 1))
        self.assertEqual((self.ended, pool.open), ([Status.CONNECT_FAILED], set()))
        self.assertEqual(self.establish()[1].value(), b"")

    def test_an_attempt_that_is_too_late_to_write_is_not_written(self):
        pool, attempt = self.connecting_attempt()
        attempt.write_by = self.reactor.seconds() + 1.0
        self.reactor.advance(1.1)  # its timer has not run in this reactor iteration
        self.assertEqual(self.establish()[1].value(), b"")
        self.assertEqual((self.ended, pool.open), ([Status.ABANDONED], set()))

    def test_outcomes_by_where_the_connection_broke(self):
        for unsent, status in ((b"", Status.RESET), (b"rest", Status.CONNECT_FAILED)):
            self.connecting_attempt()
            connection, transport = self.establish()
            transport.dataBuffer = unsent
            connection.connectionLost()
            self.assertEqual(self.ended, [status])

    def test_connections_are_used_again_and_retired_before_the_idle_limit(self):
        pool, _ = self.connecting_attempt()
        connection, transport = self.establish()
        connection.dataReceived(b"+PONG\r\n")
        self.assertEqual(self.ended, [Status.OK])
        self.reactor.advance(2 * backend_connection.REUSE_DELAY)
        pool.send(backend_connection.Attempt(None, 0, "a", 0.0, 9.0, [b"y"]))
        self.assertEqual((transport.value(), len(self.reactor.tcpClients)), (b"xy", 1))
        # at most one connection may be open here
        pool.send(backend_connection.Attempt(None, 0, "a", 0.0, 9.0, [b"z"]))
        self.assertEqual(self.ended[-1], Status.ABANDONED)
        connection.dataReceived(b"+PONG\r\n")
        self.reactor.advance(self.gateway.settings.idle_timeout - 1)
        pool.sweep()
        self.assertEqual(pool.open, set())
        pool.send(backend_connection.Attempt(None, 0, "a", 0.0, 9.0, [b"y"]))
        self.assertEqual(len(self.reactor.tcpClients), 2)

    def test_an_evicted_connection_frees_its_descriptor_in_the_same_reactor_iteration(self):
        pool, _ = self.connecting_attempt()
        connection, transport = self.establish()
        transport.abortConnection = lambda: None  # Twisted's acts in the next reactor iteration only
        transport.connectionLost = connection.connectionLost
        connection.dataReceived(b"+PONG\r\n")
        # the connection has not rested long enough, and at most one may be open here
        pool.send(backend_connection.Attempt(None, 0, "a", 0.0, 9.0, [b"y"]))
        self.assertEqual(len(self.reactor.tcpClients), 2)
        self.assertEqual(len(pool.open) + len(pool.closing), 1)

    def test_what_lies_in_a_warm_connection_answers_no_rpc(self):
        pool, _ = self.connecting_attempt()
        pool.max_connections = 9
        connection, transport = self.establish()
        connection.dataReceived(b"+PONG\r\n")
        pool.send(backend_connection.Attempt(None, 0, "a", 0.0, 9.0, [b"y"]))
        self.assertEqual(len(self.reactor.tcpClients), 2)  # no reuse yet: a second reply may follow
        self.reactor.advance(2 * backend_connection.REUSE_DELAY)
        transport.recv = lambda n, flags: b"*"  # unread in the socket, without a reactor event so far
        pool.send(backend_connection.Attempt(None, 0, "a", 0.0, 9.0, [b"z"]))
        self.assertEqual((len(self.reactor.tcpClients), transport.value()), (3, b"x"))

    def test_an_answer_that_is_none_fails_at_its_head_and_one_that_stalls_soon(self):
        for data, wait in (
            (b"*2\r\n", 0.0),
            (b"$9\r\n", 0.0),
            (b"*3\r\n$3000000000\r\n", 0.0),
            (b"*3\r\n$9\r\nabc", backend_connection.REPLY_STALL_TIMEOUT),
            (b"-ERR with no end", backend_connection.REPLY_STALL_TIMEOUT),
        ):
            with self.subTest(data):
                pool, attempt = self.connecting_attempt()
                attempt.rpc = types.SimpleNamespace(body=None, parts=lambda timeout: [b"x"])
                connection, _ = self.establish()
                connection.dataReceived(data)
                self.assertEqual(self.ended, [] if wait else [Status.RESET])
                self.reactor.advance(wait)
                self.assertEqual((self.ended, pool.open), ([Status.RESET], set()))

    def test_a_connection_that_is_given_up_keeps_nothing_of_a_reply(self):
        pool, attempt = self.connecting_attempt()
        attempt.rpc = types.SimpleNamespace(body=None, parts=lambda timeout: [b"x"])
        connection, _ = self.establish()
        connection.dataReceived(b"*3\r\n$60000\r\n" + bytes(50_000))
        self.assertGreater(len(connection.parser.buf), 50_000)
        pool.abandon(attempt, Status.CANCELLED)
        self.assertEqual((len(connection.parser.buf), connection.held_bytes), (0, 0))

    def test_an_answer_that_comes_in_pieces_is_waited_for_but_not_for_ever(self):
        for pieces, status in ((3, Status.OK), (9, Status.RESET)):
            _, attempt = self.connecting_attempt()
            attempt.rpc = types.SimpleNamespace(body=None, parts=lambda timeout: [b"x"])
            connection, _ = self.establish()
            value = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (pieces, b"v" * pieces)
            for piece in [value[:8], *(value[8 + i : 9 + i] for i in range(pieces - 1))]:
                connection.dataReceived(piece)
                self.reactor.advance(0.09)
            connection.dataReceived(value[7 + pieces :])
            self.assertEqual(self.ended, [status])

    def test_a_connection_that_does_not_come_up_leaves_time_for_another(self):
        pool, _ = self.connecting_attempt()
        pool.max_connections = 9
        self.assertEqual(self.reactor.tcpClients[-1][3], self.gateway.settings.connect_timeout)
        # the timeout in the settings may be most of the time that a caller has left
        pool.send(backend_connection.Attempt(None, 0, "a", 0.0, self.reactor.seconds() + 0.2, [b"x"]))
        self.assertEqual(self.reactor.tcpClients[-1][3], 0.1)

    def test_invariants_are_asserted_or_counted_by_build(self):
        with self.assertRaisesRegex(AssertionError, "odd"):
            invariants.holds(False, "odd")
        text = "from corkdeal.net import invariants as i; i.holds(0, 'odd'); print(i.report())"
        done = subprocess.run([sys.executable, "-O", "-c", text], cwd=ROOT, capture_output=True, check=True)
        self.assertEqual(done.stdout, b"odd=1\n")
