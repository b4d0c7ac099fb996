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
from ..standin.backends import BackendModel, FakeBackend, gamma_work
from ..standin.discovery import Discovery

UPTIME_RANGE = (0.05, 0.9)  # s between the first reply of a gateway and its kill, drawn uniformly
SNAPSHOT_INTERVAL = 0.1  # s between snapshots; frequent ones make a kill during a write likely


class InvalidState(AssertionError):
    """A kill left an invalid state or log."""


def check_state(state_folder: str, min_generation: int) -> tuple[int, int]:
    """Load the state in a folder; returns the newest generation and the number of its accounts.

    Raises `InvalidState` if a file is damaged or the generation is below `min_generation`, that of the
    previous check.
    """
    store = SnapshotStore(state_folder)
    store.open()
    result = store.load()
    store.close()
    if result.rejected:
        raise InvalidState(f"{state_folder}: the loader rejected {result.rejected}")
    if result.snapshot is None:
        if min_generation:
            raise InvalidState(
                f"{state_folder}: no snapshot found, although generation {min_generation} was written"
            )
        return 0, 0
    match = match_snapshot_name(result.file)
    generation = int(match[1]) if match else 0
    if generation < min_generation:
        raise InvalidState(f"{state_folder}: found generation {generation} after generation {min_generation}")
    accounts = [decode_account(encoded) for encoded in result.snapshot.encoded_accounts().values()]
    return generation, len(accounts)


async def kill_repeatedly(
    gateway: fleet.Gateway, discovery: Discovery, state_folder: str, kill_count: int, rng: random.Random
) -> dict[str, int]:
    """Start and kill one gateway `kill_count` times, and check its state after each kill."""
    generation = generation_count = load_count = max_accounts = 0
    for _ in range(kill_count):
        await gateway.start(discovery.document())
        await asyncio.sleep(rng.uniform(*UPTIME_RANGE))
        await gateway.stop()
        new_generation, account_count = check_state(state_folder, generation)
        generation_count, generation, max_accounts = (
            generation_count + new_generation - generation,
            new_generation,
            max(max_accounts, account_count),
        )
    for line in gateway.log.read_text().splitlines():
        load_count += "knowledge_loaded" in line
        if "knowledge_refused" in line or "decisions_failed" in line or "collect_failed" in line:
            raise InvalidState(line)
    return {
        "kills": kill_count,
        "generations": generation_count,
        "loads": load_count,
        "most_accounts": max_accounts,
    }


async def run(kill_count: int, gateway_count: int, seed: int) -> dict[str, Any]:
    """Kill `kill_count` times in all, spread evenly over a tier of `gateway_count` gateways."""
    folder, rng = pathlib.Path(tempfile.mkdtemp(prefix="kills-")), random.Random(seed)
    servers = [
        FakeBackend(BackendModel(f"s-{i}", fleet.ZONES[i % 3]), gamma_work(rng, 0.02, 0.5), lambda a: None)
        for i in range(6)
    ]
    for server in servers:
        await server.start()
    discovery = Discovery(lambda: [server.entry() for server in servers])
    await discovery.start()
    options = f'knowledge path="{folder}/state" every={SNAPSHOT_INTERVAL} read-wait=10\n'
    gateways = fleet.create_gateways(gateway_count, discovery.port, folder, clients.PLANS, options)
    customers = clients.customers(rng, 60.0, gateway_count)
    started_at = time.monotonic()
    requests = clients.arrivals(rng, customers, 2.5 * kill_count / gateway_count + 10, gateway_count)
    load_generator = clients.Clients(gateways, requests, rng)
    load_task = asyncio.ensure_future(load_generator.run(started_at))
    try:
        results = await asyncio.gather(
            *(
                kill_repeatedly(
                    gateway,
                    discovery,
                    gateway_folder(f"{folder}/state", gateway.config["name"]),
                    kill_count // gateway_count,
                    random.Random(f"{seed}-{gateway.number}"),
                )
                for gateway in gateways
            )
        )
    finally:
        load_task.cancel()
        for gateway in gateways:
            await gateway.stop()
        for server in servers:
            server.crash()
        shutil.rmtree(folder, ignore_errors=True)
    totals = {key: sum(result[key] for result in results) for key in ("kills", "generations", "loads")}
    return {
        **totals,
        "most_accounts": max(result["most_accounts"] for result in results),
        "damaged": 0,
        "lost": 0,
        "seconds": round(time.monotonic() - started_at, 1),
    }
