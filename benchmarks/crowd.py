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

from corkdeal.standin.backends import BackendModel, FakeBackend, gamma_work
from corkdeal.standin.discovery import Discovery
from corkdeal.standin.fleet import create_gateways

BACKENDS = 4
PROBES, PROBE_EVERY = 4, 0.1  # persistent connections; s between two requests of one
PING_EVERY = 0.02  # s
FILL_RATE = 400  # connections per second until the table is full
IDLE_PING_EVERY = 1.0  # s between two PINGs of an idle client; less than the gateway's shortest idle timeout
SHORT_CLIENT_STAY = 0.1  # s that a short connection without a request stays open
PLANS = [{"name": "open", "quota_rate": 100_000, "store_size": 100_000}]
PING, PONG = b"*1\r\n$4\r\nPING\r\n", b"+PONG\r\n"
CLOCK_TICK = 1 / os.sysconf("SC_CLK_TCK")  # s


def encode_request(number: int) -> bytes:
    """Encodes a read request; each number is a separate customer."""
    params = b"c=board-load,t=open,d=4000,units=1,spread=1,first=0"
    arguments = (b"API.READ", b"%016x" % number, b"%016x" % number, params)
    return b"*%d\r\n%b" % (len(arguments), b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in arguments))


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * CLOCK_TICK


def percentile(values: list[float], fraction: float) -> float:
    """Returns the percentile of values given in seconds, in ms; `fraction` is in [0, 1]."""
    ordered = sorted(values)
    return round(1000 * ordered[min(len(ordered) - 1, int(fraction * len(ordered)))], 2) if ordered else 0.0


class BenchmarkRun:
    """One run of one revision."""

    def __init__(self, args: argparse.Namespace, program: pathlib.Path | None) -> None:
        self.args, self.program = args, program
        self.rng = random.Random(args.seed)
        self.last_request = 0
        self.connection_ends: Counter[str] = Counter()
        self.probe_replies: Counter[str] = Counter()
        self.ping_times: list[float] = []
        self.max_descriptors = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def start_task(self, coroutine: Any) -> None:
        """Runs a coroutine as a background task until the end of the run."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> dict[str, Any]:
        """Starts discovery, backends and the gateway, and returns the results."""
        models = [
            BackendModel(f"s{i}", "north-hall", cell=i % 2, cores=8, queue=4000, fall_multiple=1000.0)
            for i in range(BACKENDS)
        ]
        backends = [
            FakeBackend(model, gamma_work(self.rng, 0.02, 0.5), lambda arrival: None) for model in models
        ]
        for each in backends:
            await each.start()
        discovery = Discovery(lambda: [backend.entry() for backend in backends])
        await discovery.start()
        with tempfile.TemporaryDirectory() as folder:
            (gateway,) = create_gateways(
                1, discovery.port, pathlib.Path(folder), PLANS, "recovery\n", self.program
            )
            gateway.config["settings"]["me"] = 0
            gateway.config["limits"] = {**gateway.config.get("limits", {}), "sockets": self.args.sockets}
            try:
                await gateway.start()
                return await self.run_phases(gateway)
            finally:
                for task in list(self.tasks):
                    task.cancel()
                await gateway.stop()
                discovery.close()
                for each in backends:
                    each.crash()

    async def run_phases(self, gateway: Any) -> dict[str, Any]:
        """Runs the four phases against the started gateway."""
        host, port = gateway.listen.split(":")
        self.address, pid = (host, int(port)), gateway.process.pid
        for number in range(PROBES):
            self.start_task(self.probe_client(number))
        self.start_task(self.ping_client())
        self.start_task(self.watch_descriptors(pid))
        await asyncio.sleep(1.0)
        phases = {"probes": await self.measure_phase(pid, 0, self.idle_client)}
        phases["passing"] = await self.measure_phase(pid, self.args.rate, self.short_client)
        await self.start_clients(self.args.sockets, FILL_RATE, self.idle_client)
        await asyncio.sleep(IDLE_PING_EVERY)
        phases["full"] = await self.measure_phase(pid, 0, self.idle_client)
        phases["crowd"] = await self.measure_phase(pid, self.args.rate, self.idle_client)
        cpu_shares = {name: phase["cpu_share"] for name, phase in phases.items()}
        return {
            "cpu_us_a_passing_connection": round(
                1e6 * (cpu_shares["passing"] - cpu_shares["probes"]) / self.args.rate
            ),
            "cpu_us_a_crowd_connection": round(
                1e6 * (cpu_shares["crowd"] - cpu_shares["full"]) / self.args.rate
            ),
            "descriptors_most": self.max_descriptors,
            "descriptors_limit": self.args.sockets,
            "phases": phases,
        }

    async def measure_phase(self, pid: int, rate: float, client: Callable[[], Any]) -> dict[str, Any]:
        """Runs one phase with `rate` new clients per second and returns its metrics."""
        self.ping_times, self.probe_replies, self.connection_ends = [], Counter(), Counter()
        cpu_before, started_at = cpu_seconds(pid), time.monotonic()
        await self.start_clients(round(rate * self.args.seconds), rate, client)
        await asyncio.sleep(max(0.0, started_at + self.args.seconds - time.monotonic()))
        elapsed = time.monotonic() - started_at
        return {
            "seconds": round(elapsed, 2),
            "cpu_share": round((cpu_seconds(pid) - cpu_before) / elapsed, 4),
            "ping_ms_median": percentile(self.ping_times, 0.5),
            "ping_ms_p99": percentile(self.ping_times, 0.99),
            "ping_ms_most": percentile(self.ping_times, 1.0),
            "answers_to_probes": dict(self.probe_replies),
            "connections_ended": dict(self.connection_ends),
        }

    async def start_clients(self, count: int, rate: float, client: Callable[[], Any]) -> None:
        """Starts the clients at even intervals."""
        started_at = time.monotonic()
        for number in range(count):
            await asyncio.sleep(max(0.0, started_at + number / rate - time.monotonic()))
            self.start_task(client())

    async def idle_client(self) -> None:
        """Sends a PING every `IDLE_PING_EVERY` seconds until the gateway closes the connection."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            self.connection_ends["not_connected"] += 1
            return
        try:
            while True:
                writer.write(PING)
                if not (reply := await reader.readline()).startswith(b"+"):
                    break
                await asyncio.sleep(IDLE_PING_EVERY)
            self.connection_ends["refused" if b"max number" in reply else "closed"] += 1
        except OSError:
            self.connection_ends["reset"] += 1
        finally:
            writer.close()

    async def short_client(self) -> None:
        """Sends one request or none, and closes the connection."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
            self.last_request += 1
            if self.last_request % 2:
                writer.write(encode_request(1_000_000 + self.last_request))
                reply = await reader.readline()
                self.connection_ends["answered" if reply.startswith(b"$") else "not_served"] += 1
            else:
                await asyncio.sleep(SHORT_CLIENT_STAY)
                self.connection_ends["left"] += 1
            writer.close()
        except OSError:
            self.connection_ends["reset"] += 1

    async def probe_client(self, number: int) -> None:
        """Sends requests on a persistent connection, and reconnects when it is closed."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                while True:
                    self.last_request += 1
                    writer.write(encode_request(self.last_request))
                    first_line = await reader.readline()
                    self.probe_replies[first_line[:5].decode().strip("0123456789\r\n ") or "closed"] += 1
                    if not first_line:
                        break
                    await self.read_rest(reader, first_line)
                    await asyncio.sleep(PROBE_EVERY)
            except OSError:
                self.probe_replies["reset"] += 1

    async def read_rest(self, reader: asyncio.StreamReader, first_line: bytes) -> None:
        """Reads the rest of a bulk reply."""
        if first_line.startswith(b"$"):
            await reader.readexactly(int(first_line[1:]) + 2)

    async def ping_client(self) -> None:
        """Records PING round trips on a persistent connection."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                while True:
                    sent_at = time.monotonic()
                    writer.write(PING)
                    if not await reader.readline():
                        break
                    self.ping_times.append(time.monotonic() - sent_at)
                    await asyncio.sleep(PING_EVERY)
            except OSError:
                pass

    async def watch_descriptors(self, pid: int) -> None:
        """Records the highest number of descriptors that the process has open, sampled every 10 ms."""
        while True:
            self.max_descriptors = max(self.max_descriptors, len(os.listdir(f"/proc/{pid}/fd")))
            await asyncio.sleep(0.01)


def summarize(results: list[dict[str, Any]]) -> dict[str, Any]:
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
    args = parser.parse_args()
    runs, other_runs = [], []
    for _ in range(args.plays):
        runs.append(asyncio.run(BenchmarkRun(args, None).run()))
        if args.against:
            other_runs.append(asyncio.run(BenchmarkRun(args, args.against).run()))
    result = {"rate": args.rate, "sockets": args.sockets, "now": summarize(runs)}
    if other_runs:
        result["against"] = summarize(other_runs)
    text = json.dumps(result, indent=1)
    print(text)
    if args.out:
        args.out.write_text(text + "\n")


if __name__ == "__main__":
    main()
