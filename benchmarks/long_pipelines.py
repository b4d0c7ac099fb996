"""Measures the memory of a gateway, and what clients get, under many pipelines of long answers.

PYTHONPATH=. python -O benchmarks/long_pipelines.py [--tree DIR] [--out FILE]

Each client sends pipelines of reads of up to 4 MiB at once and reads the answers fast or slowly. A backend
breaks some answers off in the middle. The gateway of this checkout, or of the one in DIR, has 192 MB.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import json
import multiprocessing
import pathlib
import random
import socket
import sys
import tempfile
import time
from typing import Any

import bodies

MEMORY_LIMIT_MB = 192
CLIENTS, PIPELINE = 120, 6
DURATION = 20.0  # s in which clients begin pipelines
READ_SIZE = 64 * 1024  # bytes that a client reads at once
PAUSES = (0.0, 0.04, 0.16)  # s between reads: as fast as it can, 1.6 MB/s, 400 kB/s
SIZES = (256 << 10, 1 << 20, 4 << 20)  # bytes
BREAK_SHARE = 0.05  # of the answers
SAMPLE_INTERVAL = 0.05  # s
TIMEOUT = 4000  # ms, of each request
CLOSED_AS_IDLE = "closed between pipelines"
ENDS = ("none", "cut off", "reset", CLOSED_AS_IDLE)  # after which a connection is not used further


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each read with a value of the size that its customer number gives."""
    try:
        while count := int((await reader.readline())[1:] or 0):
            arguments = []
            for _ in range(count):
                size = int((await reader.readline())[1:])
                arguments.append((await reader.readexactly(size + 2))[:-2])
            size = int(arguments[1], 16)
            await asyncio.sleep(random.uniform(0.005, 0.05))
            is_broken = random.random() < BREAK_SHARE
            writer.write(b"*3\r\n$%d\r\n" % size + bytes(size // 2 if is_broken else size))
            if is_broken:
                await writer.drain()
                break
            writer.write(b"\r\n" + bodies.NULL_FIELDS)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.transport.abort()


def run_backend(port: int) -> None:
    """Serve until killed."""

    async def listen() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", port, backlog=512)
        await server.serve_forever()

    asyncio.run(listen())


def encode_pipeline(first_id: int, sizes: list[int]) -> bytes:
    """Encode reads of these sizes."""
    commands = b"".join(
        b"".join(bodies.encode_request(first_id + i, size, False)) for i, size in enumerate(sizes)
    )
    return commands.replace(b"d=8000", b"d=%d" % TIMEOUT)


async def read_answer(reader: asyncio.StreamReader, pause: float) -> str:
    """Read one answer slowly; return what it is."""
    line = await reader.readline()
    if line[:1] != b"$":
        return line.decode().split()[0] if line else "none"
    left = int(line[1:]) + 2
    while left:
        data = await reader.read(min(left, READ_SIZE))
        if not data:
            return "cut off"
        left -= len(data)
        await asyncio.sleep(pause)
    return "whole"


async def run_client(number: int, port: int, until: float, outcomes: collections.Counter[str]) -> None:
    """Send one pipeline after another; after an answer that is not whole, the next on a new connection."""
    rng, pause, last_id = random.Random(number), PAUSES[number % len(PAUSES)], number << 24
    while time.monotonic() < until:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_SIZE)
        sock.connect(("127.0.0.1", port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=READ_SIZE)
        answer = ""
        while time.monotonic() < until and answer not in ENDS:
            last_id += PIPELINE
            writer.write(encode_pipeline(last_id, rng.choices(SIZES, k=PIPELINE)))
            for position in range(PIPELINE):
                try:
                    answer = await read_answer(reader, pause)
                except ConnectionError:
                    answer = "reset"
                if answer in ENDS and position == 0 and answer != "cut off":
                    answer = CLOSED_AS_IDLE
                outcomes[answer] += 1
                if answer in ENDS and answer != CLOSED_AS_IDLE:
                    outcomes["unanswered behind that"] += PIPELINE - position - 1
                if answer in ENDS:
                    break
        writer.transport.abort()


async def measure(pid: int, port: int) -> dict[str, Any]:
    """Run all clients, and sample the memory that the process has for itself."""
    outcomes: collections.Counter[str] = collections.Counter()
    until, most, is_done = time.monotonic() + DURATION, 0.0, False

    async def sample() -> None:
        nonlocal most
        while not is_done:
            most = max(most, bodies.memory_mb(pid, "VmRSS"))
            await asyncio.sleep(SAMPLE_INTERVAL)

    sampler = asyncio.create_task(sample())
    await asyncio.gather(*(run_client(number, port, until, outcomes) for number in range(CLIENTS)))
    is_done = True
    await sampler
    return {
        "clients": CLIENTS,
        "pipeline": PIPELINE,
        "limit_mb": MEMORY_LIMIT_MB,
        "most_mb": round(most, 1),
        "outcomes": dict(sorted(outcomes.items())),
    }


def main() -> int:
    """Run the benchmark and print its results."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--tree", default=str(bodies.ROOT))
    parser.add_argument("--out")
    arguments = parser.parse_args()
    bodies.MEMORY_LIMIT_MB = MEMORY_LIMIT_MB
    backend_port, port = bodies.free_port(), bodies.free_port()
    backend = multiprocessing.Process(target=run_backend, args=(backend_port,), daemon=True)
    backend.start()
    bodies.wait_until_listening(backend_port)
    with tempfile.TemporaryDirectory() as folder:
        process = bodies.start_gateway(pathlib.Path(arguments.tree).resolve(), port, backend_port, folder)
        try:
            bodies.wait_until_listening(port)
            results = asyncio.run(measure(process.pid, port))
        finally:
            process.kill()
            process.wait()
    print(json.dumps(results, indent=1))
    bodies.write_results(results, arguments.out)
    return 0


if __name__ == "__main__":
    sys.exit(main())
