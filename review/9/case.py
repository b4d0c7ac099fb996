"""An upgrade under load, while clients write large values slowly: the memory of both processes together."""

import asyncio
import os
import pathlib
import signal
import socket
import sys
import tempfile

FOLDER = str(pathlib.Path(__file__).resolve().parent)
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import common  # noqa: E402
from common import TROUBLE, Backend, Discovery, Gateway, Record  # noqa: E402

MEMORY_MB = 96
RATE, UPLOAD_SIZE, UPLOAD_SECONDS = 12, 4 << 20, 6.0  # uploads begun a second; bytes; s that each is written
BEFORE, READY_WAIT, KILL_AFTER, AFTER = 6.0, 6.0, 3.0 + 0.7, 2.0


async def upload(address, record, number, results):
    """A client that writes one large value slowly, on a new connection."""
    host, _, port = address.rpartition(":")
    rid = common.new_id()
    data = common.command(1000 + number % 100, rid, "solve-record", "school", 5000, True, b"u" * UPLOAD_SIZE,
                          f",k={rid}")
    reading = writer = None
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        record(f"upload {number} begins id={rid}")
        reading = asyncio.create_task(common.read_answer(reader))
        step = int(len(data) * 0.05 / UPLOAD_SECONDS)
        for at in range(0, len(data), step):
            writer.write(data[at : at + step])
            await writer.drain()
            await asyncio.sleep(0.05)
        reply = await asyncio.wait_for(reading, 8)
        results[reply[:5]] = results.get(reply[:5], 0) + 1
        record(f"upload {number} id={rid}: {reply[:40]!r}")
    except (OSError, EOFError, TimeoutError) as error:
        record(f"upload {number} id={rid}: {type(error).__name__}")
    finally:
        if reading:
            reading.cancel()
        if writer:
            writer.close()


def memory(pid: int) -> int:
    """The anonymous memory of a process in bytes: without its program and libraries; 0 if it has ended."""
    try:
        with open(f"/proc/{pid}/smaps_rollup", encoding="ascii") as file:
            return 1024 * sum(int(line.split()[1]) for line in file if line.startswith("Anonymous:"))
    except OSError:
        return 0


async def case(folder: str, record: Record) -> bool:
    backends = [Backend(f"s-{i}", record, cell=i % 2) for i in range(4)]
    for backend in backends:
        await backend.start()
    discovery = Discovery([b.member() for b in backends], record)
    clients_socket = socket.create_server(("127.0.0.1", 0), backlog=512)
    listen = "127.0.0.1:%d" % clients_socket.getsockname()[1]
    tmpdir = tempfile.mkdtemp(dir=folder)
    address = await discovery.start()

    def make(log_name):
        return Gateway(folder, "n0", {
            "name": "n0", "listen": listen, "discovery": address, "seed": "8c1f30d27a5be964",
            "ops": f"127.0.0.1:{common.free_port()}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
            "settings": common.settings(common.windhoek_classes(), [common.plan("family", 1.4, 5.0),
                                                                    common.plan("school", 11.0, 24.0)]),
        }, inherited=clients_socket, tmpdir=tmpdir, log_name=log_name)

    old, new = make("n0-old"), make("n0-new")
    tasks, results = [], {}
    most = [0, 0, 0]  # together, old, new

    async def watch():
        while True:
            sizes = [memory(g.pid) if g.is_running() else 0 for g in (old, new)]
            total = sum(sizes)
            if total > most[0]:
                most[:] = [total, *sizes]
                record(f"memory: together {total >> 20} MiB, old {sizes[0] >> 20}, new {sizes[1] >> 20}")
            await asyncio.sleep(0.05)

    async def arrivals():
        number = 0
        while True:
            number += 1
            tasks.append(asyncio.create_task(upload(listen, record, number, results)))
            await asyncio.sleep(1 / RATE)

    await old.start()
    try:
        await old.ready()
        tasks = [asyncio.create_task(arrivals()), asyncio.create_task(watch())]
        await asyncio.sleep(BEFORE)
        if TROUBLE:
            await new.start()
            await ops_ready(new, READY_WAIT)
            record("the new process is ready; SIGTERM to the old one")
            old.signal(signal.SIGTERM)
            await asyncio.sleep(KILL_AFTER)
            old.signal(signal.SIGKILL)
            await asyncio.sleep(AFTER)
        else:
            await asyncio.sleep(KILL_AFTER + AFTER + 2)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await old.end()
        await new.end()
    print(f"limit {MEMORY_MB} MiB; most together {most[0] >> 20} MiB (old {most[1] >> 20}, new {most[2] >> 20}); uploads {results}")
    record(f"limit {MEMORY_MB} MiB; most {most}; uploads {results}")
    return most[0] <= MEMORY_MB << 20


async def ops_ready(gateway: Gateway, timeout: float) -> None:
    """Wait for the yes of the second address."""
    host, _, port = gateway.config["ops"].rpartition(":")
    loop = asyncio.get_running_loop()
    ends = loop.time() + timeout
    while loop.time() < ends:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(reader.read(), 1)
            writer.close()
            if b" 200 " in head.split(b"\r\n", 1)[0]:
                return
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(0.05)
    raise common.CannotRun("the new process was not ready")


common.run_case(os.path.join(FOLDER, sys.argv[1] if len(sys.argv) > 1 else "record.txt"), case)
