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
ACCOUNTS, RATE, BURST, CLIENTS, BEFORE, AFTER = 20, 2.0, 6.0, 8, 2.0, 3.0


def backend(sock: socket.socket, seen: Counter[bytes], lock: threading.Lock) -> None:
    """Replies to every request and counts requests by customer."""

    def follow(conn: socket.socket) -> None:
        file = conn.makefile("rb")
        while head := file.readline():
            words = [file.read(int(file.readline()[1:]) + 2)[:-2] for _ in range(int(head[1:]))]
            with lock:
                seen[words[1]] += 1
            conn.sendall(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")

    while True:
        try:
            threading.Thread(target=follow, args=(sock.accept()[0],), daemon=True).start()
        except OSError:
            return


def client(port: int, number: int, until: float, chance: random.Random, faults: Counter[str]) -> None:
    """Sends requests on one connection; reconnects and retries once if it is closed."""
    made, file, rid = None, None, number << 32
    pause = CLIENTS / (ACCOUNTS * RATE * 2)
    while time.monotonic() < until:
        rid += 1
        words = [
            b"API.READ",
            b"%016x" % chance.randrange(ACCOUNTS),
            b"%016x" % rid,
            b"c=look,t=p,d=5000,units=1,spread=1,first=0",
        ]
        raw = b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)
        for _ in range(2):
            try:
                if made is None:
                    made = socket.create_connection(("127.0.0.1", port), 5)
                    file = made.makefile("rb")
                made.sendall(raw)
                if head := file.readline():  # type: ignore[union-attr]
                    if head[:1] == b"$":
                        file.readline()  # type: ignore[union-attr]
                    break
            except OSError:
                pass
            faults["asked again"] += 1
            made = None
        time.sleep(chance.expovariate(1 / pause))


def play(seed: int, way: str) -> dict[str, Any]:
    """Runs one upgrade; returns the largest excess over a quota, and totals as shares of the quotas."""
    chance, seen, lock, faults = random.Random(seed), Counter(), threading.Lock(), Counter()
    listener, inner = (
        socket.create_server(("127.0.0.1", 0), backlog=256),
        socket.create_server(("127.0.0.1", 0)),
    )
    threading.Thread(target=backend, args=(inner, seen, lock), daemon=True).start()
    plans = [{"name": "p", "quota_rate": RATE, "store_size": BURST}]
    with tempfile.TemporaryDirectory() as folder:
        if way == "without":
            pathlib.Path(folder, "corkdeal-lives").write_text("taken")
        path, port = pathlib.Path(folder, "config.json"), listener.getsockname()[1]
        path.write_text(
            json.dumps(
                {
                    "name": "n",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": f"127.0.0.1:{free_port()}",
                    "seed": "1",
                    "known": endpoint_list(inner.getsockname()[1]),
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

        def start() -> subprocess.Popen[str]:
            life = subprocess.Popen(
                [sys.executable, "-O", "-m", "corkdeal.net"],
                cwd=ROOT,
                env=env,
                text=True,
                pass_fds=(listener.fileno(),),
                stdout=subprocess.PIPE,
            )
            assert life.stdout is not None
            for line in life.stdout:
                if "serving " in line:
                    break
            threading.Thread(target=life.stdout.read, daemon=True).start()
            return life

        lives = [start()]
        wait_until_listening(port)
        began = time.monotonic()
        threads = [
            threading.Thread(
                target=client, args=(port, n, began + BEFORE + AFTER, random.Random(seed * 100 + n), faults)
            )
            for n in range(CLIENTS)
        ]
        for each in threads:
            each.start()
        time.sleep(BEFORE + chance.random() * 0.5)
        if way != "no upgrade":
            lives.append(start())
            lives[0].send_signal(signal.SIGTERM)
        for each in threads:
            each.join()
        took = time.monotonic() - began
        for life in lives:
            life.kill()
            life.wait()
        listener.close()
        inner.close()
    quota = BURST + RATE * took
    over = [max(0.0, n - quota) for n in seen.values()]
    return {
        "most_over_units": round(max(over), 2),
        "over_share": round(sum(over) / (quota * ACCOUNTS), 4),
        "used_share": round(sum(min(n, quota) for n in seen.values()) / (quota * ACCOUNTS), 4),
        "asked_again": faults["asked again"],
    }


def turns(accounts: int) -> dict[str, float]:
    """Returns how long a hand-over blocks the reactor for that many accounts, in ms.

    The predecessor encodes the remaining accounts in one step; the successor restores them in several.
    """
    from benchmarks.knowledge import gateway_with
    from corkdeal.net.__main__ import GC_EVERY
    from corkdeal.persistence import clock, quota_handover
    from corkdeal.persistence.capture import StateCapture
    from corkdeal.persistence.codec import decode_snapshot, encode_snapshot
    from corkdeal.persistence.restore import RestoredState

    old, now = gateway_with(accounts), 1000.0
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_EVERY, 10, 50)  # as in corkdeal/net/__main__.py
    began = time.perf_counter()
    capture = StateCapture(old, "n", "")
    for _ in capture.steps(lambda: now, clock.read_clocks, lambda: 0.0):
        pass
    head = capture.head(now, clock.read_clocks(), 0.0, True, {})
    data = b"".join(encode_snapshot(1, head, list(capture.pages())))
    made = time.perf_counter() - began
    known = RestoredState(decode_snapshot(data)[2], 0.1, now, old.settings, lambda name: "", Counter())
    new = gateway_with(0)
    steps = quota_handover.take_rest(new, lambda: now, quota_handover.PartialState(known, 0.3), known, 0.7)
    longest, whole, ended = 0.0, 0.0, False
    while not ended:
        began = time.perf_counter()
        ended = next(steps, True) is True
        took = time.perf_counter() - began
        longest, whole = max(longest, took), whole + took
    assert len(new.accounts) == accounts
    return {
        "made_ms": round(1000 * made, 1),
        "taken_longest_ms": round(1000 * longest, 1),
        "taken_ms": round(1000 * whole, 1),
    }


def main() -> int:
    """Runs all seeds without an upgrade, with hand-over and without it, four at a time."""
    asked = argparse.ArgumentParser(description="Units admitted during an upgrade, relative to the quota.")
    asked.add_argument("--seeds", type=int, default=20)
    asked.add_argument("--out")
    asked.add_argument("--turns", type=int, help="measure only how long a hand-over blocks the reactor")
    given, results = asked.parse_args(), {}
    if given.turns:
        print(json.dumps(turns(given.turns)))
        return 0
    with concurrent.futures.ProcessPoolExecutor(4) as pool:
        for name in ("no upgrade", "with hand-over", "without"):
            runs = list(pool.map(play, range(given.seeds), [name] * given.seeds))
            results[name] = {
                key: {
                    "mean": round(sum(r[key] for r in runs) / len(runs), 4),
                    "worst": (min if key == "used_share" else max)(r[key] for r in runs),
                }
                for key in runs[0]
            }
            results[name]["seeds"] = given.seeds
    print(json.dumps(results, indent=1))
    write_results(results, given.out)
    return 0


if __name__ == "__main__":
    sys.exit(main())
