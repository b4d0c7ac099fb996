"""Measures what a full descriptor table of idle clients costs a gateway, optionally against another revision.

PYTHONPATH=. python -O benchmarks/crowd.py [--seconds 10] [--rate 120] [--against CHECKOUT] [--out FILE]

Starts one gateway on loopback, limited to `--sockets` descriptors. Throughout, `PROBES` clients with
persistent connections send a request every `PROBE_EVERY` seconds. Four phases of `--seconds` each follow:

- `probes`: no other clients
- `passing`: `--rate` short connections per second with one request or none, closed by the client
- `full`: the table is full of idle clients, each of which sends a PING per second
- `crowd`: `--rate` further idle clients per second, for each of which the gateway closes an older connection

CPU time is read from /proc/PID/stat. A short connection costs (`passing` - `probes`) / rate,
an idle client's connection (`crowd` - `full`) / rate. The round trip of a PING on a persistent connection
shows how late the gateway's event loop runs.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import pathlib
import random
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from corkdeal.standin.discovery import Discovery
from corkdeal.standin.fleet import tier
from corkdeal.standin.servers import Model, Server, work_drawer

SERVERS = 4
PROBES, PROBE_EVERY = 4, 0.1  # persistent connections; s between two requests of one
PING_EVERY = 0.02  # s
FILL_RATE = 400  # connections per second until the table is full
REST = 1.0  # s between two PINGs of an idle client; less than the gateway's shortest idle timeout
PASSING_STAY = 0.1  # s that a short connection without a request stays open
PLANS = [{"name": "open", "quota_rate": 100_000, "store_size": 100_000}]
PING, PONG = b"*1\r\n$4\r\nPING\r\n", b"+PONG\r\n"
TICK = 1 / os.sysconf("SC_CLK_TCK")  # s


def request(number: int) -> bytes:
    """Encodes a read request; each number is a separate customer."""
    params = b"c=board-load,t=open,d=4000,units=1,spread=1,first=0"
    words = (b"API.READ", b"%016x" % number, b"%016x" % number, params)
    return b"*%d\r\n%b" % (len(words), b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words))


def processor_time(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK


def percentile(values: list[float], part: float) -> float:
    """Returns the percentile of values given in seconds, in ms; `part` is in [0, 1]."""
    ordered = sorted(values)
    return round(1000 * ordered[min(len(ordered) - 1, int(part * len(ordered)))], 2) if ordered else 0.0


class Crowd:
    """One run of one revision."""

    def __init__(self, given: argparse.Namespace, program: pathlib.Path | None) -> None:
        self.given, self.program = given, program
        self.chance = random.Random(given.seed)
        self.number = 0
        self.ends: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.lateness: list[float] = []
        self.descriptors_most = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def begin(self, work: Any) -> None:
        """Runs a coroutine as a background task until the end of the run."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> dict[str, Any]:
        """Starts discovery, backends and the gateway, and returns the results."""
        models = [
            Model(f"s{i}", "north-hall", cell=i % 2, cores=8, queue=4000, fall_multiple=1000.0)
            for i in range(SERVERS)
        ]
        servers = [
            Server(model, work_drawer(self.chance, 0.02, 0.5), lambda arrival: None) for model in models
        ]
        for each in servers:
            await each.start()
        discovery = Discovery(lambda: [server.entry() for server in servers])
        await discovery.start()
        with tempfile.TemporaryDirectory() as folder:
            (gateway,) = tier(1, discovery.port, pathlib.Path(folder), PLANS, "recovery\n", self.program)
            gateway.config["settings"]["me"] = 0
            gateway.config["limits"] = {**gateway.config.get("limits", {}), "sockets": self.given.sockets}
            try:
                await gateway.start()
                return await self.play(gateway)
            finally:
                for task in list(self.tasks):
                    task.cancel()
                await gateway.end()
                discovery.close()
                for each in servers:
                    each.die()

    async def play(self, gateway: Any) -> dict[str, Any]:
        """Runs the four phases against the started gateway."""
        host, port = gateway.listen.split(":")
        self.address, pid = (host, int(port)), gateway.process.pid
        for number in range(PROBES):
            self.begin(self.probe(number))
        self.begin(self.ping())
        self.begin(self.watch_descriptors(pid))
        await asyncio.sleep(1.0)
        phases = {"probes": await self.measured(pid, 0, self.stay)}
        phases["passing"] = await self.measured(pid, self.given.rate, self.passing)
        await self.come(self.given.sockets, FILL_RATE, self.stay)
        await asyncio.sleep(REST)
        phases["full"] = await self.measured(pid, 0, self.stay)
        phases["crowd"] = await self.measured(pid, self.given.rate, self.stay)
        share = {name: phase["cpu_share"] for name, phase in phases.items()}
        return {
            "cpu_us_a_passing_connection": round(
                1e6 * (share["passing"] - share["probes"]) / self.given.rate
            ),
            "cpu_us_a_crowd_connection": round(1e6 * (share["crowd"] - share["full"]) / self.given.rate),
            "descriptors_most": self.descriptors_most,
            "descriptors_limit": self.given.sockets,
            "phases": phases,
        }

    async def measured(self, pid: int, rate: float, client: Callable[[], Any]) -> dict[str, Any]:
        """Runs one phase with `rate` new clients per second and returns its metrics."""
        self.lateness, self.answers, self.ends = [], Counter(), Counter()
        used, began = processor_time(pid), time.monotonic()
        await self.come(round(rate * self.given.seconds), rate, client)
        await asyncio.sleep(max(0.0, began + self.given.seconds - time.monotonic()))
        took = time.monotonic() - began
        return {
            "seconds": round(took, 2),
            "cpu_share": round((processor_time(pid) - used) / took, 4),
            "ping_ms_median": percentile(self.lateness, 0.5),
            "ping_ms_p99": percentile(self.lateness, 0.99),
            "ping_ms_most": percentile(self.lateness, 1.0),
            "answers_to_probes": dict(self.answers),
            "connections_ended": dict(self.ends),
        }

    async def come(self, many: int, rate: float, client: Callable[[], Any]) -> None:
        """Starts the clients at even intervals."""
        began = time.monotonic()
        for number in range(many):
            await asyncio.sleep(max(0.0, began + number / rate - time.monotonic()))
            self.begin(client())

    async def stay(self) -> None:
        """An idle client, which sends a PING every `REST` seconds until the gateway closes its connection."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            self.ends["not_connected"] += 1
            return
        try:
            while True:
                writer.write(PING)
                if not (read := await reader.readline()).startswith(b"+"):
                    break
                await asyncio.sleep(REST)
            self.ends["refused" if b"max number" in read else "closed"] += 1
        except OSError:
            self.ends["reset"] += 1
        finally:
            writer.close()

    async def passing(self) -> None:
        """A short connection, which sends one request or none and is closed by the client."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
            self.number += 1
            if self.number % 2:
                writer.write(request(1_000_000 + self.number))
                read = await reader.readline()
                self.ends["answered" if read.startswith(b"$") else "not_served"] += 1
            else:
                await asyncio.sleep(PASSING_STAY)
                self.ends["left"] += 1
            writer.close()
        except OSError:
            self.ends["reset"] += 1

    async def probe(self, number: int) -> None:
        """Sends requests on a persistent connection, and reconnects when it is closed."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                while True:
                    self.number += 1
                    writer.write(request(self.number))
                    head = await reader.readline()
                    self.answers[head[:5].decode().strip("0123456789\r\n ") or "closed"] += 1
                    if not head:
                        break
                    await self.rest_of_answer(reader, head)
                    await asyncio.sleep(PROBE_EVERY)
            except OSError:
                self.answers["reset"] += 1

    async def rest_of_answer(self, reader: asyncio.StreamReader, head: bytes) -> None:
        """Reads the rest of a bulk reply."""
        if head.startswith(b"$"):
            await reader.readexactly(int(head[1:]) + 2)

    async def ping(self) -> None:
        """Records PING round trips on a persistent connection."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                while True:
                    began = time.monotonic()
                    writer.write(PING)
                    if not await reader.readline():
                        break
                    self.lateness.append(time.monotonic() - began)
                    await asyncio.sleep(PING_EVERY)
            except OSError:
                pass

    async def watch_descriptors(self, pid: int) -> None:
        """Records the highest number of descriptors that the process has open, sampled every 10 ms."""
        while True:
            self.descriptors_most = max(self.descriptors_most, len(os.listdir(f"/proc/{pid}/fd")))
            await asyncio.sleep(0.01)


def summary(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns all runs and the median cost per connection."""
    names = ("cpu_us_a_passing_connection", "cpu_us_a_crowd_connection")
    return {**{name: statistics.median(r[name] for r in results) for name in names}, "plays": results}


def main() -> None:
    """Runs the revisions in turn."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rate", type=float, default=120.0)
    parser.add_argument("--sockets", type=int, default=640)
    parser.add_argument("--plays", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--against", type=pathlib.Path)
    parser.add_argument("--out", type=pathlib.Path)
    given = parser.parse_args()
    now, against = [], []
    for _ in range(given.plays):
        now.append(asyncio.run(Crowd(given, None).run()))
        if given.against:
            against.append(asyncio.run(Crowd(given, given.against).run()))
    result = {"rate": given.rate, "sockets": given.sockets, "now": summary(now)}
    if against:
        result["against"] = summary(against)
    text = json.dumps(result, indent=1)
    print(text)
    if given.out:
        given.out.write_text(text + "\n")


if __name__ == "__main__":
    main()
