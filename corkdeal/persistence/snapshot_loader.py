"""Loads the newest snapshot before a gateway starts and restores the decisions from it."""

from __future__ import annotations

import concurrent.futures
import time
from collections import Counter

from .. import logs
from . import clock
from .codec import Snapshot
from .host import GatewayHost, format_address
from .restore import RestoredState
from .store import LoadedSnapshot, SnapshotStore
from .worker import WorkerThread

MAX_LOGGED_AGE = 1e12  # seconds; a greater age is logged as `endless`


def load_snapshot(
    worker: WorkerThread, store: SnapshotStore, timeout: float, counts: Counter[str]
) -> LoadedSnapshot | None:
    """Open the store and load its newest snapshot, in the worker's thread.

    Returns None if that takes longer than `timeout` seconds; a later result is dropped. Raises what
    `SnapshotStore.open` raises.
    """

    def open_and_load() -> LoadedSnapshot:
        store.open()
        return store.load()

    started_at = time.monotonic()
    future = worker.submit(open_and_load)
    concurrent.futures.wait([future], timeout)
    if not future.done():
        counts["knowledge_late"] += 1
        logs.event("knowledge_late", waited=round(time.monotonic() - started_at, 3))
        return None
    loaded = future.result()
    for rejected in loaded.rejected:
        counts["knowledge_refused"] += 1
        logs.event("knowledge_refused", file=rejected.file, why=rejected.reason)
    if loaded.snapshot is None:
        logs.event("knowledge_none", folder=store.folder)
    return loaded


def restore_snapshot(
    loaded: LoadedSnapshot, snapshot: Snapshot, gateway: GatewayHost, counts: Counter[str]
) -> RestoredState | None:
    """Restore the decisions from a snapshot; returns None for another gateway's or an expired one."""
    if snapshot.head.name != gateway.config.name:
        counts["knowledge_foreign"] += 1
        logs.event("knowledge_foreign", file=loaded.file, name=snapshot.head.name)
        return None
    age, anomalies = clock.measure_age(snapshot.head.clock, clock.read_clocks())
    counts.update(anomalies)
    pool = gateway.pool
    restored = RestoredState(
        snapshot,
        age,
        gateway.now(),
        gateway.settings,
        lambda name: format_address(pool.addresses.get(name)),
        counts,
    )
    anomaly_names = ",".join(anomalies)
    if restored.has_expired:
        counts["knowledge_useless"] += 1
        logs.event("knowledge_useless", file=loaded.file, age=format_age(age), odd=anomaly_names)
        return None
    gateway.decisions.restore(restored)
    logs.event(
        "knowledge_loaded",
        file=loaded.file,
        format=loaded.format,
        age=format_age(age),
        servers=len(restored.backends),
        accounts=len(restored.encoded_accounts),
        resumes=restored.may_resume(),
        odd=anomaly_names,
    )
    return restored


def format_age(age: float) -> str:
    """Return an age in seconds in the form of a log line."""
    return f"{age:.3f}" if age < MAX_LOGGED_AGE else "endless"
