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
# CHANGED_ACCOUNTS: accounts that change between two writes, from one gateway's requests per second
BACKENDS, CHANGED_ACCOUNTS, WRITES = 20, 140, 8
PLAN = Plan(rate=1.5, burst=6.0, name="family")
SETTINGS = Settings(
    gateway_index=0,
    gateway_count=3,
    classes=(RequestClass(1.5, 4.0, name="board-load"),),
    plans=(PLAN,),
    may_message_peers=True,
    max_attempts=4,
)


def make_gateway(accounts: int) -> Gateway:
    """Returns a gateway with that many accounts in use."""
    gateway = Gateway(SETTINGS, 1)
    gateway.handle(
        1000.0,
        [
            EndpointUpdate(
                UpdateKind.COMPLETE,
                tuple(Endpoint(f"s-{i:08x}", EndpointState.READY) for i in range(BACKENDS)),
            )
        ],
    )
    for customer in range(accounts):
        account = gateway.account(customer * 7919, 0, customer % 3, 3)
        account.level, account.demand = customer % 50 / 10, customer % 7 / 5
    return gateway


def time_steps(steps) -> tuple[float, float, list]:
    """Runs a generator to its end; returns the longest and the total time of its steps, and its values."""
    longest, total, values = 0.0, 0.0, []
    while True:
        started_at = time.perf_counter()
        try:
            values.append(next(steps))
        except StopIteration:
            elapsed = time.perf_counter() - started_at
            return max(longest, elapsed), total + elapsed, values
        elapsed = time.perf_counter() - started_at
        longest, total = max(longest, elapsed), total + elapsed


def measure(accounts: int, folder: str) -> dict[str, float]:
    """Measures snapshots and the log for one number of accounts."""
    gateway, now = make_gateway(accounts), 1000.0
    capture, store = StateCapture(gateway, "n0", "bench"), SnapshotStore(folder)
    keys, rows, size = list(gateway.accounts), [], 0
    gc.collect()
    log = os.open(os.path.join(folder, "log"), os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    logged, log_cpu, log_wall = 0, 0.0, 0.0
    for write in range(WRITES + 1):
        now += 1.0
        for key in keys[write * CHANGED_ACCOUNTS % len(keys) :][:CHANGED_ACCOUNTS]:
            gateway.account(key, 0, 0, 3).last_request_at = now
        gateway.now = now
        cpu = time.process_time()
        longest, _, _ = time_steps(capture.steps(lambda n=now: n, clock.read_clocks, time.perf_counter))
        longest_page_step, _, pages = time_steps(capture.pages())
        started_at = time.perf_counter()
        head = capture.head(now, clock.read_clocks(), 1.0, False, {})
        head_time = time.perf_counter() - started_at
        collect_cpu = time.process_time() - cpu
        started_at = time.perf_counter()
        parts = encode_snapshot(write + 1, head, pages)
        encode_time = time.perf_counter() - started_at
        store.write(lambda _, parts=parts: parts)
        write_time = time.perf_counter() - started_at
        cpu, size = time.process_time() - cpu, sum(map(len, parts))
        if write:  # the first write packs every account
            rows.append(
                (max(longest, longest_page_step, head_time), collect_cpu, encode_time, write_time, cpu)
            )
        else:
            first_longest = longest
        # The log: the changed accounts are appended with a hash and synced; collecting them costs the same.
        started_at, cpu_before = time.perf_counter(), time.process_time()
        changed = b"".join(
            capture.encoded_entries[k]
            for k in keys[write * CHANGED_ACCOUNTS % len(keys) :][:CHANGED_ACCOUNTS]
        )
        os.write(log, len(changed).to_bytes(4, "little") + blake3(changed).digest() + changed)
        os.fsync(log)
        if write:
            log_cpu += time.process_time() - cpu_before
            log_wall += time.perf_counter() - started_at
            logged += len(changed) + 36
    os.close(log)
    data = (pathlib.Path(folder) / f"{WRITES + 1:016d}.know").read_bytes()
    store.close()
    started_at = time.perf_counter()
    document = decode_snapshot(data)[2]
    restored = RestoredState(document, 1.0, now, SETTINGS, lambda name: "", {})
    load_time = time.perf_counter() - started_at
    mean = [sum(r[i] for r in rows) / len(rows) for i in range(5)]
    return {
        "accounts": accounts,
        "longest_turn_ms": 1000 * max(r[0] for r in rows),
        "first_turn_ms": 1000 * first_longest,
        "collect_cpu_ms": 1000 * mean[1],
        "encode_ms": 1000 * mean[2],
        "write_ms": 1000 * mean[3],
        "core_percent": 100 * mean[4],
        "bytes": size,
        "load_ms": 1000 * load_time,
        "loaded": len(restored.encoded_accounts),
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
    draw_chart(rows, out / "knowledge-cost.svg")
    return 0


def draw_chart(rows: list[dict[str, float]], path: pathlib.Path) -> None:
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
