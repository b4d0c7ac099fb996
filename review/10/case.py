"""An upgrade under load, while a bad client uses the ids of other clients' open requests."""

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

CLIENTS, WORK, READY_WAIT, KILL_AFTER = 12, 0.40, 6.0, 3.0 + 0.7  # work: 270 ms at a speed of 0.64 to 0.86
BAD_CUSTOMER = 900
ASK_AFTER, BAD_AFTER = 0.42, 0.65  # s after SIGTERM


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


async def case(folder: str, record: Record) -> bool:
    out: dict[str, list[asyncio.StreamReader]] = {}  # connections with an attempt that is out, by id
    twice, served = set(), []

    async def check(backend, rid, others):
        await asyncio.sleep(0.1)  # the end of an earlier attempt may still be on its way
        if any(other in out[rid] and not other.at_eof() for other in others):
            twice.add(rid)
            record(f"BROKEN: id={rid} is out at {backend.name} and at another backend connection at once")

    async def handle(backend, command, reader, writer):
        rid, is_bad = command[2].decode(), int(command[1], 16) == BAD_CUSTOMER
        others = [other for other in out.setdefault(rid, []) if not other.at_eof()]
        out[rid].append(reader)
        if others:
            checks.append(asyncio.create_task(check(backend, rid, others)))
        await asyncio.sleep(WORK)
        out[rid].remove(reader)
        writer.write(common.answer(b"made for " + command[2] + b" of " + command[1]))
        record(f"{backend.name} answers id={rid}{' of the bad client' if is_bad else ''}")

    checks = []
    usual: set[str] = set()
    backends = [Backend(f"s-{i}", record, handle, cell=i % 2) for i in range(4)]
    for backend in backends:
        backend.flavor = "slower"
        await backend.start()
    discovery = Discovery([b.member() for b in backends], record)
    clients_socket = socket.create_server(("127.0.0.1", 0), backlog=512)
    listen = "127.0.0.1:%d" % clients_socket.getsockname()[1]
    tmpdir, address = tempfile.mkdtemp(dir=folder), await discovery.start()

    def make(log_name):
        return Gateway(folder, "n0", {
            "name": "n0", "listen": listen, "discovery": address, "seed": "8c1f30d27a5be964",
            "ops": f"127.0.0.1:{common.free_port()}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": common.settings(common.windhoek_classes(), [common.plan("family", 1.4, 5.0),
                                                                    common.plan("school", 11.0, 24.0)]),
        }, inherited=clients_socket, tmpdir=tmpdir, log_name=log_name)

    old, new = make("n0-old"), make("n0-new")
    await old.start()
    answers = {}
    try:
        await old.ready()
        kept = []
        for number in range(CLIENTS):  # connections from before the upgrade, used once
            reader, writer = await asyncio.open_connection(*listen.split(":"))
            writer.write(common.command(number, common.new_id(), "board-load", "school", 4000))
            kept.append((number, reader, writer))
            if number % 4 == 3:
                for _, reader, _ in kept[-4:]:
                    await asyncio.wait_for(common.read_answer(reader), 5)
        if TROUBLE:
            await new.start()
            await ops_ready(new, READY_WAIT)
            record("the new process is ready; SIGTERM to the old one")
            old.signal(signal.SIGTERM)
        await asyncio.sleep(ASK_AFTER)

        async def client(number, reader, writer, rid):
            reply = await asyncio.wait_for(common.read_answer(reader), 5)
            answers[rid] = reply
            record(f"client {number}: id={rid}: {reply[:60]!r}")
            writer.close()

        asks = []
        for number, reader, writer in kept:
            rid = common.new_id()
            usual.add(rid)
            writer.write(common.command(number, rid, "board-load", "school", 4000))
            record(f"client {number} sends id={rid}")
            asks.append(asyncio.create_task(client(number, reader, writer, rid)))
        await asyncio.sleep(BAD_AFTER - ASK_AFTER)

        async def bad(rid):
            reader, writer = await asyncio.open_connection(*listen.split(":"))
            writer.write(common.command(BAD_CUSTOMER, rid, "board-load", "school", 4000))
            record(f"the bad client sends id={rid}, which another client's open request has")
            try:
                reply = await asyncio.wait_for(common.read_answer(reader), 5)
            except (EOFError, OSError):
                reply = b"closed"
            record(f"the bad client: id={rid}: {reply[:60]!r}")
            if reply.startswith(b"$"):
                served.append(rid)
                record(f"BROKEN: the bad client was served with id={rid}")
            writer.close()

        asks += [asyncio.create_task(bad(rid)) for rid in sorted(usual) if rid not in answers]
        record(f"{len(answers)} of {CLIENTS} requests are answered before the bad client comes")
        await asyncio.gather(*asks)
        await asyncio.gather(*checks)
        if TROUBLE:
            await asyncio.sleep(max(0.0, KILL_AFTER - BAD_AFTER - WORK))
            old.signal(signal.SIGKILL)
    finally:
        await old.end()
        await new.end()
    print(f"{len(twice)} ids out twice at once, {len(served)} bad requests served, of {CLIENTS}")
    record(f"twice {len(twice)}, served {len(served)}")
    return not (twice or served)


common.run_case(os.path.join(FOLDER, sys.argv[1] if len(sys.argv) > 1 else "record.txt"), case)
