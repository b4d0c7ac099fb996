"""A backend breaks a long answer off; the client had sent a further request behind the one it answered."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins"))
from common import (
    IS_TROUBLED,
    Backend,
    CannotRunError,
    Client,
    Discovery,
    Gateway,
    Record,
    Turn,
    command,
    gateway_config,
    run_case,
    served,
)

FOLDER = pathlib.Path(__file__).parent
ROUNDS = 40
RESET_SHARE = 0.25  # of the long answers, whose connection the backend resets in the middle
LONG = 512 * 1024  # bytes of the value of a board


async def case(record: Record, temporary: pathlib.Path, gateways: list[Gateway]) -> int:
    """Return how many requests were run and never answered, because of a broken answer before them."""
    ran: set[bytes] = set()
    rng = random.Random(3)

    async def handler(backend: Backend, words: list[bytes], writer: asyncio.StreamWriter, turn: Turn) -> None:
        ran.add(words[2])
        record.write(f"run {words[0].decode()} {words[2].decode()} at {backend.name}")
        await asyncio.sleep(0.16 if words[0] == b"API.WRITE" else 0.2)
        await turn()
        if words[0] == b"API.WRITE":
            return writer.write(served(b"recorded " + words[2]))
        reply = served(b"b" * LONG)
        if not IS_TROUBLED or rng.random() > RESET_SHARE:
            return writer.write(reply)
        writer.write(reply[: LONG // 2])
        await writer.drain()
        await asyncio.sleep(0.1)
        record.write(f"reset under the answer to {words[2].decode()}")
        writer.transport.abort()
        raise ConnectionResetError

    discovery = Discovery()
    await discovery.start()
    backends = [Backend(f"s-{i}", handler) for i in range(4)]
    for backend in backends:
        await backend.start()
    discovery.members = [b.entry() for b in backends]
    gateway = Gateway(temporary, "n0", gateway_config("n0", discovery, discovery.members))
    gateways.append(gateway)
    gateway.start()
    await gateway.wait_until_ready()
    lost = served_count = 0
    for number in range(ROUNDS):
        customer = b"%016x" % (number % 20 + 1)
        board, solve = b"%016x" % (2 * number + 1), b"%016x" % (2 * number + 2)
        client = await Client.open(gateway.port)
        record.write(f"sent {board.decode()} and, behind it, {solve.decode()}")
        client.writer.write(
            command(b"API.READ", customer, board, b"c=board-load,t=school,d=4000,units=1,spread=1,first=0")
            + command(
                b"API.WRITE",
                customer,
                solve,
                b"c=solve-record,t=school,d=5000,k=" + solve + b",units=1,spread=1,first=0",
                b"three stars",
            )
        )
        for rid in (board, solve):
            try:
                async with asyncio.timeout(6):
                    kind, value = await client.answer()
                record.write(f"answer {rid.decode()}: {kind} {value[:40].decode()} ({len(value)} bytes)")
                served_count += kind == "served"
            except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
                size = len(error.partial) if isinstance(error, asyncio.IncompleteReadError) else 0
                record.write(f"no whole answer to {rid.decode()}: {type(error).__name__}, {size} bytes")
                if rid == solve and rid in ran:  # so the gateway had read it
                    lost += 1
                    record.write(f"BROKEN: {rid.decode()} was run and never answered")
        client.close()
        await asyncio.sleep(0.2)
    record.say(f"{2 * ROUNDS} requests, served {served_count}, solve-records never answered {lost}")
    if served_count < ROUNDS:
        raise CannotRunError("most requests were not served")
    return lost


if __name__ == "__main__":
    run_case(FOLDER, case)
