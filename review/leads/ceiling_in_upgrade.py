"""A customer presses against its ceiling while a new version of the gateway is started beside the old one."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import sys
import time
from collections import Counter

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins"))
from common import (
    HOST,
    IS_TROUBLED,
    Backend,
    CannotRunError,
    Client,
    Discovery,
    Gateway,
    Record,
    Turn,
    command,
    free_port,
    gateway_config,
    run_case,
    served,
    settings,
)

FOLDER = pathlib.Path(__file__).parent
RATE, BURST = 2.5, 12.5  # the plan's quota: units/s, units
CEILING_RATE, CEILING_BURST = 2 * RATE, 2 * BURST
SLACK = 2.5  # 10% of what the ceiling allows at once
SOCKET_SLACK = 0.15  # s by which the slack is wider on sockets, at the ceiling's rate
CALM, PRESS, AFTER = (
    8.0,
    8.0,
    14.0,
)  # s of few requests, of many, and of many from the start of the new version
TIME_FOR_YES = 6.0  # s from the start of the new process to SIGTERM for the old one
KILL_AFTER = 3.7  # s from SIGTERM to SIGKILL
CLIENTS = 8
CUSTOMER = b"%016x" % 7


async def ask_status(port: int) -> bool:
    """Ask the operators' address whether the process is ready to serve."""
    with contextlib.suppress(OSError, asyncio.TimeoutError):
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /status HTTP/1.1\r\nHost: ops\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
    return False


def lowest_level(arrivals: list[float]) -> tuple[float, float]:
    """Return the lowest level of the ceiling's store, and when: it starts full, a unit goes at each arrival."""
    level, last, lowest, lowest_at = CEILING_BURST, arrivals[0], CEILING_BURST, arrivals[0]
    for at in arrivals:
        level = min(CEILING_BURST, level + CEILING_RATE * (at - last)) - 1
        last = at
        if level < lowest:
            lowest, lowest_at = level, at
    return lowest, lowest_at


async def case(record: Record, temporary: pathlib.Path, gateways: list[Gateway]) -> int:
    """Return by how many units the ceiling was passed, slack included."""
    rng = random.Random(4)
    arrivals: list[float] = []
    seen: set[bytes] = set()

    async def handler(backend: Backend, words: list[bytes], writer: asyncio.StreamWriter, turn: Turn) -> None:
        if words[2] not in seen:
            seen.add(words[2])
            arrivals.append(time.monotonic())
        record.write(f"run {words[2].decode()} at {backend.name}")
        await asyncio.sleep(rng.uniform(0.03, 0.06))
        await turn()
        writer.write(served(b"done " + words[2]))

    plan = {"name": "clinic", "quota_rate": RATE, "store_size": BURST, "value_factor": 1.0}
    plan |= {"over_worth": 0.2, "over_cost": 0.1, "never_over_rate": CEILING_RATE}
    plan |= {"hard_burst": CEILING_BURST, "ceiling_slack": SLACK}
    discovery = Discovery()
    await discovery.start()
    backends = [Backend(f"s-{i}", handler) for i in range(6)]
    for backend in backends:
        await backend.start()
    discovery.members = [b.entry() for b in backends]
    listener = socket.socket()
    listener.bind((HOST, 0))
    listener.listen(512)
    base = gateway_config("n0", discovery, discovery.members, settings=settings(tiers_of_service=[plan]))
    base["listen"] = f"{HOST}:{listener.getsockname()[1]}"
    ops = [free_port(), free_port()]
    old = Gateway(temporary, "old", base | {"ops": f"{HOST}:{ops[0]}"}, listener)
    gateways.append(old)
    old.start()
    await old.wait_until_ready()

    counts: Counter[str] = Counter()
    pause = [2.0 * CLIENTS]  # s between a client's requests
    is_over = False
    ids = iter(range(1, 1 << 30))

    async def use(number: int) -> None:
        """One client: a request at a time; half of the clients keep their connections."""
        client: Client | None = None
        while not is_over:
            rid = b"%016x" % next(ids)
            try:
                client = client or await Client.open(old.port)
                parameters = b"c=board-load,t=clinic,d=4000,units=1,spread=1,first=0"
                client.writer.write(command(b"API.READ", CUSTOMER, rid, parameters))
                record.write(f"sent {rid.decode()}")
                async with asyncio.timeout(6):
                    kind, _ = await client.answer()
            except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
                kind = type(error).__name__
                client = None
            record.write(f"answer {rid.decode()}: {kind}")
            counts[kind] += 1
            if client is not None and number % 2:
                client.close()
                client = None
            for _ in range(100):
                await asyncio.sleep(pause[0] / 100 * rng.uniform(0.8, 1.2))
                if pause[0] < 1:
                    await asyncio.sleep(pause[0])
                    break

    clients = [asyncio.create_task(use(i)) for i in range(CLIENTS)]
    await asyncio.sleep(CALM)
    pause[0] = 0.15
    record.say("the customer presses")
    await asyncio.sleep(PRESS)
    began = time.monotonic()
    if IS_TROUBLED:
        new = Gateway(temporary, "new", base | {"ops": f"{HOST}:{ops[1]}"}, listener, old.temporary)
        gateways.append(new)
        new.start()
        while not await ask_status(ops[1]):
            if time.monotonic() > began + TIME_FOR_YES:
                raise CannotRunError("the new process did not say yes")
            await asyncio.sleep(0.05)
        record.say(f"the new process says yes after {time.monotonic() - began:.2f} s")
        await asyncio.sleep(max(0.0, began + TIME_FOR_YES - time.monotonic()))
        os.kill(old.pid, signal.SIGTERM)
        record.say("SIGTERM to the old process")
        await asyncio.sleep(KILL_AFTER)
        old.end()
    await asyncio.sleep(max(0.0, began + AFTER - time.monotonic()))
    is_over = True
    await asyncio.gather(*clients)
    for name, start, end in (("before", began - 5, began), ("from then on", began, began + 6)):
        rate = sum(start <= at < end for at in arrivals) / (end - start)
        record.say(f"sent on {name}: {rate:.1f} units/s (ceiling {CEILING_RATE:.1f})")
    lowest, lowest_at = lowest_level(arrivals)
    allowed = -(SLACK + SOCKET_SLACK * CEILING_RATE)
    record.say(
        f"{dict(counts)}; lowest level of the ceiling's store {lowest:.2f}, "
        f"{lowest_at - began:.1f} s after the start of the new version; allowed {allowed:.2f}"
    )
    if len(arrivals) < CEILING_BURST:
        raise CannotRunError("too few requests were sent on")
    return max(0, round(allowed - lowest + 0.5)) if lowest < allowed else 0


if __name__ == "__main__":
    run_case(FOLDER, case)
