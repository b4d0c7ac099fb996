"""The fake backends and discovery of a soak run, with the faults that the plan draws."""

from __future__ import annotations

import asyncio
import enum
import math
import random
import time
from collections.abc import Callable
from typing import Any

from ...net.resp import MAX_INLINE_VALUE
from ...standin.backends import Arrival, BackendModel, FakeBackend, gamma_work
from ...standin.discovery import Discovery
from ...standin.fleet import ZONES
from ...standin.history import BackendAttempt, SentList
from .plan import BackendFaults, LongValues, Plan, PlannedServiceEvent, ServiceEvent
from .records import SoakAttempt, SoakRecord

MEAN_WORK = 0.01  # s of a request
MAX_LATE = 1.5  # s by which a late answer is delayed at most
HANG_TIME = 10.0  # s for which a hanging backend keeps a request
PIECE_PAUSE = 0.01  # s between the pieces of an answer
ID_DIGITS = 16  # of a request's id
MAX_LONG_VALUE = 1 << 20  # bytes
WARM_UP_TIME = 4.0  # s
REMOVAL_DELAY = 0.3  # s after the end of a backend until the list has it no more
SLOW_ANSWER = 0.4  # s by which a slow discovery answers late


class BreakOff(enum.Enum):
    """How a long answer breaks off after a part of it."""

    RESET = "the connection is reset"
    CLOSE = "the connection is closed"
    STALL = "nothing more is sent"
    MALFORMED = "other bytes follow"


class PiecewiseWriter:
    """Sends what is written to a stream in pieces, one after another, or breaks off within a long answer."""

    def __init__(self, writer: asyncio.StreamWriter, backend: FaultyBackend) -> None:
        self.writer, self.backend, self.rng = writer, backend, backend.rng

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the stream."""
        return getattr(self.writer, name)

    def write(self, data: bytes) -> None:
        """Write at once, or with the drawn probability in two pieces."""
        is_in_pieces = self.rng.random() < self.backend.faults.in_pieces
        is_long = len(data) > MAX_INLINE_VALUE
        is_broken = is_long and self.rng.random() < self.backend.long_values.broken_answers
        if not (is_in_pieces or is_broken):
            return self.writer.write(data)
        cut = self.rng.randrange(1, len(data))
        self.writer.write(data[:cut])
        call_later = asyncio.get_running_loop().call_later
        if not is_broken:
            call_later(PIECE_PAUSE, self._write_rest, data[cut:])
            return
        self.backend.on_broken(request_of(data))
        call_later(PIECE_PAUSE, self._break_off)

    def _write_rest(self, data: bytes) -> None:
        if not self.writer.is_closing():
            self.writer.write(data)

    def _break_off(self) -> None:
        match self.rng.choice(list(BreakOff)):
            case BreakOff.RESET:
                self.writer.transport.abort()
            case BreakOff.CLOSE:
                self.writer.close()
            case BreakOff.MALFORMED:
                self._write_rest(b"-" * MAX_LONG_VALUE)
            case BreakOff.STALL:
                pass


class FaultyBackend(FakeBackend):
    """A fake backend that hangs, resets, answers late or in pieces, or refuses, by drawn probabilities."""

    faults: BackendFaults
    long_values: LongValues
    rng: random.Random
    on_refused: Callable[[int, str], None]
    on_broken: Callable[[int], None]

    async def serve(
        self, stream: asyncio.StreamReader, writer: asyncio.StreamWriter, gateway: int = -1
    ) -> None:
        """Serve one connection."""
        piecewise: Any = PiecewiseWriter(writer, self)
        await super().serve(stream, piecewise, gateway)

    async def answer(self, arguments: list[bytes], gateway: str, is_open: Callable[[], bool]) -> bytes:
        """Execute one command, or show a fault instead."""
        if arguments[0].upper() not in (b"API.READ", b"API.WRITE"):
            return await super().answer(arguments, gateway, is_open)
        draw, request = self.rng.random(), int(arguments[2], 16)
        faults = self.faults
        if draw < faults.hang + faults.reset + faults.refuse:
            customer = int(arguments[1], 16)
            self.on_arrival(Arrival(time.time(), self.model.name, customer, request, gateway, is_open))
            return await self._fail(draw, request)
        reply = await super().answer(arguments, gateway, is_open)
        if reply.startswith(b"-BUSY"):
            self.on_refused(request, self.model.name)
        elif self.rng.random() < faults.late:
            await asyncio.sleep(self.rng.uniform(0, MAX_LATE))
        return reply

    def make_value(self, arguments: list[bytes], elapsed: float) -> bytes:
        """Return the value of a reply; a long one is filled with its request's id."""
        value = super().make_value(arguments, elapsed)
        if self.rng.random() >= self.long_values.answers:
            return value
        size = int(math.exp(self.rng.uniform(math.log(MAX_INLINE_VALUE), math.log(MAX_LONG_VALUE))))
        return fill_value(value, arguments[2], size)

    async def _fail(self, draw: float, request: int) -> bytes:
        """Hang, reset the connection or refuse."""
        if draw < self.faults.hang:
            await asyncio.sleep(HANG_TIME)
            raise ConnectionResetError
        if draw < self.faults.hang + self.faults.reset:
            await asyncio.sleep(self.rng.uniform(0, 0.05))
            raise ConnectionResetError
        self.on_refused(request, self.model.name)
        return b"-BUSY\r\n"


def fill_value(value: bytes, request_id: bytes, size: int) -> bytes:
    """Return a value that begins with `value`, filled to over `size` bytes with a request's id."""
    return b"%b %b" % (value, request_id * (size // len(request_id) + 1))


def request_of(reply: bytes) -> int:
    """Return the id of the request that a reply of a fake backend names."""
    start = reply.index(b"done ") + len(b"done ")
    return int(reply[start : start + ID_DIGITS], 16)


def is_filled(value: bytes, request_id: bytes) -> bool:
    """Whether a long value is one that `fill_value` has made for this request, with no byte changed."""
    filling = value[value.find(b" ms ") + 4 :]
    return filling == request_id * (len(filling) // len(request_id))


class Services:
    """All backends and discovery of a run; each process of a gateway has a door of its own at all of them."""

    def __init__(self, plan: Plan, record: SoakRecord, clock: Callable[[], float], door_count: int) -> None:
        self.plan, self.record, self.clock, self.door_count = plan, record, clock, door_count
        self.rng = random.Random(f"services {plan.seed}")
        self.backends: list[FaultyBackend] = []
        self.draining: set[str] = set()
        self.open_attempts: dict[int, list[Arrival]] = {}
        self.created_count = 0
        self.discovery = Discovery(self.endpoints, self.record_sent_list)
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start discovery and the backends."""
        await self.discovery.start(self.door_count)
        for _ in range(self.plan.backend_count):
            await self.add_backend(is_cold=False)

    async def add_backend(self, is_cold: bool) -> None:
        """Start one backend; discovery lists it from its next answer on."""
        name = f"backend-{self.created_count}"
        model = BackendModel(
            name, ZONES[self.created_count % 3], cores=8, queue=80, cold_s=WARM_UP_TIME, fall_multiple=1e9
        )
        self.created_count += 1
        work = gamma_work(random.Random(f"{name} {self.plan.seed}"), MEAN_WORK, 0.5)
        backend = FaultyBackend(model, work, self.record_attempt)
        backend.long_values = self.plan.long_values
        backend.faults, backend.rng = self.plan.faults, random.Random(f"faults {name} {self.plan.seed}")
        backend.on_refused = self.record_refusal
        backend.on_broken = self.record.broken_answers.add
        backend.up_since = time.time() if is_cold else 0.0
        await backend.start(gateways=self.door_count)
        self.backends.append(backend)

    def endpoints(self, door: int) -> list[dict[str, Any]]:
        """Return the endpoint list for one process."""
        return [
            backend.entry("Terminating" if backend.model.name in self.draining else "Ready", door)
            for backend in self.backends
        ]

    def record_sent_list(self, door: int, endpoints: list[dict[str, Any]]) -> None:
        """Record the endpoint list that a process was sent."""
        ready = frozenset(entry["id"] for entry in endpoints if entry["phase"] == "Ready")
        self.record.history.sent_lists[door].append(SentList(self.clock(), ready))

    def record_attempt(self, arrival: Arrival) -> None:
        """Record an attempt, and the backend of another open attempt of the same request."""
        others = self.open_attempts.setdefault(arrival.request, [])
        concurrent = next((other.server for other in others if other.is_open()), "")
        others.append(arrival)
        at = self.clock()
        self.record.attempts.append(SoakAttempt(at, arrival.request, arrival.server))
        self.record.history.attempts.append(
            BackendAttempt(
                at, arrival.server, int(arrival.gateway), arrival.request, arrival.customer, concurrent
            )
        )

    def record_refusal(self, request: int, backend: str) -> None:
        """Record that a backend refused the latest attempt of a request there."""
        for attempt in reversed(self.record.attempts):
            if attempt.request == request and attempt.backend == backend:
                attempt.is_refused = True
                return

    async def run_events(self) -> None:
        """Carry out the planned events at their times."""
        for event in self.plan.service_events:
            await asyncio.sleep(max(0.0, event.at - self.clock()))
            self.tasks.append(asyncio.ensure_future(self.carry_out(event)))

    async def carry_out(self, event: PlannedServiceEvent) -> None:
        """Carry out one event, to its end."""
        match event.kind:
            case ServiceEvent.DRAIN:
                await self.drain_backend(event.duration)
            case ServiceEvent.VANISH:
                await self.end_backend(self.choose_backend())
            case ServiceEvent.JOIN:
                await self.add_backend(is_cold=True)
                await self.discovery.publish()
            case ServiceEvent.DISCOVERY_SILENT:
                await self.silence_discovery(event.duration)
            case ServiceEvent.DISCOVERY_SLOW:
                self.discovery.response_delays = dict.fromkeys(range(self.door_count), SLOW_ANSWER)
                await asyncio.sleep(event.duration)
                self.discovery.response_delays = {}
            case ServiceEvent.DISCOVERY_CUT:
                self.discovery.responses_to_cut += self.rng.randint(1, 4)
                await self.discovery.publish()

    def choose_backend(self) -> FaultyBackend | None:
        """Choose one that serves, if two others do."""
        serving = [backend for backend in self.backends if backend.model.name not in self.draining]
        return self.rng.choice(serving) if len(serving) > 2 else None

    async def drain_backend(self, duration: float) -> None:
        """Have one backend drain, and end it later."""
        backend = self.choose_backend()
        if backend is not None:
            self.draining.add(backend.model.name)
            await self.discovery.publish()
            await asyncio.sleep(duration)
            await self.end_backend(backend)

    async def end_backend(self, backend: FaultyBackend | None) -> None:
        """End a backend, and remove it from the list a little later."""
        if backend is None or backend not in self.backends:
            return
        backend.crash()
        self.record.backend_ends.append(self.clock())
        self.draining.add(backend.model.name)  # so that no other event chooses it
        await asyncio.sleep(REMOVAL_DELAY)
        self.backends.remove(backend)
        await self.discovery.publish()

    async def silence_discovery(self, duration: float) -> None:
        """Have discovery answer no call for a while; the calls of that time never get an answer."""
        self.discovery.silent = True
        await asyncio.sleep(duration)
        self.discovery.silent = False

    def close(self) -> None:
        """End everything."""
        for task in self.tasks:
            task.cancel()
        for backend in self.backends:
            backend.crash()
        self.discovery.close()
