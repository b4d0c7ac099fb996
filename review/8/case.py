"""Commands that a client sends at once, in pieces, behind one whose long answer its backend breaks off."""

import asyncio
import os
import pathlib
import sys

FOLDER = str(pathlib.Path(__file__).resolve().parent)
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import common  # noqa: E402
from common import TROUBLE, Backend, Discovery, Gateway, Record  # noqa: E402

CLIENTS, LANES, WORK, PIECE_PAUSE = 40, 4, 0.2, 0.4  # s between the two pieces of what a client sends
VALUE, BLOCKS, BLOCK_PAUSE = 300_000, 10, 0.1
RESET_EVERY = 4  # of the long answers one in four is broken off
D_MS = 4000
CUT = 40 if os.environ.get("PIECES") != "1" else 10_000  # bytes of the second command in the first piece


async def case(folder: str, record: Record) -> bool:
    long_ids, broken = set(), set()

    async def handle(backend, command, reader, writer):
        rid = command[2].decode()
        await asyncio.sleep(WORK)
        if rid not in long_ids:
            record(f"{backend.name} answers id={rid}")
            writer.write(common.answer(b"made for " + command[2]))
            return
        data = common.answer(b"made for " + command[2] + b"v" * VALUE)
        step = len(data) // BLOCKS + 1
        for number, at in enumerate(range(0, len(data), step)):
            if TROUBLE and rid in broken and number == BLOCKS // 2:
                record(f"{backend.name} resets the connection within its answer to id={rid}")
                writer.transport.abort()
                return
            writer.write(data[at : at + step])
            await asyncio.sleep(BLOCK_PAUSE)
        record(f"{backend.name} has answered id={rid}")

    backends = [Backend(f"s-{i}", record, handle, cell=i % 2) for i in range(4)]
    for backend in backends:
        await backend.start()
    discovery = Discovery([b.member() for b in backends], record)
    listen = f"127.0.0.1:{common.free_port()}"
    gateway = Gateway(folder, "n0", {
        "name": "n0", "listen": listen, "discovery": await discovery.start(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": common.settings(common.windhoek_classes(), [common.plan("family", 1.4, 5.0),
                                                                common.plan("school", 11.0, 24.0)]),
    })
    await gateway.start()
    lost, results = [], {"answered": 0, "first cut": 0, "first whole": 0}
    try:
        await gateway.ready()

        async def client(number):
            reader, writer = await asyncio.open_connection(*listen.split(":"), limit=1 << 20)

            def make():
                rid = common.new_id()
                return rid, common.command(number, rid, "board-load", "school", D_MS)

            rid, data = make()  # the connection has been used before
            writer.write(data)
            await asyncio.wait_for(common.read_answer(reader), 5)
            (first, first_data), (second, second_data) = make(), make()
            long_ids.add(first)
            if number % RESET_EVERY == 0:
                broken.add(first)
            writer.write(first_data + second_data[:CUT])
            await asyncio.sleep(PIECE_PAUSE)
            writer.write(second_data[CUT:])
            record(f"client {number} has written id={first} and, in two pieces, id={second}")
            try:
                reply = await asyncio.wait_for(common.read_answer(reader), 6)
                results["first whole"] += reply.startswith(b"$made for " + first.encode())
                record(f"client {number}: id={first}: {reply[:40]!r}, {len(reply)} bytes")
                reply = await asyncio.wait_for(common.read_answer(reader), 6)
                record(f"client {number}: id={second}: {reply[:40]!r}")
                results["answered"] += 1
            except (TimeoutError, EOFError, ConnectionError) as error:
                got = len(getattr(error, "partial", b""))
                results["first cut"] += 1
                lost.append(second)
                record(f"BROKEN: client {number}: the connection ended ({type(error).__name__}) after {got} bytes "
                       f"of the answer to id={first}; id={second} got no answer")
            writer.close()

        async def lane(start):
            for number in range(start, CLIENTS, LANES):
                await client((number * 7) % CLIENTS)  # spread the broken answers over the lanes

        await asyncio.gather(*map(lane, range(LANES)))
    finally:
        await gateway.end()
    began = {r for b in backends for _, r in b.runs}
    print(f"{results}; lost {len(lost)} of {CLIENTS}, of these sent on: {len(began & set(lost))}")
    record(f"{results}; lost {len(lost)} of {CLIENTS}")
    return not lost


common.run_case(os.path.join(FOLDER, sys.argv[1] if len(sys.argv) > 1 else "record.txt"), case)
