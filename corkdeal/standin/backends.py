"""Fake backends with cores, a queue, a cold start and a crash under overload.

They simulate work behind real sockets, and can be slowed, killed or cut off. `cores` requests are processed
at a time, each for its drawn work divided by the backend's speed. The rest wait in a FIFO queue; when it is
full, the reply is `-BUSY`. A backend that has just started has `cold_from` of its capacity, which grows
linearly to all of it over `cold_s`. A cold backend that is sent more than `fall_multiple` times its current
capacity within `fall_s` crashes, sets `has_crashed` and stays down.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .links import Doors

READ_AT_ONCE = 65536


class CommandReader:
    """Parses the commands of one connection; minimal, as only our own gateways and tests send to it."""

    def __init__(self, stream: asyncio.StreamReader) -> None:
        self.stream = stream

    async def read_header(self, kind: bytes) -> int:
        """Read the header line of a RESP type; returns its number."""
        head = await self.stream.readuntil(b"\r\n")
        if head[:1] != kind:
            raise ValueError(f"expected RESP type {kind!r}, got {head[:20]!r}")
        return int(head[1:-2])

    async def read_command(self) -> list[bytes]:
        """Read the next command; returns its arguments."""
        arguments = []
        for _ in range(await self.read_header(b"*")):
            size = await self.read_header(b"$")
            arguments.append((await self.stream.readexactly(size + 2))[:-2])
        return arguments


@dataclass(slots=True)
class Arrival:
    """A request that arrived at a backend, as reported to the experiment."""

    at: float  # wall-clock time
    server: str
    customer: int
    request: int
    gateway: str  # the number of its gateway if the backend has doors, else empty
    is_open: Callable[[], bool] = lambda: False  # whether its gateway is still waiting for the reply


def is_peer_connected(writer: asyncio.StreamWriter) -> bool:
    """Whether the peer has neither closed nor reset a connection, according to the kernel."""
    if writer.transport.is_closing():
        return False
    handle = writer.get_extra_info("socket")
    with socket.fromfd(handle.fileno(), handle.family, handle.type) as peek:
        try:
            return peek.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except BlockingIOError:
            return True
        except OSError:
            return False


@dataclass(slots=True)
class QueuedRequest:
    """A request in the queue of a backend."""

    work: float
    start: asyncio.Future[None]
    gone: bool = False


@dataclass(slots=True)
class BackendModel:
    """The parameters of a backend."""

    name: str
    zone: str
    cell: int = 0
    cores: int = 3
    speed: float = 1.0
    queue: int = 60
    cold_from: float = 0.25
    cold_s: float = 16.0
    fall_multiple: float = 4.0
    fall_s: float = 1.0
    host_type: str = "standard"


@dataclass(eq=False)
class FakeBackend:
    """One fake backend."""

    model: BackendModel
    draw_work: Callable[[], float]  # draws the work of a request, in s on a core of speed 1
    on_arrival: Callable[[Arrival], None]
    slow: float = 1.0  # factor by which it is slower than its model
    up_since: float = 0.0  # wall-clock time, 0 if it started long ago
    is_cut_off: bool = False  # no data passes in either direction; connections stay open
    has_crashed: bool = False
    port: int = 0
    busy_cores: int = 0
    queue: deque[QueuedRequest] = field(default_factory=deque)
    recent_work: deque[tuple[float, float]] = field(default_factory=deque)  # (time, work) within fall_s
    mean_latency: float = 0.2
    reply_times: deque[float] = field(default_factory=deque)
    connections: set[asyncio.StreamWriter] = field(default_factory=set)
    listener: Any = None
    restored: asyncio.Event = field(default_factory=asyncio.Event)
    doors: Doors | None = None

    async def start(self, port: int = 0, host: str = "127.0.0.1", gateways: int = 0) -> None:
        """Listen; with `gateways`, on one door per gateway. A start after `crash` simulates a new process."""
        if gateways:
            self.doors = Doors(self.serve, random.Random(self.model.name))
            return await self.doors.start(gateways)
        self.listener = await asyncio.start_server(self.serve, host, port)
        self.port = self.listener.sockets[0].getsockname()[1]

    def entry(self, phase: str = "Ready", gateway: int | None = None) -> dict[str, Any]:
        """Its entry in the endpoint list, for all gateways or for that one."""
        port = self.port if gateway is None or self.doors is None else self.doors.ports[gateway]
        return {
            "id": self.model.name,
            "host_port": f"127.0.0.1:{port}",
            "locality": self.model.zone,
            "flavor": self.model.host_type,
            "cell": self.model.cell,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": int(self.up_since * 1000),
        }

    def warm_fraction(self) -> float:
        """The fraction of its full capacity that it has now."""
        if not self.up_since:
            return 1.0
        age = max(0.0, time.time() - self.up_since) / self.model.cold_s
        return min(1.0, self.model.cold_from + (1 - self.model.cold_from) * age)

    def capacity(self) -> float:
        """Its current capacity, in seconds of work per second."""
        return self.model.cores * self.model.speed * self.warm_fraction() / self.slow

    def record_work(self, work: float) -> None:
        """Account for a request's work; a cold backend that is overloaded crashes."""
        now = time.monotonic()
        self.recent_work.append((now, work))
        while self.recent_work and self.recent_work[0][0] < now - self.model.fall_s:
            self.recent_work.popleft()
        limit = self.model.fall_multiple * self.capacity() * self.model.fall_s
        if self.warm_fraction() < 1 and sum(w for _, w in self.recent_work) > limit:
            self.has_crashed = True
            self.crash()

    def crash(self) -> None:
        """Simulate the end of its process: connections are reset, new ones refused."""
        if self.listener is not None:
            self.listener.close()
        if self.doors is not None:
            self.doors.close()
        for writer in list(self.connections):
            writer.transport.abort()
        for queued in self.queue:
            queued.start.cancel()  # ends the task that waits for it
        self.queue.clear()
        self.busy_cores = 0

    def cut_off(self) -> None:
        """Stop sending and receiving; connections stay open."""
        self.is_cut_off = True
        self.restored.clear()
        for writer in self.connections:
            with contextlib.suppress(RuntimeError):
                writer.transport.pause_reading()  # type: ignore[attr-defined]

    def restore(self, reset: bool = False) -> None:
        """Be reachable again; open connections continue, or are reset."""
        self.is_cut_off = False
        self.restored.set()
        for writer in list(self.connections):
            if reset:
                writer.transport.abort()
            else:
                with contextlib.suppress(RuntimeError):
                    writer.transport.resume_reading()  # type: ignore[attr-defined]

    async def serve(
        self, stream: asyncio.StreamReader, writer: asyncio.StreamWriter, gateway: int = -1
    ) -> None:
        """Serve one connection, one command at a time."""
        self.connections.add(writer)
        reader = CommandReader(stream)
        try:
            if self.is_cut_off:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                await self.restored.wait()
            while True:
                arguments = await reader.read_command()
                if self.doors is not None:
                    await self.doors.apply_fault(gateway, writer)
                done: list[bool] = []
                reply = await self.answer(
                    arguments,
                    str(gateway) if gateway >= 0 else "",
                    lambda done=done: not done and is_peer_connected(writer),
                )
                if self.is_cut_off:
                    await self.restored.wait()
                if self.doors is not None:
                    await self.doors.unblocked[gateway].wait()
                done.append(True)
                writer.write(reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def answer(self, arguments: list[bytes], gateway: str, is_open: Callable[[], bool]) -> bytes:
        """Execute one command; returns the reply."""
        if arguments[0].upper() == b"PING":
            return b"+PONG\r\n"
        if arguments[0].upper() not in (b"API.READ", b"API.WRITE"):
            return b"-ERR unknown command\r\n"
        work = self.draw_work()
        self.on_arrival(
            Arrival(
                time.time(), self.model.name, int(arguments[1], 16), int(arguments[2], 16), gateway, is_open
            )
        )
        self.record_work(work)
        if self.has_crashed or len(self.queue) >= self.model.queue:
            return b"-BUSY\r\n"
        began = time.monotonic()
        if self.busy_cores >= self.model.cores:
            queued = QueuedRequest(work, asyncio.get_running_loop().create_future())
            self.queue.append(queued)
            await queued.start
        self.busy_cores += 1
        try:
            started = time.monotonic()
            await asyncio.sleep(work * self.slow / (self.model.speed * self.warm_fraction()))
        finally:
            self.busy_cores -= 1
            while self.queue and self.busy_cores < self.model.cores:
                next_request = self.queue.popleft()
                if not next_request.start.done():
                    next_request.start.set_result(None)
                    break
        now = time.monotonic()
        self.mean_latency += 0.1 * (now - started - self.mean_latency)
        self.reply_times.append(now)
        while self.reply_times and self.reply_times[0] < now - 1:
            self.reply_times.popleft()
        load = b"latency_ms=%d,qps=%d" % (self.mean_latency * 1000, len(self.reply_times))
        value = self.make_value(arguments, now - began)
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(load), load)

    def make_value(self, arguments: list[bytes], elapsed: float) -> bytes:
        """Return the value of a reply to a command that took `elapsed` s."""
        return b"done %b after %d ms" % (arguments[2], elapsed * 1000)


def gamma_work(rng: random.Random, mean: float, cv: float) -> Callable[[], float]:
    """A function that draws work from a gamma distribution with that mean and coefficient of variation."""
    shape = 1 / cv**2
    return lambda: max(0.005, rng.gammavariate(shape, mean / shape))
