"""Fake backends with cores, a queue, a cold start and a crash under overload.

They simulate work behind real sockets, and can be slowed, killed or cut off. `cores` requests are processed
at a time, each for its drawn work divided by the backend's speed. The rest wait in a FIFO queue; when it is
full, the reply is `-BUSY`. A backend that has just started has `cold_from` of its capacity, which grows
linearly to all of it over `cold_s`. A cold backend that is sent more than `fall_multiple` times its current
capacity within `fall_s` crashes, sets `fallen` and stays down.
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


class Reader:
    """Parses the commands of one connection; minimal, as only our own gateways and tests send to it."""

    def __init__(self, stream: asyncio.StreamReader) -> None:
        self.stream = stream

    async def line(self, kind: bytes) -> int:
        """Read the header line of a RESP type; returns its number."""
        head = await self.stream.readuntil(b"\r\n")
        if head[:1] != kind:
            raise ValueError(f"expected RESP type {kind!r}, got {head[:20]!r}")
        return int(head[1:-2])

    async def command(self) -> list[bytes]:
        """Read the next command; returns its arguments."""
        words = []
        for _ in range(await self.line(b"*")):
            size = await self.line(b"$")
            words.append((await self.stream.readexactly(size + 2))[:-2])
        return words


@dataclass(slots=True)
class Arrival:
    """A request that arrived at a backend, as reported to the experiment."""

    at: float  # wall-clock time
    server: str
    customer: int
    request: int
    gateway: str  # the number of its gateway if the backend has doors, else empty
    live: Callable[[], bool] = lambda: False  # whether its gateway is still waiting for the reply


def waited_for(writer: asyncio.StreamWriter) -> bool:
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
class Waiting:
    """A request in the queue of a backend."""

    work: float
    start: asyncio.Future[None]
    gone: bool = False


@dataclass(slots=True)
class Model:
    """The parameters of a backend."""

    name: str
    hall: str
    cell: int = 0
    cores: int = 3
    speed: float = 1.0
    queue: int = 60
    cold_from: float = 0.25
    cold_s: float = 16.0
    fall_multiple: float = 4.0
    fall_s: float = 1.0
    figure: str = "standard"


@dataclass(eq=False)
class Server:
    """One fake backend."""

    model: Model
    work_of: Callable[[], float]  # draws the work of a request, in s on a core of speed 1
    seen: Callable[[Arrival], None]
    slow: float = 1.0  # factor by which it is slower than its model
    up_since: float = 0.0  # wall-clock time, 0 if it started long ago
    cut: bool = False  # no data passes in either direction; connections stay open
    fallen: bool = False
    port: int = 0
    busy: int = 0
    waiting: deque[Waiting] = field(default_factory=deque)
    recent: deque[tuple[float, float]] = field(default_factory=deque)  # (time, work) within fall_s
    latency: float = 0.2
    answered: deque[float] = field(default_factory=deque)
    open: set[asyncio.StreamWriter] = field(default_factory=set)
    listener: Any = None
    restored: asyncio.Event = field(default_factory=asyncio.Event)
    doors: Doors | None = None

    async def start(self, port: int = 0, host: str = "127.0.0.1", gateways: int = 0) -> None:
        """Listen; with `gateways`, on one door per gateway. A start after `die` simulates a new process."""
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
            "locality": self.model.hall,
            "flavor": self.model.figure,
            "cell": self.model.cell,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": int(self.up_since * 1000),
        }

    def warmth(self) -> float:
        """The fraction of its full capacity that it has now."""
        if not self.up_since:
            return 1.0
        age = max(0.0, time.time() - self.up_since) / self.model.cold_s
        return min(1.0, self.model.cold_from + (1 - self.model.cold_from) * age)

    def capacity(self) -> float:
        """Its current capacity, in seconds of work per second."""
        return self.model.cores * self.model.speed * self.warmth() / self.slow

    def weigh(self, work: float) -> None:
        """Account for a request's work; a cold backend that is overloaded crashes."""
        now = time.monotonic()
        self.recent.append((now, work))
        while self.recent and self.recent[0][0] < now - self.model.fall_s:
            self.recent.popleft()
        most = self.model.fall_multiple * self.capacity() * self.model.fall_s
        if self.warmth() < 1 and sum(w for _, w in self.recent) > most:
            self.fallen = True
            self.die()

    def die(self) -> None:
        """Simulate the end of its process: connections are reset, new ones refused."""
        if self.listener is not None:
            self.listener.close()
        if self.doors is not None:
            self.doors.close()
        for writer in list(self.open):
            writer.transport.abort()
        self.waiting.clear()
        self.busy = 0

    def cut_off(self) -> None:
        """Stop sending and receiving; connections stay open."""
        self.cut = True
        self.restored.clear()
        for writer in self.open:
            with contextlib.suppress(RuntimeError):
                writer.transport.pause_reading()  # type: ignore[attr-defined]

    def restore(self, reset: bool = False) -> None:
        """Be reachable again; open connections continue, or are reset."""
        self.cut = False
        self.restored.set()
        for writer in list(self.open):
            if reset:
                writer.transport.abort()
            else:
                with contextlib.suppress(RuntimeError):
                    writer.transport.resume_reading()  # type: ignore[attr-defined]

    async def serve(
        self, stream: asyncio.StreamReader, writer: asyncio.StreamWriter, gateway: int = -1
    ) -> None:
        """Serve one connection, one command at a time."""
        self.open.add(writer)
        reader = Reader(stream)
        try:
            if self.cut:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                await self.restored.wait()
            while True:
                words = await reader.command()
                if self.doors is not None:
                    await self.doors.apply_fault(gateway, writer)
                done: list[bool] = []
                reply = await self.answer(
                    words,
                    str(gateway) if gateway >= 0 else "",
                    lambda done=done: not done and waited_for(writer),
                )
                if self.cut:
                    await self.restored.wait()
                if self.doors is not None:
                    await self.doors.unblocked[gateway].wait()
                done.append(True)
                writer.write(reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.transport.abort()

    async def answer(self, words: list[bytes], gateway: str, live: Callable[[], bool]) -> bytes:
        """Execute one command; returns the reply."""
        if words[0].upper() == b"PING":
            return b"+PONG\r\n"
        if words[0].upper() not in (b"API.READ", b"API.WRITE"):
            return b"-ERR unknown command\r\n"
        work = self.work_of()
        self.seen(Arrival(time.time(), self.model.name, int(words[1], 16), int(words[2], 16), gateway, live))
        self.weigh(work)
        if self.fallen or len(self.waiting) >= self.model.queue:
            return b"-BUSY\r\n"
        began = time.monotonic()
        if self.busy >= self.model.cores:
            mine = Waiting(work, asyncio.get_running_loop().create_future())
            self.waiting.append(mine)
            await mine.start
        self.busy += 1
        try:
            started = time.monotonic()
            await asyncio.sleep(work * self.slow / (self.model.speed * self.warmth()))
        finally:
            self.busy -= 1
            while self.waiting and self.busy < self.model.cores:
                nextone = self.waiting.popleft()
                if not nextone.start.done():
                    nextone.start.set_result(None)
                    break
        now = time.monotonic()
        self.latency += 0.1 * (now - started - self.latency)
        self.answered.append(now)
        while self.answered and self.answered[0] < now - 1:
            self.answered.popleft()
        load = b"latency_ms=%d,qps=%d" % (self.latency * 1000, len(self.answered))
        value = b"done %b after %d ms" % (words[2], (now - began) * 1000)
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(load), load)


def work_drawer(chance: random.Random, mean: float, cv: float) -> Callable[[], float]:
    """Draw work from a gamma distribution with that mean and coefficient of variation."""
    shape = 1 / cv**2
    return lambda: max(0.005, chance.gammavariate(shape, mean / shape))
