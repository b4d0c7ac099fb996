"""Measures CPU, throughput and memory of a gateway by value size, for reads and writes.

PYTHONPATH=. python -O benchmarks/bodies.py [--tree DIR] [--out FILE]
PYTHONPATH=. python -O benchmarks/bodies.py --paired --tree DIR [--options FILE] [--out FILE]
PYTHONPATH=. python -O benchmarks/bodies.py --crowd [--out FILE]

The first form runs the same load through Twisted's port forwarder, which parses nothing, and through the
revision checked out in DIR. `--paired` compares only the CPU time of 4 KiB reads with the revision in DIR;
`--options` gives this revision alone an operators' file. `--crowd` has 200 slow clients transfer 4 MiB each.
Absolute figures depend on the machine: compare ratios within one run.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import os
import pathlib
import re
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any

ROOT = pathlib.Path(__file__).parents[1]
SIZES = {4 << 10: 3000, 64 << 10: 1200, 1 << 20: 150, 4 << 20: 50}  # value size in bytes: requests
PAIRS, PAIR_REQUESTS = 20, 1200
CLIENTS, CROWD, CROWD_S, MEMORY_MB = 4, 200, 20.0, 80
TAIL = b"$-1\r\n$-1\r\n"
FORWARDER = """
import sys
from twisted.internet import reactor
from twisted.protocols.portforward import ProxyFactory
reactor.listenTCP(int(sys.argv[1]), ProxyFactory("127.0.0.1", int(sys.argv[2])), interface="127.0.0.1")
reactor.run()
"""


def free() -> int:
    """Returns a free loopback port."""
    with socket.create_server(("127.0.0.1", 0)) as s:
        return s.getsockname()[1]


def settings() -> dict[str, Any]:
    """Returns gateway settings with one class for reads, one for writes, and an unreachably high quota."""
    return {
        "balancers": 1,
        "me": 0,
        "failure_domains": ["a"],
        "host_types": ["x"],
        "zone": 0,
        "membership_mode": "pushed",
        "granularity_us": 1000,
        "classes": [
            {"name": "look", "aim_us": 20_000_000, "deadline_us": 60_000_000, "semantics": "pure"},
            {"name": "pay", "aim_us": 20_000_000, "deadline_us": 60_000_000, "semantics": "side_effect"},
        ],
        "tiers_of_service": [{"name": "p", "quota_rate": 1e6, "store_size": 1e6}],
        "policy_limits": {"max_attempts": 1, "connect_timeout_us": 2_000_000, "conn_idle_us": 30_000_000},
        "rules": {
            "drain_grace_us": 250000,
            "answer_slack_us": 16000,
            "fall_multiple": 4,
            "fall_us": 1000000,
            "cold_share": 0.25,
            "warm_within_us": 16000000,
        },
    }


def exactly(sock: socket.socket, buf: memoryview) -> bytes:
    """Fills `buf` from the socket and returns its first 64 bytes."""
    got = 0
    while got < len(buf):
        if not (n := sock.recv_into(buf[got:])):
            raise ConnectionError(f"connection closed after {got} of {len(buf)} bytes: {bytes(buf[:80])!r}")
        got += n
    return bytes(buf[:64])


def backend(port: int) -> None:
    """Replies to every request; a read's customer number is the size of the value to return."""

    def follow(sock: socket.socket) -> None:
        file = sock.makefile("rb", 1 << 18)
        while head := file.readline():
            words = []
            for _ in range(int(head[1:])):
                words.append(file.read(int(file.readline()[1:]) + 2)[:-2])
            size = int(words[1], 16) if words[0] == b"API.READ" else 1
            sock.sendall(b"*3\r\n$%d\r\n" % size + bytes(size) + b"\r\n" + TAIL)

    listener = socket.create_server(("127.0.0.1", port), backlog=512)
    while True:
        threading.Thread(target=follow, args=(listener.accept()[0],), daemon=True).start()


def listed(to: int) -> dict[str, Any]:
    """Returns an endpoint list whose backends share one port; many, so that none seems overloaded."""
    line = {"host_port": f"127.0.0.1:{to}", "locality": "a", "flavor": "x", "cell": 0, "phase": "Ready"}
    members = [{"id": f"s{i}", "size": 1.0, "up_since_ms": 0, **line} for i in range(CROWD)]
    return {"revision": 1, "complete": True, "members": members}


def keep(results: dict[str, Any], out: str | None) -> None:
    """Writes the results as JSON if a path is given."""
    if out:
        pathlib.Path(out).write_text(json.dumps(results, indent=1) + "\n")


def gateway(
    tree: pathlib.Path, port: int, to: int, folder: str, options: str = ""
) -> subprocess.Popen[bytes]:
    """Starts the gateway of a checkout with the Python interpreter that runs this benchmark."""
    path = pathlib.Path(folder, f"{port}.json")
    path.write_text(
        json.dumps(
            {
                "name": "n",
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{free()}",
                "seed": "1",
                "limits": {"sockets": 2048, "memory_mb": MEMORY_MB},
                "settings": settings(),
                "known": listed(to),
            }
        )
    )
    return subprocess.Popen(
        [sys.executable, "-O", "-m", "corkdeal.net"],
        cwd=tree,
        stdout=subprocess.DEVNULL,
        env={
            **os.environ,
            "RELAY_CONFIG": str(path),
            "PYTHONPATH": str(tree),
            "CORKDEAL_OPTIONS": options,
        },
    )


def up(port: int) -> None:
    """Waits until the port accepts connections, for at most 10 s."""
    for _ in range(200):
        try:
            return socket.create_connection(("127.0.0.1", port)).close()
        except ConnectionRefusedError:
            time.sleep(0.05)
    raise TimeoutError(port)


def cpu(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    parts = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")


def memory(pid: int, what: str) -> float:
    """Returns VmHWM or VmRSS of a process in MB."""
    return int(re.search(rf"{what}:\s+(\d+)", pathlib.Path(f"/proc/{pid}/status").read_text())[1]) / 1024


def command(rid: int, size: int, write: bool) -> list[bytes]:
    """Encodes a request as chunks; a write has its value in a chunk of its own."""
    name, cls = (b"API.WRITE", b"pay") if write else (b"API.READ", b"look")
    words = [
        name,
        b"%016x" % (1 if write else size),
        b"%016x" % rid,
        b"c=%b,t=p,d=8000,units=1,spread=1,first=0" % cls,
    ]
    made = b"*%d\r\n" % (4 + write) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)
    return [made, b"$%d\r\n" % size, bytes(size), b"\r\n"] if write else [made]


def load(port: int, size: int, requests: int, write: bool, plain: bool) -> float:
    """Sends the requests from CLIENTS connections and returns the elapsed seconds."""
    answer = 1 if write else size
    whole = len(b"$%d\r\n" % answer) + answer + 2 + (len(b"*3\r\n") + len(TAIL) if plain else 0)
    faults: list[BaseException] = []

    def client(number: int) -> None:
        try:
            with socket.create_connection(("127.0.0.1", port)) as sock:
                buf = memoryview(bytearray(whole))
                for i in range(requests // CLIENTS):
                    sock.sendall(b"".join(command(number * 1_000_000 + i, size, write)))
                    if exactly(sock, buf)[:1] not in b"$*":
                        raise ValueError("request answered with an error")
        except BaseException as error:
            faults.append(error)

    threads = [threading.Thread(target=client, args=(n,)) for n in range(CLIENTS)]
    began = time.perf_counter()
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    if faults:
        raise faults[0]
    return time.perf_counter() - began


def compare(tree: str | None, folder: str, to: int) -> dict[str, Any]:
    """Measures reads and writes of each size through each target."""
    ways: dict[str, tuple[int, Any]] = {}
    ways["forwarder"] = (
        (port := free()),
        subprocess.Popen([sys.executable, "-O", "-c", FORWARDER, str(port), str(to)]),
    )
    ways["this"] = (port := free()), gateway(ROOT, port, to, folder)
    if tree:
        ways["before"] = (port := free()), gateway(pathlib.Path(tree).resolve(), port, to, folder)
    results: dict[str, Any] = {}
    try:
        for port, _ in ways.values():
            up(port)
        for write in (False, True):
            for size, requests in SIZES.items():
                row = results[f"{'write' if write else 'read'} {size >> 10} KiB"] = {}
                for _ in range(2):  # keeps the better of two runs, with the targets taken in turn
                    for way, (port, process) in ways.items():
                        try:
                            used = cpu(process.pid)
                            took = load(port, size, requests, write, way == "forwarder")
                            used = cpu(process.pid) - used
                        except (ConnectionError, ValueError) as error:
                            row[way] = {"cannot": str(error)[:60]}
                            continue
                        mb = size * requests / (1 << 20)
                        if way not in row or used * 1e6 / requests < row[way]["cpu_us_request"]:
                            row[way] = {
                                "cpu_ms_mb": round(used * 1000 / mb, 3),
                                "mb_s": round(mb / took, 1),
                                "cpu_us_request": round(used * 1e6 / requests, 1),
                                "most_memory_mb": round(memory(process.pid, "VmHWM"), 1),
                            }
                print(f"{list(results)[-1]:18} " + "  ".join(f"{w} {row[w]}" for w in ways), flush=True)
    finally:
        for _, process in ways.values():
            process.kill()
            process.wait()
    return results


def paired(tree: str, folder: str, to: int, options: str) -> dict[str, Any]:
    """Compares the CPU time of 4 KiB reads with another revision's, in short alternating runs.

    Alternation spreads noise from other processes evenly over both.
    """
    ways = {"this": ROOT, "before": pathlib.Path(tree).resolve()}
    lives = {
        way: (port := free(), gateway(at, port, to, folder, options if way == "this" else ""))
        for way, at in ways.items()
    }
    used: dict[str, list[float]] = {way: [] for way in ways}
    try:
        for port, _ in lives.values():
            up(port)
        for turn in range(PAIRS):
            for way in sorted(ways, reverse=turn % 2 == 0):
                port, process = lives[way]
                began = cpu(process.pid)
                load(port, 4096, PAIR_REQUESTS, False, False)
                used[way].append((cpu(process.pid) - began) * 1e6 / PAIR_REQUESTS)
    finally:
        for _, process in lives.values():
            process.kill()
            process.wait()
    ratios = [a / b for a, b in zip(used["this"], used["before"], strict=True)]
    return {
        "cpu_us_request": {way: round(statistics.median(each), 1) for way, each in used.items()},
        "ratio_median": round(statistics.median(ratios), 3),
        "ratio_quartiles": [round(q, 3) for q in statistics.quantiles(ratios, n=4)],
        "pairs": PAIRS,
    }


def crowd(folder: str, to: int) -> dict[str, Any]:
    """Runs slow clients, half of them reading 4 MiB and half writing it, on a gateway with little memory."""
    process = gateway(ROOT, port := free(), to, folder)
    try:
        up(port)
        before, size, began = memory(process.pid, "VmRSS"), 4 << 20, time.monotonic()
        outcomes: dict[str, int] = {}
        counting = threading.Lock()

        def client(number: int) -> None:
            write, pause = number % 2 == 1, CROWD_S / (size / 65536)
            try:
                with socket.socket() as sock:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
                    sock.connect(("127.0.0.1", port))
                    for part in command(number, size, write):
                        for i in range(0, len(part), 65536):
                            sock.sendall(part[i : i + 65536])
                            time.sleep(pause if len(part) > 65536 else 0)
                    whole = 7 if write else len(b"$%d\r\n" % size) + size + 2
                    got, first = 0, b""
                    while got < whole and (data := sock.recv(65536)):
                        got, first = got + len(data), first or data[:5]
                        time.sleep(0 if write else pause)
                        if first[:1] == b"-":
                            break
                    name = first.decode() if first[:1] == b"-" else "whole" if got == whole else "cut"
            except OSError as error:
                name = type(error).__name__
            name = ("write " if write else "read ") + name
            with counting:
                outcomes[name] = outcomes.get(name, 0) + 1

        threads = [threading.Thread(target=client, args=(n,)) for n in range(CROWD)]
        for each in threads:
            each.start()
        for each in threads:
            each.join()
        return {
            "clients": CROWD,
            "limit_mb": MEMORY_MB,
            "before_mb": round(before, 1),
            "most_mb": round(memory(process.pid, "VmHWM"), 1),
            "after_mb": round(memory(process.pid, "VmRSS"), 1),
            "took_s": round(time.monotonic() - began, 1),
            "outcomes": dict(sorted(outcomes.items())),
        }
    finally:
        process.kill()
        process.wait()


def main() -> int:
    """Runs the selected benchmark and prints its results."""
    asked = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    asked.add_argument("--tree")
    asked.add_argument("--out")
    asked.add_argument("--crowd", action="store_true")
    asked.add_argument("--paired", action="store_true")
    asked.add_argument("--options", help="operators' file for this revision alone, with --paired")
    given = asked.parse_args()
    server = multiprocessing.Process(target=backend, args=(to := free(),), daemon=True)
    server.start()
    up(to)
    with tempfile.TemporaryDirectory() as folder:
        if given.crowd:
            results = crowd(folder, to)
        else:
            results = (
                paired(given.tree, folder, to, os.path.abspath(given.options) if given.options else "")
                if given.paired
                else compare(given.tree, folder, to)
            )
    if given.crowd or given.paired:
        print(json.dumps(results, indent=1))
    keep(results, given.out)
    return 0


if __name__ == "__main__":
    sys.exit(main())
