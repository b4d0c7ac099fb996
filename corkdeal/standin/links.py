"""Fault injection on the network of a tier: datagrams between gateways, TCP from gateways to fake services.

Each gateway is configured with the address of a link in place of each peer's. The link forwards a datagram
from the address at which the receiver knows the sender, so the gateway runs unmodified. A fake service (a
backend or discovery) listens on one port per gateway, called a door, so that connections can be counted and
disturbed per gateway without the latency of a proxy.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any

Address = tuple[str, int]
TIMESTAMP = 35  # SO_TIMESTAMPNS: the kernel reports when a datagram arrived
SPEC = struct.Struct("@qq")
READ_MOST = 64  # datagrams per socket in one event-loop iteration
REORDER_S = 0.05  # s by which a datagram is held back so that later ones overtake it
KEPT_DELAYS = 200_000  # samples of the delay that the links themselves add


def text(at: Address) -> str:
    """Format an address as in the configuration."""
    return f"{at[0]}:{at[1]}"


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault of the datagrams from one gateway to another; fractions are probabilities per datagram."""

    loss: float = 0.0
    delay: float = 0.0  # s
    jitter: float = 0.0  # s, maximum of a uniform distribution
    reorder: float = 0.0
    double: float = 0.0  # duplication
    cut: bool = False

    def __add__(self, other: Fault) -> Fault:
        """Combine two faults that are active at the same time."""
        return Fault(
            1 - (1 - self.loss) * (1 - other.loss),
            self.delay + other.delay,
            self.jitter + other.jitter,
            1 - (1 - self.reorder) * (1 - other.reorder),
            1 - (1 - self.double) * (1 - other.double),
            self.cut or other.cut,
        )


CLEAR = Fault()


class Links:
    """All datagram links of a tier, served in the caller's event loop."""

    def __init__(self, gateways: list[str], chance: random.Random) -> None:
        """`gateways` are the addresses at which the gateways receive datagrams."""
        self.at = [(host, int(port)) for host, _, port in (g.rpartition(":") for g in gateways)]
        self.chance = chance
        self.sockets: dict[tuple[int, int], socket.socket] = {}  # where a sender reaches a receiver
        self.active: dict[int, tuple[frozenset[tuple[int, int]], Fault]] = {}
        self.now: dict[tuple[int, int], Fault] = {}  # the combined faults of each direction
        self.number = 0
        self.carried: Counter[str] = Counter()
        self.sent: Counter[int] = Counter()  # datagrams by sender
        self.delays: list[float] = []  # s from arrival to forwarding, of datagrams that no fault delays
        self.heard: Callable[[int, int, bool], None] = lambda sender, to, lost: None

    async def start(self) -> None:
        """Open the sockets of all links."""
        loop = asyncio.get_running_loop()
        for i in range(len(self.at)):
            for j in range(len(self.at)):
                if i != j:
                    s = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    s.setblocking(False)
                    s.setsockopt(socket.SOL_SOCKET, TIMESTAMP, 1)
                    s.bind(("127.0.0.1", 0))
                    self.sockets[i, j] = s
                    loop.add_reader(s, self.take, i, j, s)

    def peers_of(self, gateway: int) -> list[str]:
        """The value of `peers` in the configuration of that gateway."""
        return [
            text(at) if j == gateway else text(self.sockets[gateway, j].getsockname())
            for j, at in enumerate(self.at)
        ]

    def put(self, pairs: Iterable[tuple[int, int]], fault: Fault) -> int:
        """Start a fault in those directions; returns its number for `lift`."""
        self.number += 1
        self.active[self.number] = frozenset(pairs), fault
        self.settle()
        return self.number

    def lift(self, number: int) -> None:
        """End a fault; others on the same links stay active."""
        self.active.pop(number, None)
        self.settle()

    def settle(self) -> None:
        """Recompute the combined faults."""
        self.now = {}
        for pairs, fault in self.active.values():
            for pair in pairs:
                self.now[pair] = self.now.get(pair, CLEAR) + fault

    def take(self, i: int, j: int, s: socket.socket) -> None:
        """Receive datagrams that gateway i sent to j."""
        for _ in range(READ_MOST):
            try:
                data, extra, _, sender = s.recvmsg(2048, 64)
            except (BlockingIOError, ConnectionError):
                return
            if sender != self.at[i]:  # spoofed: only gateway i may send here
                self.carried["from a stranger"] += 1
                continue
            self.sent[i] += 1
            arrived = time.time()
            for level, kind, value in extra:
                if level == socket.SOL_SOCKET and kind == TIMESTAMP:
                    seconds, nanos = SPEC.unpack(value[: SPEC.size])
                    arrived = seconds + nanos / 1e9
            self.carry(i, j, data, arrived)

    def carry(self, i: int, j: int, data: bytes, arrived: float) -> None:
        """Drop, delay, duplicate or forward one datagram."""
        fault = self.now.get((i, j))
        if fault is None:
            return self.pass_on(i, j, data, arrived)
        if fault.cut or self.chance.random() < fault.loss:
            self.carried["cut" if fault.cut else "lost"] += 1
            return self.heard(i, j, True)
        for _ in range(1 + (self.chance.random() < fault.double)):
            wait = fault.delay + fault.jitter * self.chance.random()
            if self.chance.random() < fault.reorder:
                wait += REORDER_S
                self.carried["reordered"] += 1
            if wait:
                asyncio.get_running_loop().call_later(wait, self.pass_on, i, j, data, None)
            else:
                self.pass_on(i, j, data, arrived)

    def pass_on(self, i: int, j: int, data: bytes, arrived: float | None) -> None:
        """Forward a datagram from the address at which j knows i."""
        if not (back := self.sockets.get((j, i))):
            return  # the links have been closed
        with contextlib.suppress(OSError):  # dropped when the send buffer is full, as a network may
            back.sendto(data, self.at[j])
        self.carried["carried"] += 1
        if arrived is not None and len(self.delays) < KEPT_DELAYS:
            self.delays.append(max(0.0, time.time() - arrived))
        self.heard(i, j, False)

    def close(self) -> None:
        """Close all links."""
        for s in self.sockets.values():
            asyncio.get_running_loop().remove_reader(s)
            s.close()
        self.sockets.clear()


@dataclass(slots=True, frozen=True)
class DoorFault:
    """A fault of the connections from one gateway to one service."""

    refuse: bool = False  # new connections are refused, open ones are reset
    silent: bool = False  # no data passes in either direction; connections stay open
    reset: float = 0.0  # probability per command that the connection is reset
    slow: float = 0.0  # s of delay per command


OPEN = DoorFault()
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]


def hold_port() -> socket.socket:
    """Reserve a port with a bound socket; SO_REUSEADDR still lets this process listen on it."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(("127.0.0.1", 0))
    return holder


class Doors:
    """The listeners of one service, one per gateway.

    The service calls `passage` for each command that it has read, and waits for `clear` before it replies.
    """

    def __init__(self, serve: Serve, chance: random.Random) -> None:
        self.serve, self.chance = serve, chance
        self.ports: list[int] = []
        self.holders: list[socket.socket] = []  # reserve the ports while a listener is closed
        self.listeners: list[Any] = []
        self.faults: list[DoorFault] = []
        self.clear: list[asyncio.Event] = []
        self.open: list[set[asyncio.StreamWriter]] = []
        self.connected: Callable[[int], None] = lambda gateway: None

    async def start(self, count: int) -> None:
        """Open one door per gateway."""
        for i in range(count):
            self.listeners.append(None)
            self.holders.append(hold_port())
            self.ports.append(self.holders[i].getsockname()[1])
            self.faults.append(OPEN)
            self.clear.append(asyncio.Event())
            self.clear[i].set()
            self.open.append(set())
            await self.listen(i)

    async def listen(self, gateway: int) -> None:
        """Listen on the reserved port of a gateway's door."""
        self.listeners[gateway] = await asyncio.start_server(
            partial(self.met, gateway), "127.0.0.1", self.ports[gateway], reuse_address=True
        )

    async def met(self, gateway: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Track one connection while the service serves it."""
        self.open[gateway].add(writer)
        self.connected(gateway)
        try:
            if self.faults[gateway].silent:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
            await self.serve(reader, writer, gateway)
        finally:
            self.open[gateway].discard(writer)

    async def passage(self, gateway: int, writer: asyncio.StreamWriter) -> None:
        """Apply the gateway's fault to a command; raises `ConnectionResetError` if that is a reset."""
        fault = self.faults[gateway]
        if fault.slow:
            await asyncio.sleep(fault.slow)
        if fault.reset and self.chance.random() < fault.reset:
            writer.transport.abort()
            raise ConnectionResetError
        await self.clear[gateway].wait()

    async def put(self, gateway: int, fault: DoorFault) -> None:
        """Start a fault at a gateway's door; `OPEN` ends it."""
        before, self.faults[gateway] = self.faults[gateway], fault
        for writer in list(self.open[gateway]):
            with contextlib.suppress(RuntimeError):
                if fault.silent and not before.silent:
                    writer.transport.pause_reading()  # type: ignore[attr-defined]
                elif before.silent and not fault.silent:
                    writer.transport.resume_reading()  # type: ignore[attr-defined]
        (self.clear[gateway].clear if fault.silent else self.clear[gateway].set)()
        if fault.refuse and not before.refuse:
            self.listeners[gateway].close()
            for writer in list(self.open[gateway]):
                writer.transport.abort()
        elif before.refuse and not fault.refuse:
            await self.listen(gateway)

    def close(self) -> None:
        """Close all doors and reset their connections."""
        for listener in self.listeners:
            listener.close()
        for holder in self.holders:
            holder.close()
        for each in self.open:
            for writer in list(each):
                writer.transport.abort()
