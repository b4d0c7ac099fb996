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
SO_TIMESTAMPNS = 35  # missing from `socket`; the kernel reports when a datagram arrived
TIMESPEC = struct.Struct("@qq")
MAX_DATAGRAMS_PER_READ = 64  # datagrams per socket in one event-loop iteration
REORDER_DELAY = 0.05  # s by which a datagram is held back so that later ones overtake it
MAX_DELAY_SAMPLES = 200_000  # samples of the delay that the links themselves add


def format_address(address: Address) -> str:
    """Format an address as in the configuration."""
    return f"{address[0]}:{address[1]}"


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault of the datagrams from one gateway to another; fractions are probabilities per datagram."""

    loss: float = 0.0
    delay: float = 0.0  # s
    jitter: float = 0.0  # s, maximum of a uniform distribution
    reorder: float = 0.0
    duplicate: float = 0.0
    cut: bool = False

    def __add__(self, other: Fault) -> Fault:
        """Combine two faults that are active at the same time."""
        return Fault(
            1 - (1 - self.loss) * (1 - other.loss),
            self.delay + other.delay,
            self.jitter + other.jitter,
            1 - (1 - self.reorder) * (1 - other.reorder),
            1 - (1 - self.duplicate) * (1 - other.duplicate),
            self.cut or other.cut,
        )


NO_FAULT = Fault()


class Links:
    """All datagram links of a tier, served in the caller's event loop."""

    def __init__(self, gateways: list[str], rng: random.Random) -> None:
        """`gateways` are the addresses at which the gateways receive datagrams."""
        self.addresses = [(host, int(port)) for host, _, port in (g.rpartition(":") for g in gateways)]
        self.rng = rng
        self.sockets: dict[tuple[int, int], socket.socket] = {}  # by sender and receiver
        self.active_faults: dict[int, tuple[frozenset[tuple[int, int]], Fault]] = {}
        self.combined_faults: dict[tuple[int, int], Fault] = {}  # the combined faults of each direction
        self.last_fault_id = 0
        self.counters: Counter[str] = Counter()
        self.sent: Counter[int] = Counter()  # datagrams by sender
        self.forwarding_delays: list[
            float
        ] = []  # s from arrival to forwarding, of datagrams that no fault delays
        self.on_datagram: Callable[[int, int, bool], None] = lambda sender, to, lost: None

    async def start(self) -> None:
        """Open the sockets of all links."""
        loop = asyncio.get_running_loop()
        for i in range(len(self.addresses)):
            for j in range(len(self.addresses)):
                if i != j:
                    s = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    s.setblocking(False)
                    s.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
                    s.bind(("127.0.0.1", 0))
                    self.sockets[i, j] = s
                    loop.add_reader(s, self.receive, i, j, s)

    def peers_of(self, gateway: int) -> list[str]:
        """The value of `peers` in the configuration of that gateway."""
        return [
            format_address(address)
            if j == gateway
            else format_address(self.sockets[gateway, j].getsockname())
            for j, address in enumerate(self.addresses)
        ]

    def start_fault(self, pairs: Iterable[tuple[int, int]], fault: Fault) -> int:
        """Start a fault in those directions; returns its number for `end_fault`."""
        self.last_fault_id += 1
        self.active_faults[self.last_fault_id] = frozenset(pairs), fault
        self.update_faults()
        return self.last_fault_id

    def end_fault(self, fault_id: int) -> None:
        """End a fault; others on the same links stay active."""
        self.active_faults.pop(fault_id, None)
        self.update_faults()

    def update_faults(self) -> None:
        """Recompute the combined faults."""
        self.combined_faults = {}
        for pairs, fault in self.active_faults.values():
            for pair in pairs:
                self.combined_faults[pair] = self.combined_faults.get(pair, NO_FAULT) + fault

    def receive(self, i: int, j: int, s: socket.socket) -> None:
        """Receive datagrams that gateway i sent to j."""
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, ancillary, _, sender = s.recvmsg(2048, 64)
            except (BlockingIOError, ConnectionError):
                return
            if sender != self.addresses[i]:  # spoofed: only gateway i may send here
                self.counters["from a stranger"] += 1
                continue
            self.sent[i] += 1
            arrived = time.time()
            for level, kind, value in ancillary:
                if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS:
                    seconds, nanos = TIMESPEC.unpack(value[: TIMESPEC.size])
                    arrived = seconds + nanos / 1e9
            self.apply_fault(i, j, data, arrived)

    def apply_fault(self, i: int, j: int, data: bytes, arrived: float) -> None:
        """Drop, delay, duplicate or forward one datagram."""
        fault = self.combined_faults.get((i, j))
        if fault is None:
            return self.forward(i, j, data, arrived)
        if fault.cut or self.rng.random() < fault.loss:
            self.counters["cut" if fault.cut else "lost"] += 1
            return self.on_datagram(i, j, True)
        for _ in range(1 + (self.rng.random() < fault.duplicate)):
            delay = fault.delay + fault.jitter * self.rng.random()
            if self.rng.random() < fault.reorder:
                delay += REORDER_DELAY
                self.counters["reordered"] += 1
            if delay:
                asyncio.get_running_loop().call_later(delay, self.forward, i, j, data, None)
            else:
                self.forward(i, j, data, arrived)

    def forward(self, i: int, j: int, data: bytes, arrived: float | None) -> None:
        """Forward a datagram from the address at which j knows i."""
        if not (source := self.sockets.get((j, i))):
            return  # the links have been closed
        with contextlib.suppress(OSError):  # dropped when the send buffer is full, as a network may
            source.sendto(data, self.addresses[j])
        self.counters["carried"] += 1
        if arrived is not None and len(self.forwarding_delays) < MAX_DELAY_SAMPLES:
            self.forwarding_delays.append(max(0.0, time.time() - arrived))
        self.on_datagram(i, j, False)

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
    delay: float = 0.0  # s of delay per command


NO_DOOR_FAULT = DoorFault()
ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]


def reserve_port() -> socket.socket:
    """Reserve a port with a bound socket; a listener with SO_REUSEADDR can still bind it."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved


class Doors:
    """The listeners of one service, one per gateway.

    The service calls `apply_fault` for each command that it has read, and waits for the gateway's event in
    `unblocked` before it replies.
    """

    def __init__(self, serve: ConnectionHandler, rng: random.Random) -> None:
        self.serve, self.rng = serve, rng
        self.ports: list[int] = []
        self.reserved_ports: list[socket.socket] = []  # reserve the ports while a listener is closed
        self.listeners: list[Any] = []
        self.faults: list[DoorFault] = []
        self.unblocked: list[asyncio.Event] = []  # cleared while a fault silences the gateway
        self.connections: list[set[asyncio.StreamWriter]] = []
        self.on_connection: Callable[[int], None] = lambda gateway: None

    async def start(self, count: int) -> None:
        """Open one door per gateway."""
        for i in range(count):
            self.listeners.append(None)
            self.reserved_ports.append(reserve_port())
            self.ports.append(self.reserved_ports[i].getsockname()[1])
            self.faults.append(NO_DOOR_FAULT)
            self.unblocked.append(asyncio.Event())
            self.unblocked[i].set()
            self.connections.append(set())
            await self.listen(i)

    async def listen(self, gateway: int) -> None:
        """Listen on the reserved port of a gateway's door."""
        self.listeners[gateway] = await asyncio.start_server(
            partial(self.handle_connection, gateway), "127.0.0.1", self.ports[gateway], reuse_address=True
        )

    async def handle_connection(
        self, gateway: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Track one connection while the service serves it."""
        self.connections[gateway].add(writer)
        self.on_connection(gateway)
        try:
            if self.faults[gateway].silent:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
            await self.serve(reader, writer, gateway)
        finally:
            self.connections[gateway].discard(writer)

    async def apply_fault(self, gateway: int, writer: asyncio.StreamWriter) -> None:
        """Apply the gateway's fault to a command; raises `ConnectionResetError` if that is a reset."""
        fault = self.faults[gateway]
        if fault.delay:
            await asyncio.sleep(fault.delay)
        if fault.reset and self.rng.random() < fault.reset:
            writer.transport.abort()
            raise ConnectionResetError
        await self.unblocked[gateway].wait()

    async def set_fault(self, gateway: int, fault: DoorFault) -> None:
        """Start a fault at a gateway's door; `NO_DOOR_FAULT` ends it."""
        previous, self.faults[gateway] = self.faults[gateway], fault
        for writer in list(self.connections[gateway]):
            with contextlib.suppress(RuntimeError):
                if fault.silent and not previous.silent:
                    writer.transport.pause_reading()  # type: ignore[attr-defined]
                elif previous.silent and not fault.silent:
                    writer.transport.resume_reading()  # type: ignore[attr-defined]
        (self.unblocked[gateway].clear if fault.silent else self.unblocked[gateway].set)()
        if fault.refuse and not previous.refuse:
            self.listeners[gateway].close()
            for writer in list(self.connections[gateway]):
                writer.transport.abort()
        elif previous.refuse and not fault.refuse:
            await self.listen(gateway)

    def close(self) -> None:
        """Close all doors and reset their connections."""
        for listener in self.listeners:
            listener.close()
        for reserved in self.reserved_ports:
            reserved.close()
        for connections in self.connections:
            for writer in list(connections):
                writer.transport.abort()
