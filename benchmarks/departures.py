"""Counts attempts that gateways start after the client has disconnected, optionally against another revision.

PYTHONPATH=. python -O benchmarks/departures.py [--gateways 3] [--departures 1000] [--revision NAME]
    [--out FILE] [--against CHECKOUT --against-revision NAME]

Starts gateway processes and six fake backends. Each client sends one request on its own connection and
disconnects after a random time, by a close (FIN) or a reset, some of them in bursts. Meanwhile requests are
made to wait: part of the time two backends accept requests without replying, so that they are retried, and
part of the time discovery lists no backend, so that they are queued. A request is late if an attempt reaches
a backend more than LATE seconds after its client disconnected. Delays of this process count against the
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

from corkdeal.standin.discovery import Discovery
from corkdeal.standin.fleet import tier
from corkdeal.standin.servers import Arrival, Model, Server, work_drawer

LATE = 0.1  # s after a disconnect, from which on an attempt of that client counts as late
GATEWAYS, SERVERS = 3, 6
START_AT_ONCE = 4  # gateways started concurrently
EVERY, STAY = 0.02, 0.5  # s between clients; longest s that one stays connected
ANSWERED_WITHIN = 10.0  # s that clients wait for a reply at the end of a run
TICK = 0.005  # s between samples of this process's event-loop delay
EMPTY_EVERY, EMPTY_FOR, HANG_FOR = 1.5, 0.6, 0.7  # s; of the empty endpoint list, and of two hanging backends
PLANS = [{"name": "open", "quota_rate": 100_000, "store_size": 100_000}]


def ask(rid: int, write: bool, gateway: int) -> bytes:
    """Encodes a request of a separate customer, whose only gateway is the given one."""
    params = f"c={'solve-record' if write else 'board-load'},t=open,d=4000,units=1,spread=1,first={gateway}"
    params += f",k={rid:016x}" if write else ""
    words = [b"API.WRITE" if write else b"API.READ", b"%016x" % rid, b"%016x" % rid, params.encode()]
    words += [b"stars"] if write else []
    return b"*%d\r\n%b" % (len(words), b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words))


class Asking:
    """A client's connection with one request, on a plain socket that closes at once when asked to."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    @classmethod
    async def open(cls, gateway: Any, rid: int) -> Asking:
        """Connects and sends the request."""
        loop, (host, port) = asyncio.get_running_loop(), gateway.listen.split(":")
        sock = socket.socket()
        sock.setblocking(False)
        await loop.sock_connect(sock, (host, int(port)))
        await loop.sock_sendall(sock, ask(rid, rid % 2 == 1, gateway.number))
        return cls(sock)

    async def kind(self) -> str:
        """Waits for the reply and returns the start of its first line without digits."""
        try:
            data = await asyncio.get_running_loop().sock_recv(self.sock, 4096)
        except ConnectionError:
            data = b""
        return data.partition(b"\r\n")[0][:5].decode().strip("0123456789 ")

    def leave(self, reset: bool) -> float:
        """Closes or resets the connection; returns the wall time."""
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        at = time.time()
        self.sock.close()
        return at

    def end_sending(self) -> float:
        """Shuts down the sending side; returns the wall time."""
        at = time.time()
        self.sock.shutdown(socket.SHUT_WR)
        return at


class Play:
    """One run of one revision."""

    def __init__(self, seed: int, departures: int, gateways: int, program: pathlib.Path | None) -> None:
        self.chance, self.departures, self.program = random.Random(seed), departures, program
        self.gateways = gateways
        self.left: dict[int, float] = {}  # wall time of each disconnect, by request
        self.half_closed: dict[int, float] = {}  # wall time of each half-close, by request
        self.arrived: dict[int, list[float]] = {}
        self.answers: dict[str, Counter[str]] = {
            who: Counter() for who in ("stayed", "half_closed_at_once", "half_closed_later")
        }
        self.own_delay = 0.0
        self.empty = False

    def seen(self, arrival: Arrival) -> None:
        """Called when a backend has received a whole attempt."""
        self.arrived.setdefault(arrival.request, []).append(arrival.at)

    async def watch_itself(self) -> None:
        """Records the longest delay of this process's event loop."""
        while True:
            due = time.monotonic() + TICK
            await asyncio.sleep(TICK)
            self.own_delay = max(self.own_delay, time.monotonic() - due)

    async def leaver(self, gateway: Any, rid: int, stay: float, reset: bool) -> None:
        """Sends a request and disconnects after `stay` seconds."""
        asking = await Asking.open(gateway, rid)
        await asyncio.sleep(stay)
        self.left[rid] = asking.leave(reset)

    async def reader(self, gateway: Any, rid: int, who: str, half_close_after: float | None) -> None:
        """Sends a request, half-closes after `half_close_after` seconds if given, and reads the reply."""
        asking = await Asking.open(gateway, rid)
        if half_close_after is not None:
            await asyncio.sleep(half_close_after)
            self.half_closed[rid] = asking.end_sending()
        self.answers[who][await asking.kind()] += 1
        asking.sock.close()

    async def trouble(self, discovery: Discovery, servers: list[Server]) -> None:
        """Makes requests wait: backends hang in turn, and the endpoint list is empty at times."""
        while True:
            hung = self.chance.sample(servers, 2)
            for each in hung:
                each.slow = 1000.0
            await asyncio.sleep(HANG_FOR)
            for each in hung:
                each.slow = 1.0
            self.empty = True
            await discovery.publish()
            await asyncio.sleep(EMPTY_FOR)
            self.empty = False
            await discovery.publish()
            await asyncio.sleep(EMPTY_EVERY - EMPTY_FOR)

    async def run(self) -> dict[str, Any]:
        """Starts discovery, backends and gateways, runs the clients, and returns the metrics."""
        models = [
            Model(f"s{i}", "north-hall", cell=i % 2, cores=8, queue=4000, fall_multiple=1000.0)
            for i in range(SERVERS)
        ]
        servers = [Server(m, work_drawer(self.chance, 0.15, 0.5), self.seen) for m in models]
        for each in servers:
            await each.start()
        discovery = Discovery(lambda: [] if self.empty else [s.entry() for s in servers])
        await discovery.start()
        with tempfile.TemporaryDirectory() as folder:
            gateways = tier(
                self.gateways, discovery.port, pathlib.Path(folder), PLANS, "recovery\n", self.program
            )
            for number, each in enumerate(gateways):
                each.config["settings"]["me"] = number
            tasks: list[asyncio.Task[None]] = []
            try:
                for first in range(0, len(gateways), START_AT_ONCE):
                    await asyncio.gather(*(g.start() for g in gateways[first : first + START_AT_ONCE]))
                tasks.append(asyncio.create_task(self.watch_itself()))
                tasks.append(asyncio.create_task(self.trouble(discovery, servers)))
                await self.clients(gateways)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*(g.end() for g in gateways))
                discovery.close()
                for each in servers:
                    each.die()
        return self.figures()

    async def clients(self, gateways: list[Any]) -> None:
        """Runs the clients; for every five that disconnect, one stays and two half-close."""
        asked, rid = [], 0
        while rid < self.departures:
            many = 25 if self.chance.random() < 0.013 else 1
            for _ in range(min(many, self.departures - rid)):
                rid += 1
                stay = self.chance.uniform(0.0, STAY)
                asked.append(self.leaver(self.chance.choice(gateways), rid, stay, rid % 3 == 0))
            if rid % 5 == 0:
                waits = {
                    "stayed": None,
                    "half_closed_at_once": 0.0,
                    "half_closed_later": self.chance.uniform(0.0, STAY),
                }
                for number, (who, wait) in enumerate(waits.items(), 1):
                    asked.append(self.reader(self.chance.choice(gateways), rid + (number << 30), who, wait))
            asked = [each if isinstance(each, asyncio.Task) else asyncio.create_task(each) for each in asked]
            await asyncio.sleep(EVERY)
        await asyncio.wait(asked, timeout=ANSWERED_WITHIN)
        await asyncio.sleep(1.0)  # late attempts still have time to reach a backend

    def figures(self) -> dict[str, Any]:
        """Returns the metrics of the run."""
        waits = [max(ats) - self.left[rid] for rid, ats in self.arrived.items() if rid in self.left]
        late = [w for w in waits if w > LATE]
        half = [max(ats) - at for rid, at in self.half_closed.items() if (ats := self.arrived.get(rid))]
        return {
            "gateways": self.gateways,
            "departures": len(self.left),
            "reached_a_server": len(waits),
            "late_after_s": LATE,
            "late": len(late),
            "late_share": round(len(late) / max(1, len(self.left)), 4),
            "latest_s": round(max(waits, default=0.0), 3),
            "half_closes": len(self.half_closed),
            "late_after_half_close": sum(w > LATE for w in half),
            "own_delay_s": round(self.own_delay, 3),
            "answers": {who: dict(kinds) for who, kinds in self.answers.items()},
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
    given = parser.parse_args()
    plays = [(given.revision, None)] + ([(given.against_revision, given.against)] if given.against else [])
    rows = []
    for revision, program in plays:
        play = Play(given.seed, given.departures, given.gateways, program)
        rows.append({"revision": revision, "seed": given.seed, **asyncio.run(play.run())})
        print(json.dumps(rows[-1], indent=1), flush=True)
    if given.out:
        before = json.loads(given.out.read_text()) if given.out.exists() else []
        given.out.write_text(json.dumps(before + rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
