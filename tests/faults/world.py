"""One gateway process with fake backends and clients on loopback, in one event loop, for tests of faults."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from typing import ClassVar

from corkdeal.experiment.soak.services import BackendModel, FakeBackend
from corkdeal.net.resp import encode_command
from corkdeal.standin.discovery import Discovery

from ..ports import reserve_address

ROOT = pathlib.Path(__file__).parents[2]
DESCRIPTORS = 1024
START_TIMEOUT = 30.0  # s
SAMPLE_INTERVAL = 0.02  # s between looks at the memory of the process
QUIET_INTERVAL = 0.2  # s between the requests of the quiet client
LIMITS = [96, 192]  # MB of memory; the least that the pages name, and the usual limit
RECEIVE_BUFFER = 4096  # bytes, of clients that read next to nothing
TIMEOUT = 1.0  # s that clients wait for an answer
LATE = 0.5  # s past its time at which an answer counts as lost
RESET = struct.pack("@ii", 1, 0)  # SO_LINGER that makes a close reset the connection
CLASSES = [
    {"name": "board-load", "aim_us": 1500000, "deadline_us": 4000000, "semantics": "pure"},
    {
        "name": "solve-record",
        "aim_us": 2000000,
        "deadline_us": 5000000,
        "semantics": "token",
        "group": "cell",
        "window_us": 10000000,
    },
    {"name": "payment", "aim_us": 2000000, "deadline_us": 5000000, "semantics": "side_effect"},
]
SETTINGS = {
    "balancers": 1,
    "me": 0,
    "zone": 0,
    "failure_domains": ["north-hall"],
    "host_types": ["standard"],
    "membership_mode": "pushed",
    "granularity_us": 4000,
    "classes": CLASSES,
    "tiers_of_service": [
        {"name": "family", "quota_rate": 1.4, "store_size": 5},
        {"name": "school", "quota_rate": 100000, "store_size": 100000},
    ],
    "policy_limits": {
        "max_attempts": 4,
        "cancel": True,
        "retry_after": True,
        "max_retry_after_us": 500000,
        "connect_timeout_us": 250000,
        "conn_idle_us": 30000000,
    },
    "rules": {
        "drain_grace_us": 250000,
        "fall_multiple": 4,
        "fall_us": 1000000,
        "cold_share": 0.25,
        "warm_within_us": 16000000,
    },
    "telemetry": {"how": "inline", "columns": ["recent_ms", "throughput"]},
}


class TestBackend(FakeBackend):
    """A backend without limits, whose replies a test chooses; it records the ids that it is sent."""

    __test__ = False

    async def serve(self, stream, writer, gateway=-1):
        self.seen = getattr(self, "seen", [])
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                words = await read_command(stream)
                if words[0] == b"INFO":
                    writer.write(b"$-1\r\n")
                    continue
                self.seen.append((time.monotonic(), words))
                await self.reply(self, words, writer)
        writer.transport.abort()


async def read_command(stream):
    count = int((await stream.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await stream.readuntil(b"\r\n"))[1:])
        words.append((await stream.readexactly(size + 2))[:-2])
    return words


def served(value):
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


async def reply_small(backend, words, writer):
    writer.write(served(words[2]))


def reply_of(size, delay=0.0):
    """A reply of that many bytes, which begin with the request's id."""

    async def reply(backend, words, writer):
        await asyncio.sleep(delay)
        writer.write(served(words[2].ljust(size, b".")))
        await writer.drain()

    return reply


class Overload:
    """A gateway process with `memory_mb` and 1,024 descriptors, and three backends."""

    more_config: ClassVar = {}  # further keys of the configuration
    backend_count = 3

    def __init__(self, memory_mb, reply=reply_small, settings=None, descriptors=DESCRIPTORS):
        self.memory_mb, self.reply, self.settings = memory_mb, reply, settings or SETTINGS
        self.descriptors = descriptors
        self.ids, self.customers = itertools.count(1), itertools.count(1 << 20)
        self.peak, self.tasks, self.writers = 0, [], []
        self.waits, self.quiet_answers = [], []  # of the quiet client: s, and what it got

    async def __aenter__(self):
        self.folder = tempfile.TemporaryDirectory()
        self.backends = []
        for number in range(self.backend_count):
            backend = TestBackend(BackendModel(f"s-{number}", "north-hall"), lambda: 0.0, lambda _: None)
            backend.reply = self.reply
            await backend.start()
            self.backends.append(backend)
        self.discovery = Discovery(lambda: [backend.entry() for backend in self.backends])
        await self.discovery.start()
        self.start_gateway()
        await self.until_ready()
        await self.until_logged("state=full")
        self.tasks.append(asyncio.create_task(self.watch_memory()))
        return self

    def start_gateway(self):
        self.config = {
            "name": "n0",
            "listen": reserve_address(),
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "8c1f",
            "limits": {"memory_mb": self.memory_mb, "sockets": self.descriptors},
            "settings": self.settings,
            **self.more_config,
        }
        self.port = int(self.config["listen"].rpartition(":")[2])
        path = pathlib.Path(self.folder.name, "config.json")
        path.write_text(json.dumps(self.config))
        self.log = pathlib.Path(self.folder.name, "log.txt")
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "corkdeal.net"],
                cwd=ROOT,
                env={
                    "RELAY_CONFIG": str(path),
                    "TMPDIR": self.folder.name,
                    "CORKDEAL_OPTIONS": "deploy/platform.kdl",
                },
                stdout=log,
                stderr=log,
            )

    async def until_ready(self):
        until = time.monotonic() + START_TIMEOUT
        while time.monotonic() < until:
            await asyncio.sleep(0.05)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = await self.client()
                client.writer.write(encode_command(b"PING"))
                if (await client.reader.readline()).startswith(b"+PONG"):
                    client.writer.transport.abort()
                    return
        raise AssertionError(self.log.read_text())

    async def until_logged(self, text):
        """Wait for a log line; until `state=full` the process admits less than it could serve."""
        until = time.monotonic() + START_TIMEOUT
        while text not in self.log.read_text():
            assert time.monotonic() < until, self.log.read_text()
            await asyncio.sleep(0.02)

    async def __aexit__(self, *error):
        for task in self.tasks:
            task.cancel()
        for writer in self.writers:
            writer.transport.abort()
        self.process.kill()
        self.process.wait()
        self.discovery.close()
        for backend in self.backends:
            backend.listener.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.folder.cleanup()

    async def stop(self):
        """End the gateway with SIGTERM, and return its log, which ends with the counters."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            await asyncio.get_running_loop().run_in_executor(None, self.process.wait)
        return self.log.read_text()

    # What is observed

    def memory(self):
        """The memory of the process now, in bytes; 0 after its end."""
        return memory_of(self.process.pid)

    async def watch_memory(self):
        while True:
            self.peak = max(self.peak, self.memory())
            await asyncio.sleep(SAMPLE_INTERVAL)

    def assert_within_limits(self):
        assert self.process.poll() is None, self.log.read_text()
        assert self.peak < self.memory_mb << 20, f"{self.peak >> 20} MiB of {self.memory_mb}"

    def start_quiet_client(self):
        """Five requests a second on one connection; each must get its answer in its time."""
        self.tasks.append(asyncio.create_task(self.ask_quietly()))

    async def ask_quietly(self):
        client = await self.client()
        while True:
            sent_at = time.monotonic()
            client.writer.write(self.request(customer=7))
            try:
                self.quiet_answers.append((await client.answer())[:5])
            except (ConnectionError, asyncio.IncompleteReadError):
                self.quiet_answers.append(b"ended")
                client = await self.client()
            self.waits.append(time.monotonic() - sent_at)
            await asyncio.sleep(max(0.0, QUIET_INTERVAL - self.waits[-1]))

    def assert_quiet_client_served(self):
        """Each of its requests got a final answer in its time, and at least half of them were served."""
        assert self.waits
        assert max(self.waits) < TIMEOUT, sorted(self.waits)[-5:]
        assert b"ended" not in self.quiet_answers
        served_count = sum(answer.startswith(b"$") for answer in self.quiet_answers)
        assert served_count >= len(self.quiet_answers) / 2, self.quiet_answers

    # Clients

    async def client(self, receive_buffer=None):
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        try:
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.port))
        except BaseException:
            sock.close()
            raise
        reader, writer = await asyncio.open_connection(sock=sock)
        self.writers.append(writer)
        return Client(reader, writer)

    def words(self, customer=None, plan=b"school", name=b"board-load", timeout=TIMEOUT, rid=None, more=b""):
        """The words of a request with a new id, and a new customer where none is given."""
        number = next(self.customers) if customer is None else customer
        rid = next(self.ids) if rid is None else rid
        command = b"API.READ" if name == b"board-load" else b"API.WRITE"
        parameters = b"c=%b,t=%b,d=%d%b" % (name, plan, timeout * 1000, more)
        return [command, b"%016x" % number, b"%016x" % rid, parameters]

    def request(self, **more):
        return encode_command(*self.words(**more))

    def write(self, body, **more):
        more.setdefault("more", b",k=key")
        return encode_command(*self.words(name=b"solve-record", **more), body)


def memory_of(pid):
    """The resident memory of a process in bytes; 0 after its end."""
    with contextlib.suppress(OSError):
        pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")
    return 0


class Client:
    """One client connection."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    async def answer(self):
        """The next answer: a value with its first byte `$`, or a line."""
        line = await self.reader.readuntil(b"\r\n")
        if line[:1] != b"$":
            return line
        return b"$" + (await self.reader.readexactly(int(line[1:]) + 2))[:-2]

    def reset(self):
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.writer.transport.abort()


async def gather_paced(make, count, interval):
    """Run `make(number)` for that many clients, one started every `interval` s."""
    tasks = []
    for number in range(count):
        tasks.append(asyncio.create_task(make(number)))
        await asyncio.sleep(interval)
    return await asyncio.gather(*tasks, return_exceptions=True)


def rng(seed):
    return random.Random(seed)


def run(test):
    return asyncio.run(test)


async def send_and_stay(world, data, seconds=3.0, receive_buffer=None):
    """Connect, write what the gateway takes, and stay until the gateway closes or the time is over."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(seconds):
            client = await world.client(receive_buffer)
            if receive_buffer is not None:
                client.writer.transport.pause_reading()
            client.writer.write(data)
            await client.writer.drain()
            await asyncio.sleep(seconds)


async def send_new_names(world, seconds, **more):
    """Pipeline requests of ever new customers on one connection, and read their answers."""
    client = await world.client()

    async def send():
        while True:
            client.writer.write(b"".join(world.request(**more) for _ in range(100)))
            await client.writer.drain()
            await asyncio.sleep(0)  # `drain` alone lets no other task run while the socket takes all

    async def read():
        while await client.reader.read(1 << 16):
            pass

    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(seconds):
            await asyncio.gather(send(), read())
