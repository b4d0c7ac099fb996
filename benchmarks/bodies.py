"""Measures CPU, throughput and memory of a gateway by value size, for reads and writes.

PYTHONPATH=. python -O benchmarks/bodies.py [--tree DIR] [--out FILE]
PYTHONPATH=. python -O benchmarks/bodies.py --paired --tree DIR [--options FILE] [--out FILE]
PYTHONPATH=. python -O benchmarks/bodies.py --crowd [--out FILE]

The first form runs the same load through the gateway of this checkout, through Twisted's port forwarder,
which parses nothing, and through the gateway of the checkout in DIR. `--paired` compares only the CPU time of
4 KiB reads with the checkout in DIR; `--options` gives an operators' file to this checkout's gateway alone.
`--crowd` has 200 slow clients transfer 4 MiB each. Compare ratios within one run, as times depend on the
machine.
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
PAIRS, REQUESTS_PER_RUN = 20, 1200
CLIENTS, SLOW_CLIENTS, SLOW_TRANSFER_S, MEMORY_LIMIT_MB = 4, 200, 20.0, 80
NULL_FIELDS = b"$-1\r\n$-1\r\n"
FORWARDER = """
import sys
from twisted.internet import reactor
from twisted.protocols.portforward import ProxyFactory
reactor.listenTCP(int(sys.argv[1]), ProxyFactory("127.0.0.1", int(sys.argv[2])), interface="127.0.0.1")
reactor.run()
"""


def free_port() -> int:
    """Returns a free loopback port."""
    with socket.create_server(("127.0.0.1", 0)) as s:
        return s.getsockname()[1]


def gateway_settings() -> dict[str, Any]:
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


def receive_exactly(sock: socket.socket, buf: memoryview) -> bytes:
    """Fills `buf` from the socket and returns its first 64 bytes."""
    received = 0
    while received < len(buf):
        if not (n := sock.recv_into(buf[received:])):
            raise ConnectionError(
                f"connection closed after {received} of {len(buf)} bytes: {bytes(buf[:80])!r}"
            )
        received += n
    return bytes(buf[:64])


def run_backend(port: int) -> None:
    """Replies to every request; a read's customer number is the size of the value to return."""

    def serve_connection(sock: socket.socket) -> None:
        file = sock.makefile("rb", 1 << 18)
        while head := file.readline():
            arguments = []
            for _ in range(int(head[1:])):
                arguments.append(file.read(int(file.readline()[1:]) + 2)[:-2])
            size = int(arguments[1], 16) if arguments[0] == b"API.READ" else 1
            sock.sendall(b"*3\r\n$%d\r\n" % size + bytes(size) + b"\r\n" + NULL_FIELDS)

    listener = socket.create_server(("127.0.0.1", port), backlog=512)
    while True:
        threading.Thread(target=serve_connection, args=(listener.accept()[0],), daemon=True).start()


def endpoint_list(backend_port: int) -> dict[str, Any]:
    """Returns an endpoint list whose backends share one port; many, so that none seems overloaded."""
    common = {
        "host_port": f"127.0.0.1:{backend_port}",
        "locality": "a",
        "flavor": "x",
        "cell": 0,
        "phase": "Ready",
    }
    members = [{"id": f"s{i}", "size": 1.0, "up_since_ms": 0, **common} for i in range(SLOW_CLIENTS)]
    return {"revision": 1, "complete": True, "members": members}


def write_results(results: dict[str, Any], out: str | None) -> None:
    """Writes the results as JSON if a path is given."""
    if out:
        pathlib.Path(out).write_text(json.dumps(results, indent=1) + "\n")


def start_gateway(
    tree: pathlib.Path, port: int, backend_port: int, folder: str, options: str = ""
) -> subprocess.Popen[bytes]:
    """Starts the gateway of a checkout with the Python interpreter that runs this benchmark."""
    path = pathlib.Path(folder, f"{port}.json")
    path.write_text(
        json.dumps(
            {
                "name": "n",
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{free_port()}",
                "seed": "1",
                "limits": {"sockets": 2048, "memory_mb": MEMORY_LIMIT_MB},
                "settings": gateway_settings(),
                "known": endpoint_list(backend_port),
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


def wait_until_listening(port: int) -> None:
    """Waits until the port accepts connections, for at most 10 s."""
    for _ in range(200):
        try:
            return socket.create_connection(("127.0.0.1", port)).close()
        except ConnectionRefusedError:
            time.sleep(0.05)
    raise TimeoutError(port)


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    parts = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid: int, field: str) -> float:
    """Returns VmHWM or VmRSS of a process in MB."""
    return int(re.search(rf"{field}:\s+(\d+)", pathlib.Path(f"/proc/{pid}/status").read_text())[1]) / 1024


def encode_request(rid: int, size: int, write: bool) -> list[bytes]:
    """Encodes a request as chunks; a write has its value in a chunk of its own."""
    name, request_class = (b"API.WRITE", b"pay") if write else (b"API.READ", b"look")
    arguments = [
        name,
        b"%016x" % (1 if write else size),
        b"%016x" % rid,
        b"c=%b,t=p,d=8000,units=1,spread=1,first=0" % request_class,
    ]
    encoded = b"*%d\r\n" % (4 + write) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in arguments)
    return [encoded, b"$%d\r\n" % size, bytes(size), b"\r\n"] if write else [encoded]


def run_load(port: int, size: int, requests: int, write: bool, is_forwarded: bool) -> float:
    """Sends the requests from CLIENTS connections and returns the elapsed seconds."""
    value_size = 1 if write else size
    reply_size = (
        len(b"$%d\r\n" % value_size)
        + value_size
        + 2
        + (len(b"*3\r\n") + len(NULL_FIELDS) if is_forwarded else 0)
    )
    errors: list[BaseException] = []

    def client(number: int) -> None:
        try:
            with socket.create_connection(("127.0.0.1", port)) as sock:
                buf = memoryview(bytearray(reply_size))
                for i in range(requests // CLIENTS):
                    sock.sendall(b"".join(encode_request(number * 1_000_000 + i, size, write)))
                    if receive_exactly(sock, buf)[:1] not in b"$*":
                        raise ValueError("request answered with an error")
        except BaseException as error:
            errors.append(error)

    threads = [threading.Thread(target=client, args=(n,)) for n in range(CLIENTS)]
    started_at = time.perf_counter()
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    if errors:
        raise errors[0]
    return time.perf_counter() - started_at


def compare_targets(tree: str | None, folder: str, backend_port: int) -> dict[str, Any]:
    """Measures reads and writes of each size through each target."""
    targets: dict[str, tuple[int, Any]] = {}
    targets["forwarder"] = (
        (port := free_port()),
        subprocess.Popen([sys.executable, "-O", "-c", FORWARDER, str(port), str(backend_port)]),
    )
    targets["this"] = (port := free_port()), start_gateway(ROOT, port, backend_port, folder)
    if tree:
        targets["before"] = (
            (port := free_port()),
            start_gateway(pathlib.Path(tree).resolve(), port, backend_port, folder),
        )
    results: dict[str, Any] = {}
    try:
        for port, _ in targets.values():
            wait_until_listening(port)
        for write in (False, True):
            for size, requests in SIZES.items():
                row = results[f"{'write' if write else 'read'} {size >> 10} KiB"] = {}
                for _ in range(2):  # keeps the better of two runs, with the targets taken in turn
                    for target, (port, process) in targets.items():
                        try:
                            cpu_used = cpu_seconds(process.pid)
                            elapsed = run_load(port, size, requests, write, target == "forwarder")
                            cpu_used = cpu_seconds(process.pid) - cpu_used
                        except (ConnectionError, ValueError) as error:
                            row[target] = {"cannot": str(error)[:60]}
                            continue
                        mb = size * requests / (1 << 20)
                        if target not in row or cpu_used * 1e6 / requests < row[target]["cpu_us_request"]:
                            row[target] = {
                                "cpu_ms_mb": round(cpu_used * 1000 / mb, 3),
                                "mb_s": round(mb / elapsed, 1),
                                "cpu_us_request": round(cpu_used * 1e6 / requests, 1),
                                "most_memory_mb": round(memory_mb(process.pid, "VmHWM"), 1),
                            }
                print(f"{list(results)[-1]:18} " + "  ".join(f"{w} {row[w]}" for w in targets), flush=True)
    finally:
        for _, process in targets.values():
            process.kill()
            process.wait()
    return results


def compare_paired(tree: str, folder: str, backend_port: int, options: str) -> dict[str, Any]:
    """Compares the CPU time of 4 KiB reads with another revision's, in short alternating runs.

    Alternation spreads noise from other processes evenly over both.
    """
    trees = {"this": ROOT, "before": pathlib.Path(tree).resolve()}
    gateways = {
        revision: (
            port := free_port(),
            start_gateway(checkout, port, backend_port, folder, options if revision == "this" else ""),
        )
        for revision, checkout in trees.items()
    }
    cpu_us: dict[str, list[float]] = {revision: [] for revision in trees}
    try:
        for port, _ in gateways.values():
            wait_until_listening(port)
        for pair in range(PAIRS):
            for revision in sorted(trees, reverse=pair % 2 == 0):
                port, process = gateways[revision]
                cpu_before = cpu_seconds(process.pid)
                run_load(port, 4096, REQUESTS_PER_RUN, False, False)
                cpu_us[revision].append((cpu_seconds(process.pid) - cpu_before) * 1e6 / REQUESTS_PER_RUN)
    finally:
        for _, process in gateways.values():
            process.kill()
            process.wait()
    ratios = [a / b for a, b in zip(cpu_us["this"], cpu_us["before"], strict=True)]
    return {
        "cpu_us_request": {revision: round(statistics.median(each), 1) for revision, each in cpu_us.items()},
        "ratio_median": round(statistics.median(ratios), 3),
        "ratio_quartiles": [round(q, 3) for q in statistics.quantiles(ratios, n=4)],
        "pairs": PAIRS,
    }


def run_slow_clients(folder: str, backend_port: int) -> dict[str, Any]:
    """Runs slow clients, half of them reading 4 MiB and half writing it, on a gateway with little memory."""
    process = start_gateway(ROOT, port := free_port(), backend_port, folder)
    try:
        wait_until_listening(port)
        memory_before, size, started_at = memory_mb(process.pid, "VmRSS"), 4 << 20, time.monotonic()
        outcomes: dict[str, int] = {}
        outcomes_lock = threading.Lock()

        def client(number: int) -> None:
            write, pause = number % 2 == 1, SLOW_TRANSFER_S / (size / 65536)
            try:
                with socket.socket() as sock:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
                    sock.connect(("127.0.0.1", port))
                    for part in encode_request(number, size, write):
                        for i in range(0, len(part), 65536):
                            sock.sendall(part[i : i + 65536])
                            time.sleep(pause if len(part) > 65536 else 0)
                    reply_size = 7 if write else len(b"$%d\r\n" % size) + size + 2
                    received, first = 0, b""
                    while received < reply_size and (data := sock.recv(65536)):
                        received, first = received + len(data), first or data[:5]
                        time.sleep(0 if write else pause)
                        if first[:1] == b"-":
                            break
                    outcome = (
                        first.decode() if first[:1] == b"-" else "whole" if received == reply_size else "cut"
                    )
            except OSError as error:
                outcome = type(error).__name__
            outcome = ("write " if write else "read ") + outcome
            with outcomes_lock:
                outcomes[outcome] = outcomes.get(outcome, 0) + 1

        threads = [threading.Thread(target=client, args=(n,)) for n in range(SLOW_CLIENTS)]
        for each in threads:
            each.start()
        for each in threads:
            each.join()
        return {
            "clients": SLOW_CLIENTS,
            "limit_mb": MEMORY_LIMIT_MB,
            "before_mb": round(memory_before, 1),
            "most_mb": round(memory_mb(process.pid, "VmHWM"), 1),
            "after_mb": round(memory_mb(process.pid, "VmRSS"), 1),
            "took_s": round(time.monotonic() - started_at, 1),
            "outcomes": dict(sorted(outcomes.items())),
        }
    finally:
        process.kill()
        process.wait()


def main() -> int:
    """Runs the selected benchmark and prints its results."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--tree")
    parser.add_argument("--out")
    parser.add_argument("--crowd", action="store_true")
    parser.add_argument("--paired", action="store_true")
    parser.add_argument("--options", help="operators' file for this revision alone, with --paired")
    args = parser.parse_args()
    backend = multiprocessing.Process(target=run_backend, args=(backend_port := free_port(),), daemon=True)
    backend.start()
    wait_until_listening(backend_port)
    with tempfile.TemporaryDirectory() as folder:
        if args.crowd:
            results = run_slow_clients(folder, backend_port)
        else:
            results = (
                compare_paired(
                    args.tree, folder, backend_port, os.path.abspath(args.options) if args.options else ""
                )
                if args.paired
                else compare_targets(args.tree, folder, backend_port)
            )
    if args.crowd or args.paired:
        print(json.dumps(results, indent=1))
    write_results(results, args.out)
    return 0


if __name__ == "__main__":
    sys.exit(main())
