"""The clients of a soak run: closed loops with pipelines, and clients that leave, stop or do not read."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import sys
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ...net.resp import MAX_INLINE_VALUE
from .plan import Behaviour, Plan
from .processes import Gateways, SoakGateway
from .records import Effect, SoakConnection, SoakRecord, SoakRequest
from .services import is_filled

RECONNECT_PAUSE = 0.05  # s after a refused connection
REJECTION_PAUSE = 0.02  # s after a rejection
UNANSWERED_TIMEOUT = 8.0  # s after which a client gives up on a connection; longer than any answer may take
SHORT_TIMEOUT = (0.1, 0.5)  # s; the range of the short timeouts of some requests
SHORT_TIMEOUT_SHARE = 0.2
CONNECTION_BATCHES = (1, 60)  # how often a client sends on one connection before it closes
STAY_TIME = 2.8  # s for which a client that stopped midway stays; the gateway ends it within 3 s
MAX_LONG_BODY = 200_000  # bytes
RECORDED_BYTES = 100  # of a long answer
CROWD_PING_INTERVAL = 0.8  # s
TCP_ESTABLISHED, TCP_STATE_SIZE = 1, 8  # of the kernel's struct tcp_info, whose first byte is the state
RESET = struct.pack("@ii", 1, 0)  # SO_LINGER that makes a close reset the connection


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class of the soak's settings."""

    name: str
    effect: Effect
    timeout: float  # s, its deadline


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """A plan of the soak's customers: the quota over all gateways, in units and units/s."""

    name: str
    rate: float
    burst: float


CLASSES = (
    RequestClass("look", Effect.IDEMPOTENT, 1.5),
    RequestClass("note", Effect.IDEMPOTENCY_KEY, 2.0),
    RequestClass("pay", Effect.NOT_IDEMPOTENT, 1.5),
)
METERED, OPEN = SoakPlan("metered", 8.0, 12.0), SoakPlan("open", 5000.0, 5000.0)
METERED_CUSTOMERS, OPEN_CUSTOMERS = range(100, 104), range(200, 206)


class ProtocolError(Exception):
    """The gateway sent something that is no answer."""


def shorten(answer: bytes, request: SoakRequest) -> bytes:
    """Return the beginning of an answer; one whose value is not as it was made does not name its request."""
    if len(answer) <= MAX_INLINE_VALUE:
        return answer
    first_line, _, value = answer.partition(b"\r\n")
    if is_filled(value[:-2], b"%016x" % request.id) and value.endswith(b"\r\n"):
        return answer[:RECORDED_BYTES]
    return first_line + b" spoilt"


class Connection:
    """One connection of a client, and its record."""

    def __init__(
        self, record: SoakConnection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.record, self.reader, self.writer = record, reader, writer

    async def read_answer(self, on_long_answer: Callable[[], None] = lambda: None) -> bytes:
        """Read one answer; raises `EOFError` if the connection ends before it.

        `on_long_answer` is called at the first line of a long one.
        """
        try:
            first_line = await self.reader.readuntil(b"\r\n")
            if first_line[:1] == b"$":
                size = int(first_line[1:-2])
                if size > MAX_INLINE_VALUE:
                    on_long_answer()
                return first_line + (await self.reader.readexactly(size + 2))
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise EOFError from error
        if first_line[:1] not in b"+-":
            raise ProtocolError(first_line[:40])
        return first_line

    def is_open(self) -> bool:
        """Return whether the client's socket has seen no end of the connection."""
        handle = self.writer.get_extra_info("socket")
        try:
            info = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_STATE_SIZE)
        except OSError:
            return False
        return bool(info[0] == TCP_ESTABLISHED)

    def reset(self) -> None:
        """Reset the connection."""
        handle = self.writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.writer.transport.abort()


class Clients:
    """All clients of a run."""

    def __init__(
        self, plan: Plan, record: SoakRecord, gateways: Gateways, clock: Callable[[], float]
    ) -> None:
        self.plan, self.record, self.gateways, self.clock = plan, record, gateways, clock
        self.last_id = 1 << 40
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all clients, and the crowd if there is one."""
        for number in range(self.plan.client_count):
            rng = random.Random(f"client {number} {self.plan.seed}")
            self.tasks.append(asyncio.ensure_future(self.run_client(rng)))
        for number in range(self.plan.crowd):
            rng = random.Random(f"crowd {number} {self.plan.seed}")
            self.tasks.append(asyncio.ensure_future(self.run_idle_client(rng)))

    async def stop(self) -> None:
        """Stop all clients; their connections are closed. Raises what a client failed with, if one did."""
        for task in self.tasks:
            task.cancel()
        for result in await asyncio.gather(*self.tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    def choose_gateway(self, rng: random.Random) -> SoakGateway | None:
        """Choose a gateway that accepts connections."""
        accepting = [gateway for gateway in self.gateways.gateways if gateway.is_accepting]
        return rng.choice(accepting) if accepting else None

    async def connect(self, rng: random.Random, is_prompt: bool) -> tuple[Connection, SoakConnection] | None:
        """Connect to some gateway; None if that fails."""
        gateway = self.choose_gateway(rng)
        if gateway is None:
            return None
        opened_at = self.clock()
        try:
            reader, writer = await asyncio.open_connection(gateway.address[0], int(gateway.address[1]))
        except OSError:
            return None
        record = SoakConnection(gateway.number, opened_at, is_prompt)
        return Connection(record, reader, writer), record

    async def run_client(self, rng: random.Random) -> None:
        """Open one connection after another until cancelled."""
        while True:
            behaviour = rng.choice(self.plan.behaviours)
            opened = await self.connect(rng, is_prompt=behaviour is not Behaviour.NEVER_READ)
            if opened is None:
                await asyncio.sleep(RECONNECT_PAUSE)
                continue
            connection, record = opened
            self.record.connections.append(record)
            try:
                await self.use(connection, behaviour, rng)
            except (EOFError, OSError):  # ENOTCONN too, from a half-close after the gateway's reset
                record.closed_at = self.clock()
            except asyncio.CancelledError:
                record.left_at = record.left_at or self.clock()
                raise
            finally:
                connection.writer.transport.abort()

    async def use(self, connection: Connection, behaviour: Behaviour, rng: random.Random) -> None:
        """Use a connection until the client leaves; raises `EOFError` when the gateway closes it."""
        for _ in range(self.draw_batches(behaviour, rng)):
            if await self.exchange_batch(connection, rng):
                await asyncio.sleep(REJECTION_PAUSE)
            await asyncio.sleep(self.plan.pause * rng.uniform(0.5, 1.5))
        match behaviour:
            case Behaviour.NORMAL:
                connection.record.left_at = self.clock()
            case Behaviour.HALF_CLOSE:
                await self.half_close(connection, rng)
            case Behaviour.LEAVE | Behaviour.RESET:
                await self.leave(connection, behaviour, rng)
            case Behaviour.STOP_MIDWAY:
                connection.writer.write(b"*5\r\n$8\r\nAPI.RE")
                await self.read_to_end(connection, STAY_TIME + 1)
            case Behaviour.NEVER_READ:
                await self.never_read(connection, rng)

    def draw_batches(self, behaviour: Behaviour, rng: random.Random) -> int:
        """Return how often a client sends on a connection before it does what its behaviour says."""
        if behaviour is Behaviour.NEVER_READ:
            return 0
        count = rng.randint(*CONNECTION_BATCHES)
        return sys.maxsize if self.plan.keeps_connections and behaviour is Behaviour.NORMAL else count

    async def half_close(self, connection: Connection, rng: random.Random) -> None:
        """Send the FIN right after some requests, and read their answers."""
        self.send_batch(connection, rng)
        connection.writer.write_eof()
        connection.record.left_at = self.clock()
        await self.read_answers(connection)
        await self.read_to_end(connection, UNANSWERED_TIMEOUT)

    async def leave(self, connection: Connection, behaviour: Behaviour, rng: random.Random) -> None:
        """Close or reset while requests are open."""
        connection.record.reads_to_end = connection.record.is_prompt = False
        self.send_batch(connection, rng)
        await asyncio.sleep(rng.uniform(0, 0.05))
        connection.record.left_at = self.clock()
        if behaviour is Behaviour.RESET:
            connection.reset()
        connection.writer.transport.abort()

    async def never_read(self, connection: Connection, rng: random.Random) -> None:
        """Send some requests, read nothing for a while, and leave."""
        connection.record.reads_to_end = False
        connection.writer.transport.pause_reading()  # type: ignore[attr-defined]
        for _ in range(rng.randint(1, 5)):
            self.send_batch(connection, rng)
            await asyncio.sleep(0.2)
        await asyncio.sleep(rng.uniform(0, 4))
        connection.record.left_at = self.clock()

    async def exchange_batch(self, connection: Connection, rng: random.Random) -> bool:
        """Send some requests and read their answers; return whether one was rejected."""
        self.send_batch(connection, rng)
        return await self.read_answers(connection)

    def send_batch(self, connection: Connection, rng: random.Random) -> None:
        """Send as many requests at once as the plan says."""
        commands = b"".join(self.make_request(connection, rng) for _ in range(self.plan.pipeline))
        was_open = connection.is_open()
        for request in connection.record.requests[-self.plan.pipeline :]:
            request.was_open = was_open
        connection.writer.write(commands)

    def make_request(self, connection: Connection, rng: random.Random) -> bytes:
        """Record a new request, and return its command."""
        self.last_id += 1
        request_class = rng.choice(CLASSES)
        is_metered = rng.random() < 0.3
        plan = METERED if is_metered else OPEN
        customer = rng.choice(METERED_CUSTOMERS if is_metered else OPEN_CUSTOMERS)
        timeout = request_class.timeout
        if rng.random() < SHORT_TIMEOUT_SHARE:
            timeout = round(rng.uniform(*SHORT_TIMEOUT), 3)
        connection.record.requests.append(
            SoakRequest(self.last_id, customer, request_class.effect, self.clock(), timeout)
        )
        key = f",k={self.last_id:016x}" if request_class.effect is Effect.IDEMPOTENCY_KEY else ""
        parameters = (
            f"c={request_class.name},t={plan.name},d={round(timeout * 1000)}{key},units=1,"
            f"spread={self.plan.gateway_count},first=0"
        )
        is_read = request_class.effect is Effect.IDEMPOTENT
        arguments = [
            b"API.READ" if is_read else b"API.WRITE",
            b"%016x" % customer,
            b"%016x" % self.last_id,
            parameters.encode(),
            *([] if is_read else [self.make_body(rng)]),
        ]
        return b"*%d\r\n%b" % (len(arguments), b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in arguments))

    def make_body(self, rng: random.Random) -> bytes:
        """Return the value of a request, which may be a long one."""
        if rng.random() >= self.plan.long_values.requests:
            return b"body"
        return bytes(rng.randint(MAX_INLINE_VALUE + 1, MAX_LONG_BODY))

    async def read_answers(self, connection: Connection) -> bool:
        """Read the answers of all open requests; return whether one was rejected."""
        was_rejected = False
        for request in connection.record.requests:
            if request.answered_at is not None:
                continue
            try:
                async with asyncio.timeout(UNANSWERED_TIMEOUT):
                    answer = await connection.read_answer(partial(self.record_begin, request))
            except TimeoutError:
                connection.record.closed_at = self.clock()  # counts as unanswered while open
                raise EOFError from None
            request.answered_at, request.answer = self.clock(), shorten(answer, request)
            was_rejected |= answer.startswith(b"-BUSY")
        return was_rejected

    def record_begin(self, request: SoakRequest) -> None:
        """Record that a long answer has begun."""
        request.begun_at = self.clock()

    async def read_to_end(self, connection: Connection, seconds: float) -> None:
        """Read until the gateway closes; an answer that no request waits for is recorded."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                answer = await connection.read_answer()
                if not answer.startswith(b"-ERR"):
                    connection.record.has_answer_without_request = True

    async def run_idle_client(self, rng: random.Random) -> None:
        """Keep a connection open with a PING now and then, and reconnect when it is closed."""
        while True:
            opened = await self.connect(rng, is_prompt=True)
            await asyncio.sleep(rng.uniform(RECONNECT_PAUSE, CROWD_PING_INTERVAL))
            if opened is None:
                continue
            connection, _ = opened
            try:
                while True:
                    connection.writer.write(b"*1\r\n$4\r\nPING\r\n")
                    if not (await connection.read_answer()).startswith(b"+PONG"):
                        break
                    await asyncio.sleep(CROWD_PING_INTERVAL)
            except (EOFError, ConnectionError):
                pass
            finally:
                connection.writer.transport.abort()
