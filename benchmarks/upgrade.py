"""Measures the units that two incarnations admit during an upgrade under load, relative to the quota.

PYTHONPATH=. python -O benchmarks/upgrade.py [--seeds 20] [--out FILE]
PYTHONPATH=. python -O benchmarks/upgrade.py --turns ACCOUNTS

Starts gateway processes on one listening socket. Each account demands twice its rate over persistent
connections. A successor starts beside its predecessor, which gets SIGTERM once the successor serves. For the
runs without hand-over, a file stands where the hand-over folder should be, so that each incarnation spends a
whole quota.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import gc
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from typing import Any

from benchmarks.bodies import endpoint_list, free_port, gateway_settings, wait_until_listening, write_results

ROOT = pathlib.Path(__file__).parents[1]
ACCOUNTS, RATE, BURST, CLIENTS, LOAD_BEFORE_S, LOAD_AFTER_S = 20, 2.0, 6.0, 8, 2.0, 3.0


def run_backend(sock: socket.socket, served: Counter[bytes], lock: threading.Lock) -> None:
    """Replies to every request and counts requests by customer."""

    def serve_connection(conn: socket.socket) -> None:
        file = conn.makefile("rb")
        while head := file.readline():
            arguments = [file.read(int(file.readline()[1:]) + 2)[:-2] for _ in range(int(head[1:]))]
            with lock:
                served[arguments[1]] += 1
            conn.sendall(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")

    while True:
        try:
            threading.Thread(target=serve_connection, args=(sock.accept()[0],), daemon=True).start()
        except OSError:
            return


def run_client(port: int, number: int, until: float, rng: random.Random, counters: Counter[str]) -> None:
    """Sends requests on one connection; reconnects and retries once if it is closed."""
    connection, stream, rid = None, None, number << 32
    pause = CLIENTS / (ACCOUNTS * RATE * 2)
    while time.monotonic() < until:
        rid += 1
        arguments = [
            b"API.READ",
            b"%016x" % rng.randrange(ACCOUNTS),
            b"%016x" % rid,
            b"c=look,t=p,d=5000,units=1,spread=1,first=0",
        ]
        request = b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in arguments)
        for _ in range(2):
            try:
                if connection is None:
                    connection = socket.create_connection(("127.0.0.1", port), 5)
                    stream = connection.makefile("rb")
                connection.sendall(request)
                if first_line := stream.readline():  # type: ignore[union-attr]
                    if first_line[:1] == b"$":
                        stream.readline()  # type: ignore[union-attr]
                    break
            except OSError:
                pass
            counters["failed attempts"] += 1
            connection = None
        time.sleep(rng.expovariate(1 / pause))


def run_upgrade(seed: int, mode: str) -> dict[str, Any]:
    """Runs one upgrade; returns the largest excess over a quota, and totals as shares of the quotas."""
    rng, served, lock, counters = random.Random(seed), Counter(), threading.Lock(), Counter()
    listener, backend_socket = (
        socket.create_server(("127.0.0.1", 0), backlog=256),
        socket.create_server(("127.0.0.1", 0)),
    )
    threading.Thread(target=run_backend, args=(backend_socket, served, lock), daemon=True).start()
    plans = [{"name": "p", "quota_rate": RATE, "store_size": BURST}]
    with tempfile.TemporaryDirectory() as folder:
        if mode == "without":
            pathlib.Path(folder, "corkdeal-lives").write_text("taken")
        path, port = pathlib.Path(folder, "config.json"), listener.getsockname()[1]
        path.write_text(
            json.dumps(
                {
                    "name": "n",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": f"127.0.0.1:{free_port()}",
                    "seed": "1",
                    "known": endpoint_list(backend_socket.getsockname()[1]),
                    "settings": {**gateway_settings(), "tiers_of_service": plans},
                }
            )
        )
        env = {
            **os.environ,
            "RELAY_CONFIG": str(path),
            "TMPDIR": folder,
            "PYTHONPATH": str(ROOT),
            "RELAY_INHERITED_FD": str(listener.fileno()),
        }

        def start_gateway() -> subprocess.Popen[str]:
            incarnation = subprocess.Popen(
                [sys.executable, "-O", "-m", "corkdeal.net"],
                cwd=ROOT,
                env=env,
                text=True,
                pass_fds=(listener.fileno(),),
                stdout=subprocess.PIPE,
            )
            assert incarnation.stdout is not None
            for line in incarnation.stdout:
                if "serving " in line:
                    break
            threading.Thread(target=incarnation.stdout.read, daemon=True).start()
            return incarnation

        incarnations = [start_gateway()]
        wait_until_listening(port)
        started_at = time.monotonic()
        threads = [
            threading.Thread(
                target=run_client,
                args=(
                    port,
                    n,
                    started_at + LOAD_BEFORE_S + LOAD_AFTER_S,
                    random.Random(seed * 100 + n),
                    counters,
                ),
            )
            for n in range(CLIENTS)
        ]
        for each in threads:
            each.start()
        time.sleep(LOAD_BEFORE_S + rng.random() * 0.5)
        if mode != "no upgrade":
            incarnations.append(start_gateway())
            incarnations[0].send_signal(signal.SIGTERM)
        for each in threads:
            each.join()
        elapsed = time.monotonic() - started_at
        for incarnation in incarnations:
            incarnation.kill()
            incarnation.wait()
        listener.close()
        backend_socket.close()
    quota = BURST + RATE * elapsed
    excesses = [max(0.0, n - quota) for n in served.values()]
    return {
        "most_over_units": round(max(excesses), 2),
        "over_share": round(sum(excesses) / (quota * ACCOUNTS), 4),
        "used_share": round(sum(min(n, quota) for n in served.values()) / (quota * ACCOUNTS), 4),
        "asked_again": counters["failed attempts"],
    }


def measure_blocking(accounts: int) -> dict[str, float]:
    """Returns how long a hand-over blocks the reactor for that many accounts, in ms.

    The predecessor encodes the remaining accounts in one step; the successor restores them in several.
    """
    from benchmarks.knowledge import make_gateway
    from corkdeal.net.__main__ import GC_THRESHOLD
    from corkdeal.persistence import clock, quota_handover
    from corkdeal.persistence.capture import StateCapture
    from corkdeal.persistence.codec import decode_snapshot, encode_snapshot
    from corkdeal.persistence.restore import RestoredState

    predecessor, now = make_gateway(accounts), 1000.0
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 10, 50)  # as in corkdeal/net/__main__.py
    started_at = time.perf_counter()
    capture = StateCapture(predecessor, "n", "")
    for _ in capture.steps(lambda: now, clock.read_clocks, lambda: 0.0):
        pass
    head = capture.head(now, clock.read_clocks(), 0.0, True, {})
    data = b"".join(encode_snapshot(1, head, list(capture.pages())))
    encode_time = time.perf_counter() - started_at
    restored = RestoredState(
        decode_snapshot(data)[2], 0.1, now, predecessor.settings, lambda name: "", Counter()
    )
    successor = make_gateway(0)
    steps = quota_handover.take_over_remainder(
        successor, lambda: now, quota_handover.PartialState(restored, 0.3), restored, 0.7
    )
    longest_step, total, ended = 0.0, 0.0, False
    while not ended:
        started_at = time.perf_counter()
        ended = next(steps, True) is True
        elapsed = time.perf_counter() - started_at
        longest_step, total = max(longest_step, elapsed), total + elapsed
    assert len(successor.accounts) == accounts
    return {
        "made_ms": round(1000 * encode_time, 1),
        "taken_longest_ms": round(1000 * longest_step, 1),
        "taken_ms": round(1000 * total, 1),
    }


def main() -> int:
    """Runs all seeds without an upgrade, with hand-over and without it, four at a time."""
    parser = argparse.ArgumentParser(description="Units admitted during an upgrade, relative to the quota.")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--out")
    parser.add_argument("--turns", type=int, help="measure only how long a hand-over blocks the reactor")
    args, results = parser.parse_args(), {}
    if args.turns:
        print(json.dumps(measure_blocking(args.turns)))
        return 0
    with concurrent.futures.ProcessPoolExecutor(4) as pool:
        for mode in ("no upgrade", "with hand-over", "without"):
            runs = list(pool.map(run_upgrade, range(args.seeds), [mode] * args.seeds))
            results[mode] = {
                key: {
                    "mean": round(sum(r[key] for r in runs) / len(runs), 4),
                    "worst": (min if key == "used_share" else max)(r[key] for r in runs),
                }
                for key in runs[0]
            }
            results[mode]["seeds"] = args.seeds
    print(json.dumps(results, indent=1))
    write_results(results, args.out)
    return 0


if __name__ == "__main__":
    sys.exit(main())
