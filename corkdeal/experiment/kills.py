"""Kills real gateways at random moments under load, hundreds of times, and looks at what each death left.

After every kill the folder is opened by the real loader: no file may be damaged, no generation may go back,
every account must be readable. Then the gateway starts again and must say that it loaded what was found.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import shutil
import tempfile
import time
from typing import Any

from ..persistence.codec import decode_account
from ..persistence.store import SnapshotStore, gateway_folder, match_snapshot_name
from ..standin import clients, fleet
from ..standin.discovery import Discovery
from ..standin.servers import Model, Server, work_drawer

LIFE = (0.05, 0.9)  # s that a gateway lives after it answered
EVERY = 0.1  # s between writes: the more writes, the more kills fall into one


class Broken(AssertionError):
    """A death left what it must not."""


def looked_into(folder: str, least: int) -> tuple[int, int]:
    """The newest generation and its accounts; `Broken` where a file is damaged or a generation went back."""
    store = SnapshotStore(folder)
    store.open()
    loaded = store.load()
    store.close()
    if loaded.rejected:
        raise Broken(f"{folder}: {loaded.rejected}")
    if loaded.snapshot is None:
        if least:
            raise Broken(f"{folder}: generation {least} is gone")
        return 0, 0
    named = match_snapshot_name(loaded.file)
    generation = int(named[1]) if named else 0
    if generation < least:
        raise Broken(f"{folder}: generation {generation} after {least}")
    accounts = [decode_account(raw) for raw in loaded.snapshot.encoded_accounts().values()]
    return generation, len(accounts)


async def one(
    gateway: fleet.Gateway, discovery: Discovery, folder: str, times: int, chance: random.Random
) -> dict[str, int]:
    """Kill one gateway so often."""
    newest = written = loads = most = 0
    for _ in range(times):
        await gateway.start(discovery.document())
        await asyncio.sleep(chance.uniform(*LIFE))
        await gateway.end()
        found, accounts = looked_into(folder, newest)
        written, newest, most = written + found - newest, found, max(most, accounts)
    for line in gateway.log.read_text().splitlines():
        loads += "knowledge_loaded" in line
        if "knowledge_refused" in line or "module_failed" in line or "collect_failed" in line:
            raise Broken(line)
    return {"kills": times, "generations": written, "loads": loads, "most_accounts": most}


async def play(kills: int, together: int, seed: int) -> dict[str, Any]:
    """All kills, spread over so many gateways of one tier."""
    folder, chance = pathlib.Path(tempfile.mkdtemp(prefix="kills-")), random.Random(seed)
    servers = [
        Server(Model(f"s-{i}", fleet.HALLS[i % 3]), work_drawer(chance, 0.02, 0.5), lambda a: None)
        for i in range(6)
    ]
    for s in servers:
        await s.start()
    discovery = Discovery(lambda: [s.entry() for s in servers])
    await discovery.start()
    options = f'knowledge path="{folder}/state" every={EVERY} read-wait=10\n'
    gateways = fleet.tier(together, discovery.port, folder, clients.PLANS, options)
    who = clients.customers(chance, 60.0, together)
    began = time.monotonic()
    asks = clients.arrivals(chance, who, 2.5 * kills / together + 10, together)
    front = clients.Clients(gateways, asks, chance)
    load = asyncio.ensure_future(front.run(began))
    try:
        done = await asyncio.gather(
            *(
                one(
                    g,
                    discovery,
                    gateway_folder(f"{folder}/state", g.config["name"]),
                    kills // together,
                    random.Random(f"{seed}-{g.number}"),
                )
                for g in gateways
            )
        )
    finally:
        load.cancel()
        for g in gateways:
            await g.end()
        for s in servers:
            s.die()
        shutil.rmtree(folder, ignore_errors=True)
    total = {key: sum(d[key] for d in done) for key in ("kills", "generations", "loads")}
    return {
        **total,
        "most_accounts": max(d["most_accounts"] for d in done),
        "damaged": 0,
        "lost": 0,
        "seconds": round(time.monotonic() - began, 1),
    }
