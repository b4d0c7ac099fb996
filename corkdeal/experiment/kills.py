"""Crash test: kills real gateways at random moments under load, then checks their persisted state.

After every kill the production loader opens the folder: no file may be damaged, the generation may not
decrease, and every account must be decodable. The gateway is then started again. Its log may report no
rejected snapshot, no failure to collect one and no exception in the decisions.
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

LIFE = (0.05, 0.9)  # s between the first reply of a gateway and its kill, drawn uniformly
EVERY = 0.1  # s between snapshots; frequent ones make a kill during a write likely


class Broken(AssertionError):
    """A kill left an invalid state or log."""


def looked_into(folder: str, least: int) -> tuple[int, int]:
    """Load the state in a folder; returns the newest generation and the number of its accounts.

    Raises `Broken` if a file is damaged or the generation is below `least`, that of the previous check.
    """
    store = SnapshotStore(folder)
    store.open()
    loaded = store.load()
    store.close()
    if loaded.rejected:
        raise Broken(f"{folder}: the loader rejected {loaded.rejected}")
    if loaded.snapshot is None:
        if least:
            raise Broken(f"{folder}: no snapshot found, although generation {least} was written")
        return 0, 0
    named = match_snapshot_name(loaded.file)
    generation = int(named[1]) if named else 0
    if generation < least:
        raise Broken(f"{folder}: found generation {generation} after generation {least}")
    accounts = [decode_account(raw) for raw in loaded.snapshot.encoded_accounts().values()]
    return generation, len(accounts)


async def one(
    gateway: fleet.Gateway, discovery: Discovery, folder: str, times: int, chance: random.Random
) -> dict[str, int]:
    """Start and kill one gateway `times` times, and check its state after each kill."""
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
    """Kill `kills` times in all, spread evenly over a tier of `together` gateways."""
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
