"""Fake backends, discovery and clients on loopback for tests of the real program; waits are for events."""

import contextlib
import copy
import http.server
import json
import pathlib
import queue
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
import urllib.parse

from corkdeal.net.resp import Parser, encode_command

from .ports import reserve_address, reserve_port

ROOT = pathlib.Path(__file__).parents[1]
WAIT_TIMEOUT = 60.0  # s; longer than anything takes, SYN retries after 1, 3, 7, 15 and 31 s included
SETTINGS = {
    "balancers": 2,
    "me": 0,
    "failure_domains": ["north", "south"],
    "host_types": ["standard"],
    "zone": 0,
    "membership_mode": "pushed",
    "granularity_us": 4000,
    "classes": [
        {"name": "look", "aim_us": 1500000, "deadline_us": 4000000, "semantics": "pure"},
        {
            "name": "note",
            "aim_us": 2000000,
            "deadline_us": 5000000,
            "semantics": "token",
            "group": "cell",
            "window_us": 10000000,
        },
        {"name": "pay", "aim_us": 2000000, "deadline_us": 5000000, "semantics": "side_effect"},
    ],
    "tiers_of_service": [
        {"name": "small", "quota_rate": 0.1, "store_size": 2},
        {"name": "large", "quota_rate": 1000, "store_size": 1000},
    ],
    "policy_limits": {
        "max_attempts": 4,
        "cancel": True,
        "peers": True,
        "retry_after": True,
        "max_retry_after_us": 500000,
        "connect_timeout_us": 250000,
        "conn_idle_us": 30000000,
    },
    "client_habits": {"marks_retry": True},
    "family_info": {"peer_intake": 60},
    "rules": {
        "drain_grace_us": 250000,
        "answer_slack_us": 16000,
        "fall_multiple": 4,
        "fall_us": 1000000,
        "cold_share": 0.25,
        "warm_within_us": 16000000,
    },
    "telemetry": {"how": "inline", "columns": ["recent_ms", "throughput"]},
}


def served(value=b"v"):
    """A backend's reply with a value and a load report."""
    load = b"latency_ms=120,qps=4"
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(load), load)


class Conn:
    """A socket that reads RESP frames."""

    def __init__(self, sock):
        self.sock, self.parser = sock, Parser()
        sock.settimeout(WAIT_TIMEOUT)

    def read(self):
        """The items of the next frame, or None at the end of the stream."""
        while (frame := self.parser.next()) is None:
            try:
                data = self.sock.recv(65536)
            except ConnectionError:
                data = b""
            if not data:
                return None
            self.parser.feed(data)
        items = frame.items[1:] if frame.items[0].kind == ord("*") else frame.items
        return [bytes(frame.buf[i.start : i.stop]) for i in items]

    def send(self, data):
        self.sock.sendall(data)

    def end(self):
        """Shut down the connection, even while a thread reads from it."""
        self.sock.shutdown(socket.SHUT_RDWR)

    def reset(self):
        """Reset the connection."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()


class Asked:
    """A command received by a backend; the test replies to it."""

    def __init__(self, backend, conn, words):
        self.backend, self.conn, self.words = backend, conn, words
        self.ended = threading.Event()  # the gateway has ended the connection
        self.params = dict(p.split(b"=") for p in words[3].split(b","))


class Backend:
    """Accepts connections and queues their commands in the world; it does not reply by itself."""

    def __init__(self, name, world, cell=0, **more):
        self.name, self.world = name, world
        self.listener = socket.create_server(("127.0.0.1", reserve_port()))  # not reused once closed
        self.port = self.listener.getsockname()[1]
        self.entry = {
            "id": name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "north",
            "flavor": "standard",
            "cell": cell,
            "phase": "Ready",
            "size": 1.0,
            "up_since_ms": 0,
            **more,
        }
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def stop_listening(self):
        """Refuse connections from now on; after `close` alone, a pending accept could still take one more."""
        with contextlib.suppress(OSError):  # already shut down
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def accept_connections(self):
        with contextlib.suppress(OSError):
            while True:
                threading.Thread(
                    target=self.read_commands, args=(self.listener.accept()[0],), daemon=True
                ).start()

    def read_commands(self, sock):
        conn, asked = Conn(sock), []
        while True:
            try:
                words = conn.read()
            except OSError:
                words = None
            if words is None:
                for each in asked:
                    each.ended.set()
                return
            asked.append(Asked(self, conn, words))
            self.world.asked.put(asked[-1])


class Discovery(http.server.BaseHTTPRequestHandler):
    """Serves the two calls of discovery from the list of the world."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        """Suppress the access log."""

    def do_GET(self):
        query = urllib.parse.parse_qs(urllib.parse.urlparse(self.path).query)
        world, after = self.server.world, int(query.get("after", ["-1"])[0])
        wait = int(query.get("wait_ms", ["20000"])[0]) / 1000
        with world.changed:
            world.calls.put(after)
            world.changed.wait_for(lambda: world.closed or world.silent or world.revision > after, wait)
            world.changed.wait_for(lambda: world.closed or not world.silent, WAIT_TIMEOUT)
            body = (
                world.raw
                or json.dumps(
                    {
                        "revision": world.revision,
                        "complete": True,
                        "members": [b.entry for b in world.backends.values()],
                    }
                ).encode()
            )
            world.raw = None
        with contextlib.suppress(ConnectionError):
            self.answer(body)

    def answer(self, body):
        """Write one response; tests override this to end it in other ways."""
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class FakeServices:
    """Fake discovery and backends for one gateway process."""

    def __init__(self, port=0):
        self.asked, self.calls, self.changed = queue.Queue(), queue.Queue(), threading.Condition()
        self.revision, self.raw, self.backends, self.closed, self.silent = 1, None, {}, False, False
        self.http = http.server.ThreadingHTTPServer(("127.0.0.1", port), Discovery)
        self.http.world, self.http.daemon_threads = self, True
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def add(self, name, **more):
        backend = self.backends[name] = Backend(name, self, **more)
        return backend

    def tell(self, raw=None, **phases):
        """Publish a new endpoint list; returns once the gateway has it, as its next call shows."""
        with self.changed:
            for name, phase in phases.items():
                self.backends[name].entry["phase"] = phase
            self.raw, self.revision = raw, self.revision + 1
            self.changed.notify_all()
        while self.calls.get(timeout=WAIT_TIMEOUT) != (self.revision if raw is None else -1):
            pass

    def next(self):
        return self.asked.get(timeout=WAIT_TIMEOUT)

    def close(self):
        with self.changed:
            self.closed = True
            self.changed.notify_all()
        self.http.shutdown()
        self.http.server_close()
        for b in self.backends.values():
            b.stop_listening()


class Program(unittest.TestCase):
    """Base of tests that run the real program; subclasses set interpreter options in `build`."""

    build: tuple[str, ...] = ()

    def setUp(self):
        self.world, self.lines, self.folder = FakeServices(), [], tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.addCleanup(self.world.close)
        self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.peer.bind(("127.0.0.1", 0))
        self.peer.settimeout(WAIT_TIMEOUT)
        self.addCleanup(self.peer.close)

    def start(self, known=None, options=None, config=None, **backends):
        for name, more in backends.items():
            self.world.add(name, **more)
        self.udp = reserve_address(socket.SOCK_DGRAM)
        self.config = {
            "name": "n0",
            "listen": reserve_address(),
            "discovery": f"127.0.0.1:{self.world.http.server_port}",
            "seed": "8c1f",
            "peer_listen": self.udp,
            "peers": [self.udp, f"127.0.0.1:{self.peer.getsockname()[1]}"],
            "limits": {"sockets": 256},
            "settings": SETTINGS,
            "known": known,
            **(config or {}),
        }
        path = self.path = pathlib.Path(self.folder.name, "config.json")
        path.write_text(json.dumps(self.config))
        self.env = {"RELAY_CONFIG": str(path), "TMPDIR": self.folder.name, **getattr(self, "more_env", {})}
        if options is not None:
            self.options = pathlib.Path(self.folder.name, "options.kdl")
            self.options.write_text(options)
            self.env["CORKDEAL_OPTIONS"] = str(self.options)
        self.run_program()
        self.addCleanup(self.stop)
        self.line("serving ")

    def run_program(self):
        """Start a process of the program; it may be called again after the last one has ended."""
        self.process = subprocess.Popen(
            [sys.executable, *self.build, "-m", "corkdeal.net"],
            cwd=ROOT,
            env=self.env,
            pass_fds=getattr(self, "fds", ()),
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()

    def line(self, text):
        """Wait for a log line; a program that does not write it in time is killed, which fails the test."""
        guard = threading.Timer(WAIT_TIMEOUT, self.process.kill)
        guard.start()
        try:
            for line in self.process.stdout:
                self.lines.append(line)
                if text in line:
                    return line
        finally:
            guard.cancel()
        self.fail(f"ended without {text!r}: {self.lines}")

    def client(self):
        host, port = self.config["listen"].split(":")
        conn = Conn(socket.create_connection((host, int(port)), WAIT_TIMEOUT))
        self.addCleanup(conn.sock.close)
        return conn

    def words(self, cls, customer=7, d=3000, rid=1, more=b"", body=None):
        head = [b"API.READ" if body is None else b"API.WRITE", b"%016x" % customer, b"%016x" % rid]
        plan = b"small" if customer == 1 else b"large"
        return [
            *head,
            b"c=%b,t=%b,d=%d%b,units=1,spread=1,first=0" % (cls, plan, d, more),
            *([] if body is None else [body]),
        ]

    def ask(self, client, cls=b"look", **more):
        client.send(encode_command(*self.words(cls, **more)))

    def timed(self, act):
        began = time.monotonic()
        return act(), time.monotonic() - began


def long_deadline_settings(**limits):
    """Settings with time limits so long that no waiting request times out during a test."""
    settings = copy.deepcopy(SETTINGS)
    for each in settings["classes"]:
        each.update(aim_us=80_000_000, deadline_us=90_000_000)
    settings["policy_limits"].update(connect_timeout_us=60_000_000, **limits)
    return settings


class ControlledProgram(Program):
    """Base of tests that control when events happen, with a program that is frozen in between."""

    def patient(self, sockets=256, **more):
        """Start with the long time limits of `long_deadline_settings`."""
        self.start(config={"settings": long_deadline_settings(), "limits": {"sockets": sockets}}, **more)

    def seen(self, text):
        """Wait for a log line that may have been read already."""
        if not any(text in line for line in self.lines):
            self.line(text)

    def freeze(self):
        """Stop the program while it sleeps in its event loop; returns the time once it has stopped."""
        self.until("S")
        self.process.send_signal(signal.SIGSTOP)
        self.until("T")
        return time.monotonic()

    def until(self, state):
        """Wait until the process is in that state, as in /proc."""
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat")
        while stat.read_text().rpartition(")")[2].split()[0] != state:
            time.sleep(0.001)

    def thaw(self, after=0.0, since=0.0):
        """Continue the program once timers of `after` s that started at `since` are overdue."""
        time.sleep(max(0.0, since + after - time.monotonic()))
        self.process.send_signal(signal.SIGCONT)

    def wait_for(self, true):
        """Poll until a condition holds."""
        until = time.monotonic() + WAIT_TIMEOUT
        while not true():
            self.assertLess(time.monotonic(), until)
            time.sleep(0.005)

    def pinged(self, many):
        """Open idle client connections; each has sent one PING and got its reply."""
        clients = [self.client() for _ in range(many)]
        for client in clients:
            client.send(encode_command(b"PING"))
            self.assertEqual(client.read(), [b"PONG"])
        return clients

    def serve(self, client, rid, cls=b"look", **more):
        """Have one request served; returns the command that a backend received for it."""
        self.ask(client, cls, rid=rid, **more)
        asked = self.world.next()
        asked.conn.send(served())
        self.assertEqual(client.read(), [b"v"])
        return asked

    def crowded(self, name="a"):
        """Add a backend whose accept queue is full, so that connecting to it waits; returns its listener."""
        backend = self.world.add(name)
        backend.stop_listening()
        listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.addCleanup(listener.close)
        backend.entry["host_port"] = f"127.0.0.1:{listener.getsockname()[1]}"
        self.filling = []
        for _ in range(8):
            sock = socket.socket()
            sock.setblocking(False)
            self.addCleanup(sock.close)
            sock.connect_ex(listener.getsockname())
            self.filling.append(sock)
        return listener
