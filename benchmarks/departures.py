"""Counts attempts that gateways start after the client has disconnected, optionally against another revision.

PYTHONPATH=. python -O benchmarks/departures.py [--gateways 3] [--departures 1000] [--revision NAME]
    [--out FILE] [--against CHECKOUT --against-revision NAME]

Starts gateway processes and six fake backends. Each client sends one request on its own connection and
disconnects after a random time, by a close (FIN) or a reset, some of them in bursts. Meanwhile requests are
made to wait: part of the time two backends accept requests without replying, so that they are retried, and
part of the time discovery lists no backend, so that they are queued. A request is late if an attempt reaches
a backend more than LATE_AFTER seconds after its client disconnected. Delays of this process count against the
gateways; `own_delay_s` is the longest delay of its event loop. Clients that wait for the reply, or that
half-close (shutdown of the sending side) at once or later, are counted by the kind of reply: "$" is a served
request, "" a connection closed without a reply.

`--out` appends rows to a JSON file. Run one instance at a time, and 40 gateways (40 processes) only on an
otherwise idle machine.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import random
import socket
import struct
import tempfile
import time
from collections import Counter
from typing import Any

from corkdeal.standin.backends import Arrival, BackendModel, FakeBackend, gamma_work
from corkdeal.standin.discovery import Discovery
from corkdeal.standin.fleet import create_gateways

LATE_AFTER = 0.1  # s after a disconnect, from which on an attempt of that client counts as late
GATEWAYS, BACKENDS = 3, 6
START_AT_ONCE = 4  # gateways started concurrently
CLIENT_EVERY, MAX_STAY = 0.02, 0.5  # s between clients; longest s that one stays connected
REPLY_TIMEOUT = 10.0  # s that clients wait for a reply at the end of a run
LOOP_SAMPLE_EVERY = 0.005  # s between samples of this process's event-loop delay
# s from an empty endpoint list to the next hang of two backends; length of the empty list; of the hang
FAULT_INTERVAL, EMPTY_FOR, HANG_FOR = 1.5, 0.6, 0.7
PLANS = [{"name": "open", "quota_rate": 100_000, "store_size": 100_000}]


def encode_request(rid: int, write: bool, gateway: int) -> bytes:
    """Encodes a request of a separate customer, whose only gateway is the given one."""
    params = f"c={'solve-record' if write else 'board-load'},t=open,d=4000,units=1,spread=1,first={gateway}"
    params += f",k={rid:016x}" if write else ""
    arguments = [b"API.WRITE" if write else b"API.READ", b"%016x" % rid, b"%016x" % rid, params.encode()]
    arguments += [b"stars"] if write else []
    return b"*%d\r\n%b" % (len(arguments), b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in arguments))


class ClientConnection:
    """A client's connection with one request, on a plain socket that closes at once when asked to."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    @classmethod
    async def open(cls, gateway: Any, rid: int) -> ClientConnection:
        """Connects and sends the request."""
        loop, (host, port) = asyncio.get_running_loop(), gateway.listen.split(":")
        sock = socket.socket()
        sock.setblocking(False)
        await loop.sock_connect(sock, (host, int(port)))
        await loop.sock_sendall(sock, encode_request(rid, rid % 2 == 1, gateway.number))
        return cls(sock)

    async def reply_kind(self) -> str:
        """Waits for the reply and returns the start of its first line without digits."""
        try:
            data = await asyncio.get_running_loop().sock_recv(self.sock, 4096)
        except ConnectionError:
            data = b""
        return data.partition(b"\r\n")[0][:5].decode().strip("0123456789 ")

    def disconnect(self, reset: bool) -> float:
        """Closes or resets the connection; returns the wall time."""
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        closed_at = time.time()
        self.sock.close()
        return closed_at

    def half_close(self) -> float:
        """Shuts down the sending side; returns the wall time."""
        closed_at = time.time()
        self.sock.shutdown(socket.SHUT_WR)
        return closed_at


class BenchmarkRun:
    """One run of one revision."""

    def __init__(self, seed: int, departures: int, gateways: int, program: pathlib.Path | None) -> None:
        self.rng, self.departures, self.program = random.Random(seed), departures, program
        self.gateways = gateways
        self.disconnected_at: dict[int, float] = {}  # wall time of each disconnect, by request
        self.half_closed_at: dict[int, float] = {}  # wall time of each half-close, by request
        self.attempts_at: dict[int, list[float]] = {}
        self.reply_kinds: dict[str, Counter[str]] = {
            behaviour: Counter() for behaviour in ("stayed", "half_closed_at_once", "half_closed_later")
        }
        self.max_loop_delay = 0.0
        self.is_list_empty = False

    def record_attempt(self, arrival: Arrival) -> None:
        """Called when a backend has received a whole attempt."""
        self.attempts_at.setdefault(arrival.request, []).append(arrival.at)

    async def measure_loop_delay(self) -> None:
        """Records the longest delay of this process's event loop."""
        while True:
            due = time.monotonic() + LOOP_SAMPLE_EVERY
            await asyncio.sleep(LOOP_SAMPLE_EVERY)
            self.max_loop_delay = max(self.max_loop_delay, time.monotonic() - due)

    async def disconnecting_client(self, gateway: Any, rid: int, stay: float, reset: bool) -> None:
        """Sends a request and disconnects after `stay` seconds."""
        connection = await ClientConnection.open(gateway, rid)
        await asyncio.sleep(stay)
        self.disconnected_at[rid] = connection.disconnect(reset)

    async def reading_client(
        self, gateway: Any, rid: int, behaviour: str, half_close_after: float | None
    ) -> None:
        """Sends a request, half-closes after `half_close_after` seconds if given, and reads the reply."""
        connection = await ClientConnection.open(gateway, rid)
        if half_close_after is not None:
            await asyncio.sleep(half_close_after)
            self.half_closed_at[rid] = connection.half_close()
        self.reply_kinds[behaviour][await connection.reply_kind()] += 1
        connection.sock.close()

    async def inject_faults(self, discovery: Discovery, backends: list[FakeBackend]) -> None:
        """Makes requests wait: backends hang in turn, and the endpoint list is empty at times."""
        while True:
            hung_backends = self.rng.sample(backends, 2)
            for each in hung_backends:
                each.slow = 1000.0
            await asyncio.sleep(HANG_FOR)
            for each in hung_backends:
                each.slow = 1.0
            self.is_list_empty = True
            await discovery.publish()
            await asyncio.sleep(EMPTY_FOR)
            self.is_list_empty = False
            await discovery.publish()
            await asyncio.sleep(FAULT_INTERVAL - EMPTY_FOR)

    async def run(self) -> dict[str, Any]:
        """Starts discovery, backends and gateways, runs the clients, and returns the metrics."""
        models = [
            BackendModel(f"s{i}", "north-hall", cell=i % 2, cores=8, queue=4000, fall_multiple=1000.0)
            for i in range(BACKENDS)
        ]
        backends = [FakeBackend(m, gamma_work(self.rng, 0.15, 0.5), self.record_attempt) for m in models]
        for each in backends:
            await each.start()
        discovery = Discovery(lambda: [] if self.is_list_empty else [s.entry() for s in backends])
        await discovery.start()
        with tempfile.TemporaryDirectory() as folder:
            gateways = create_gateways(
                self.gateways, discovery.port, pathlib.Path(folder), PLANS, "recovery\n", self.program
            )
            for number, each in enumerate(gateways):
                each.config["settings"]["me"] = number
            tasks: list[asyncio.Task[None]] = []
            try:
                for first in range(0, len(gateways), START_AT_ONCE):
                    await asyncio.gather(*(g.start() for g in gateways[first : first + START_AT_ONCE]))
                tasks.append(asyncio.create_task(self.measure_loop_delay()))
                tasks.append(asyncio.create_task(self.inject_faults(discovery, backends)))
                await self.run_clients(gateways)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*(g.stop() for g in gateways))
                discovery.close()
                for each in backends:
                    each.crash()
        return self.metrics()

    async def run_clients(self, gateways: list[Any]) -> None:
        """Runs the clients; for every five that disconnect, one stays and two half-close."""
        clients, rid = [], 0
        while rid < self.departures:
            burst_size = 25 if self.rng.random() < 0.013 else 1
            for _ in range(min(burst_size, self.departures - rid)):
                rid += 1
                stay = self.rng.uniform(0.0, MAX_STAY)
                clients.append(self.disconnecting_client(self.rng.choice(gateways), rid, stay, rid % 3 == 0))
            if rid % 5 == 0:
                half_close_delays = {
                    "stayed": None,
                    "half_closed_at_once": 0.0,
                    "half_closed_later": self.rng.uniform(0.0, MAX_STAY),
                }
                for number, (behaviour, delay) in enumerate(half_close_delays.items(), 1):
                    clients.append(
                        self.reading_client(self.rng.choice(gateways), rid + (number << 30), behaviour, delay)
                    )
            clients = [
                each if isinstance(each, asyncio.Task) else asyncio.create_task(each) for each in clients
            ]
            await asyncio.sleep(CLIENT_EVERY)
        await asyncio.wait(clients, timeout=REPLY_TIMEOUT)
        await asyncio.sleep(1.0)  # late attempts still have time to reach a backend

    def metrics(self) -> dict[str, Any]:
        """Returns the metrics of the run."""
        delays = [
            max(ats) - self.disconnected_at[rid]
            for rid, ats in self.attempts_at.items()
            if rid in self.disconnected_at
        ]
        late_delays = [w for w in delays if w > LATE_AFTER]
        half_close_delays = [
            max(ats) - at for rid, at in self.half_closed_at.items() if (ats := self.attempts_at.get(rid))
        ]
        return {
            "gateways": self.gateways,
            "departures": len(self.disconnected_at),
            "reached_a_server": len(delays),
            "late_after_s": LATE_AFTER,
            "late": len(late_delays),
            "late_share": round(len(late_delays) / max(1, len(self.disconnected_at)), 4),
            "latest_s": round(max(delays, default=0.0), 3),
            "half_closes": len(self.half_closed_at),
            "late_after_half_close": sum(w > LATE_AFTER for w in half_close_delays),
            "own_delay_s": round(self.max_loop_delay, 3),
            "answers": {behaviour: dict(kinds) for behaviour, kinds in self.reply_kinds.items()},
        }


def main() -> None:
    """Runs one revision, or both one after the other."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--departures", type=int, default=1000)
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--revision", default="this")
    parser.add_argument("--against", type=pathlib.Path)
    parser.add_argument("--against-revision", default="before")
    parser.add_argument("--out", type=pathlib.Path)
    args = parser.parse_args()
    revisions = [(args.revision, None)] + ([(args.against_revision, args.against)] if args.against else [])
    rows = []
    for revision, program in revisions:
        run = BenchmarkRun(args.seed, args.departures, args.gateways, program)
        rows.append({"revision": revision, "seed": args.seed, **asyncio.run(run.run())})
        print(json.dumps(rows[-1], indent=1), flush=True)
    if args.out:
        earlier = json.loads(args.out.read_text()) if args.out.exists() else []
        args.out.write_text(json.dumps(earlier + rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
