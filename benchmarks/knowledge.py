"""Measures the cost of persisted state by number of accounts: reactor iterations, CPU, bytes, and loading.

Compares whole snapshots, as the store writes them, with an append-only log of changed accounts. Absolute
figures depend on the machine: compare ratios within one run.

    python benchmarks/knowledge.py OUT_FOLDER
"""

from __future__ import annotations

import gc
import json
import os
import pathlib
import sys
import tempfile
import time

from blake3 import blake3

from corkdeal.decisions.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from corkdeal.decisions.gateway import Gateway
from corkdeal.decisions.settings import Plan, RequestClass, Settings
from corkdeal.persistence import clock
from corkdeal.persistence.capture import StateCapture
from corkdeal.persistence.codec import decode_snapshot, encode_snapshot
from corkdeal.persistence.restore import RestoredState
from corkdeal.persistence.store import SnapshotStore

SIZES = (1_000, 10_000, 100_000)
# CHANGED: accounts that change between two writes, from one gateway's requests per second
SERVERS, CHANGED, WRITES = 20, 140, 8
PLAN = Plan(rate=1.5, burst=6.0, name="family")
SETTINGS = Settings(
    gateway_index=0,
    gateway_count=3,
    classes=(RequestClass(1.5, 4.0, name="board-load"),),
    plans=(PLAN,),
    may_message_peers=True,
    max_attempts=4,
)


def gateway_with(accounts: int) -> Gateway:
    """Returns a gateway with that many accounts in use."""
    gateway = Gateway(SETTINGS, 1)
    gateway.handle(
        1000.0,
        [
            EndpointUpdate(
                UpdateKind.COMPLETE,
                tuple(Endpoint(f"s-{i:08x}", EndpointState.READY) for i in range(SERVERS)),
            )
        ],
    )
    for customer in range(accounts):
        a = gateway.account(customer * 7919, 0, customer % 3, 3)
        a.level, a.demand = customer % 50 / 10, customer % 7 / 5
    return gateway


def turns_of(steps) -> tuple[float, float, list]:
    """Runs a generator to its end; returns the longest and the total time of its steps, and its values."""
    longest, summed, made = 0.0, 0.0, []
    while True:
        began = time.perf_counter()
        try:
            made.append(next(steps))
        except StopIteration:
            took = time.perf_counter() - began
            return max(longest, took), summed + took, made
        took = time.perf_counter() - began
        longest, summed = max(longest, took), summed + took


def measure(accounts: int, folder: str) -> dict[str, float]:
    """Measures snapshots and the log for one number of accounts."""
    gateway, now = gateway_with(accounts), 1000.0
    capture, store = StateCapture(gateway, "n0", "bench"), SnapshotStore(folder)
    keys, rows, size = list(gateway.accounts), [], 0
    gc.collect()
    log = os.open(os.path.join(folder, "log"), os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    logged, log_cpu, log_wall = 0, 0.0, 0.0
    for turn in range(WRITES + 1):
        now += 1.0
        for key in keys[turn * CHANGED % len(keys) :][:CHANGED]:
            gateway.account(key, 0, 0, 3).last_request_at = now
        gateway.now = now
        cpu = time.process_time()
        longest, _, _ = turns_of(capture.steps(lambda n=now: n, clock.read_clocks, time.perf_counter))
        paging, _, pages = turns_of(capture.pages())
        began = time.perf_counter()
        head = capture.head(now, clock.read_clocks(), 1.0, False, {})
        heading = time.perf_counter() - began
        collected = time.process_time() - cpu
        began = time.perf_counter()
        parts = encode_snapshot(turn + 1, head, pages)
        encoded = time.perf_counter() - began
        store.write(lambda _, parts=parts: parts)
        wall = time.perf_counter() - began
        cpu, size = time.process_time() - cpu, sum(map(len, parts))
        if turn:  # the first write packs every account
            rows.append((max(longest, paging, heading), collected, encoded, wall, cpu))
        else:
            first = longest
        # The log: the changed accounts are appended with a hash and synced; collecting them costs the same.
        began, before = time.perf_counter(), time.process_time()
        changed = b"".join(capture.packed[k] for k in keys[turn * CHANGED % len(keys) :][:CHANGED])
        os.write(log, len(changed).to_bytes(4, "little") + blake3(changed).digest() + changed)
        os.fsync(log)
        if turn:
            log_cpu += time.process_time() - before
            log_wall += time.perf_counter() - began
            logged += len(changed) + 36
    os.close(log)
    data = (pathlib.Path(folder) / f"{WRITES + 1:016d}.know").read_bytes()
    store.close()
    began = time.perf_counter()
    document = decode_snapshot(data)[2]
    recall = RestoredState(document, 1.0, now, SETTINGS, lambda name: "", {})
    loading = time.perf_counter() - began
    mean = [sum(r[i] for r in rows) / len(rows) for i in range(5)]
    return {
        "accounts": accounts,
        "longest_turn_ms": 1000 * max(r[0] for r in rows),
        "first_turn_ms": 1000 * first,
        "collect_cpu_ms": 1000 * mean[1],
        "encode_ms": 1000 * mean[2],
        "write_ms": 1000 * mean[3],
        "core_percent": 100 * mean[4],
        "bytes": size,
        "load_ms": 1000 * loading,
        "loaded": len(recall.encoded_accounts),
        "log_write_ms": 1000 * log_wall / WRITES,
        "log_core_percent": 100 * (mean[1] + log_cpu / WRITES),
        "log_bytes": logged / WRITES,
    }


def main() -> int:
    """Measures all sizes, prints a table and draws a chart."""
    out = pathlib.Path(sys.argv[1])
    out.mkdir(parents=True, exist_ok=True)
    rows = []
    gc.collect()
    gc.freeze()
    gc.set_threshold(5000, 10, 50)  # as in corkdeal/net/__main__.py
    for accounts in SIZES:
        with tempfile.TemporaryDirectory() as folder:
            os.chmod(folder, 0o700)
            rows.append(measure(accounts, folder))
    names = list(rows[0])
    print("| " + " | ".join(names) + " |\n|" + " --- |" * len(names))
    for row in rows:
        print(
            "| "
            + " | ".join(f"{row[n]:.2f}" if isinstance(row[n], float) else str(row[n]) for n in names)
            + " |"
        )
    (out / "knowledge-cost.json").write_text(json.dumps(rows, indent=1))
    draw(rows, out / "knowledge-cost.svg")
    return 0


def draw(rows: list[dict[str, float]], path: pathlib.Path) -> None:
    """Draws cost by number of accounts on logarithmic axes."""
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "corkdeal"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.4))
    for name, limit in (("longest_turn_ms", 2.0), ("write_ms", None), ("load_ms", 50.0)):
        (line,) = axes[0].plot([r["accounts"] for r in rows], [r[name] for r in rows], "o-", label=name)
        if limit:
            axes[0].axhline(limit, color=line.get_color(), linestyle=":", linewidth=0.8)
    for name, label in (("core_percent", "snapshot"), ("log_core_percent", "append log")):
        axes[1].plot([r["accounts"] for r in rows], [r[name] for r in rows], "o-", label=label)
    axes[1].axhline(1.0, color="grey", linestyle=":", linewidth=0.8)
    axes[0].set_ylabel("ms (dotted: target)")
    axes[1].set_ylabel("% of a core at one write per second")
    for axis in axes:
        axis.set_xscale("log")
        axis.set_yscale("log")
        axis.set_xlabel("accounts")
        axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


if __name__ == "__main__":
    sys.exit(main())
