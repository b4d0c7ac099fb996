"""Toy backends, discovery and clients on loopback for the real program; every wait is for an event."""

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

from corkdeal.net.resp import Parser, command

from .ports import reserve_address, reserve_port

ROOT = pathlib.Path(__file__).parents[1]
PATIENCE = 60.0  # s; far more than anything takes, and the kernel asks again after 1, 3, 7, 15 and 31
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
    """A backend's answer with a value and a load report."""
    load = b"latency_ms=120,qps=4"
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(load), load)


class Conn:
    """One socket that speaks RESP."""

    def __init__(self, sock):
        self.sock, self.parser = sock, Parser()
        sock.settimeout(PATIENCE)

    def read(self):
        """The next frame's items as bytes, or None at the end of the stream."""
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
        """End the stream, although a thread may be reading it."""
        self.sock.shutdown(socket.SHUT_RDWR)

    def reset(self):
        """End with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()


class Asked:
    """One command that reached a backend; the test answers it."""

    def __init__(self, backend, conn, words):
        self.backend, self.conn, self.words = backend, conn, words
        self.ended = threading.Event()  # the gateway ended the connection
        self.params = dict(p.split(b"=") for p in words[3].split(b","))


class Backend:
    """Accepts connections and queues commands; it answers nothing by itself."""

    def __init__(self, name, world, cell=0, **more):
        self.name, self.world = name, world
        self.listener = socket.create_server(("127.0.0.1", reserve_port()))  # nobody else's once closed
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
        threading.Thread(target=self.accept, daemon=True).start()

    def stop_listening(self):
        """Refuse connections from now on; `close` alone would let the accept under way take one more."""
        with contextlib.suppress(OSError):  # it has stopped already
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                threading.Thread(target=self.follow, args=(self.listener.accept()[0],), daemon=True).start()

    def follow(self, sock):
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
    """Discovery's two calls; the world holds its list."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        """Silent."""

    def do_GET(self):
        query = urllib.parse.parse_qs(urllib.parse.urlparse(self.path).query)
        world, after = self.server.world, int(query.get("after", ["-1"])[0])
        wait = int(query.get("wait_ms", ["20000"])[0]) / 1000
        with world.changed:
            world.calls.put(after)
            world.changed.wait_for(lambda: world.closed or world.silent or world.revision > after, wait)
            world.changed.wait_for(lambda: world.closed or not world.silent, PATIENCE)
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
        """Write one answer; other ways to end it are made by overriding this."""
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class World:
    """Discovery and backends for one gateway's program."""

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
        """Publish a new list; returns once the gateway has it, by its next call."""
        with self.changed:
            for name, phase in phases.items():
                self.backends[name].entry["phase"] = phase
            self.raw, self.revision = raw, self.revision + 1
            self.changed.notify_all()
        while self.calls.get(timeout=PATIENCE) != (self.revision if raw is None else -1):
            pass

    def next(self):
        return self.asked.get(timeout=PATIENCE)

    def close(self):
        with self.changed:
            self.closed = True
            self.changed.notify_all()
        self.http.shutdown()
        self.http.server_close()
        for b in self.backends.values():
            b.stop_listening()


class Program(unittest.TestCase):
    """Starts the real program; subclasses choose the build."""

    build: tuple[str, ...] = ()

    def setUp(self):
        self.world, self.lines, self.folder = World(), [], tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.addCleanup(self.world.close)
        self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.peer.bind(("127.0.0.1", 0))
        self.peer.settimeout(PATIENCE)
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
        """Start it, or start it again."""
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
        """Wait for a line of the log; a program that does not write it is ended, so that the test does."""
        guard = threading.Timer(PATIENCE, self.process.kill)
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
        conn = Conn(socket.create_connection((host, int(port)), PATIENCE))
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
        client.send(command(*self.words(cls, **more)))

    def timed(self, act):
        began = time.monotonic()
        return act(), time.monotonic() - began


def slow_settings(**limits):
    """Aims so long that whatever waits goes on waiting for the whole test."""
    settings = copy.deepcopy(SETTINGS)
    for each in settings["classes"]:
        each.update(aim_us=80_000_000, deadline_us=90_000_000)
    settings["policy_limits"].update(connect_timeout_us=60_000_000, **limits)
    return settings


class Moments(Program):
    """What these tests have in common."""

    def patient(self, sockets=256, **more):
        """Start with long aims, and so many descriptors."""
        self.start(config={"settings": slow_settings(), "limits": {"sockets": sockets}}, **more)

    def seen(self, text):
        """Wait for a line of the log that may have come already."""
        if not any(text in line for line in self.lines):
            self.line(text)

    def freeze(self):
        """Stop the program where it waits for something to happen; the time at which it had stopped."""
        self.until("S")
        self.process.send_signal(signal.SIGSTOP)
        self.until("T")
        return time.monotonic()

    def until(self, state):
        """Wait until the kernel says that of the process."""
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat")
        while stat.read_text().rpartition(")")[2].split()[0] != state:
            time.sleep(0.001)

    def thaw(self, after=0.0, since=0.0):
        """Let it go on, its timers of so many s by then overdue."""
        time.sleep(max(0.0, since + after - time.monotonic()))
        self.process.send_signal(signal.SIGCONT)

    def wait_for(self, true):
        """Wait until that holds."""
        until = time.monotonic() + PATIENCE
        while not true():
            self.assertLess(time.monotonic(), until)
            time.sleep(0.005)

    def pinged(self, many):
        """Client connections that rest: each has asked once and has its answer."""
        clients = [self.client() for _ in range(many)]
        for client in clients:
            client.send(command(b"PING"))
            self.assertEqual(client.read(), [b"PONG"])
        return clients

    def serve(self, client, rid, cls=b"look", **more):
        """Have one request served; the command that came to a backend for it."""
        self.ask(client, cls, rid=rid, **more)
        asked = self.world.next()
        asked.conn.send(served())
        self.assertEqual(client.read(), [b"v"])
        return asked

    def crowded(self, name="a"):
        """A backend whose kernel takes no connection until its queue is emptied: its listening socket."""
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
