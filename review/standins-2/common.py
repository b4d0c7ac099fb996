"""Stand-ins and helpers that the cases of the second review share: platform, discovery, backends, clients.

Everything listens on 127.0.0.1 with free ports. Times in the record are seconds since the start of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be run (exit code 2)."""


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, path: str) -> None:
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def __call__(self, text: str) -> None:
        self.file.write(f"{self.now():9.4f} {text}\n")

    def close(self) -> None:
        self.file.close()


def windhoek_classes() -> list[dict[str, Any]]:
    return [
        {"name": "board-load", "aim_us": 1500000, "deadline_us": 4000000, "semantics": "pure", "group": "all",
         "window_us": 5000000, "points": 1.0, "late_share": 0.0, "streaming": False},
        {"name": "solve-record", "aim_us": 2000000, "deadline_us": 5000000, "semantics": "token",
         "group": "cell", "window_us": 10000000, "points": 3.0, "late_share": 0.2, "streaming": False},
    ]


def ive_classes() -> list[dict[str, Any]]:
    return [
        {"name": "parcel-lookup", "aim_us": 1000000, "deadline_us": 4000000, "semantics": "pure",
         "group": "all", "window_us": 7500000, "points": 1.0, "late_share": 0.2, "streaming": False},
        {"name": "valuation-submit", "aim_us": 1500000, "deadline_us": 3000000, "semantics": "token",
         "group": "all", "window_us": 7500000, "points": 2.0, "late_share": 0.2, "streaming": False},
        {"name": "cert-issue", "aim_us": 750000, "deadline_us": 1500000, "semantics": "side_effect",
         "group": "all", "window_us": 7500000, "points": 2.0, "late_share": 0.2, "streaming": False},
    ]


def plan(name: str, rate: float, burst: float) -> dict[str, Any]:
    return {"name": name, "quota_rate": rate, "store_size": burst, "value_factor": 1.0, "over_cost": 0.5,
            "over_worth": 0.0, "max_out": 0, "never_over_rate": 0.0, "hard_burst": 0.0, "ceiling_slack": 0.0}


def settings(classes: list[dict[str, Any]], plans: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """The settings of one gateway, with the figures of the windhoek-campus site unless changed."""
    result: dict[str, Any] = {
        "balancers": 1, "me": 0, "zone": 0, "failure_domains": ["north-hall", "east-hall", "south-hall"],
        "host_types": ["standard", "slower"], "membership_mode": "pushed", "granularity_us": 4000,
        "domain_type": "gate", "tier": 0, "tiers": ["puzzle-fleet"], "weights": "rough",
        "classes": classes, "tiers_of_service": plans, "client_habits": {"marks_retry": True},
        "family_info": {"call_price": 0.0, "counter": False, "counter_timeout_us": 0, "meter_us": 0,
                        "peer_intake": 60.0, "post_paid": False, "units_top": 1},
        "policy_limits": {"cancel": True, "conn_idle_us": 30000000, "connect_timeout_us": 250000,
                          "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000, "max_attempts": 4,
                          "max_retry_after_us": 500000, "may_duplicate": False, "may_probe": True,
                          "most_held": 20000, "multiplex": 32, "peers": True, "retry_after": True},
        "rules": {"answer_slack_us": 16000, "ask_every_us": 10000000, "cold_share": 0.25,
                  "drain_grace_us": 250000, "fall_multiple": 4.0, "fall_us": 1000000,
                  "warm_within_us": 16000000},
        "telemetry": {"how": "inline", "columns": ["recent_ms", "throughput"]},
    }
    for key, value in changes.items():
        result[key] = {**result[key], **value} if isinstance(value, dict) else value
    return result


def free_port() -> int:
    with socket.socket() as s:
        s.bind((HOST, 0))
        return int(s.getsockname()[1])


class Gateway:
    """One process of the program, started with `run` of the deploy file from the root of the repository."""

    def __init__(self, folder: str, name: str, config: dict[str, Any], inherited: socket.socket | None = None,
                 tmpdir: str | None = None, log_name: str | None = None) -> None:
        self.folder, self.name, self.inherited = folder, name, inherited
        self.tmpdir = tmpdir or tempfile.mkdtemp(dir=folder)
        self.config_path = os.path.join(folder, f"{log_name or name}.json")
        self.log_path = os.path.join(folder, f"{log_name or name}.log")
        self.config = config
        self.write_config()
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> None:
        with open(self.config_path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(self.config_path + ".new", self.config_path)

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        env = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "CORKDEAL_"))}
        env |= {"RELAY_NAME": self.name, "RELAY_LISTEN": self.config["listen"], "TMPDIR": self.tmpdir,
                "RELAY_DISCOVERY": self.config["discovery"], "RELAY_CONFIG": self.config_path}
        if "ops" in self.config:
            env["RELAY_OPS"] = self.config["ops"]
        kwargs: dict[str, Any] = {}
        command = ["/bin/sh", "-c", deploy["run"]]
        if self.inherited is not None:
            env["RELAY_INHERITED_FD"] = "3"
            fd = self.inherited.fileno()
            kwargs["pass_fds"] = (fd,)
            move = f"import os, sys; os.dup2({fd}, 3); os.execv('/bin/sh', sys.argv[1:])"
            command = [sys.executable, "-c", move, *command]
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log,
                stderr=log, **kwargs)

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    def signal(self, number: int) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            os.kill(self.process.pid, number)

    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGCONT)
                os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()

    async def ready(self, timeout: float = 30.0) -> None:
        """Wait for the answer +PONG, as the front does."""
        host, _, port = self.config["listen"].rpartition(":")
        ends = time.monotonic() + timeout
        while time.monotonic() < ends:
            if not self.is_running():
                break
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(b"*1\r\n$4\r\nPING\r\n")
                    if await asyncio.wait_for(reader.readline(), 1) == b"+PONG\r\n":
                        return
                finally:
                    writer.close()
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} was not ready in {timeout} s")


class Discovery:
    """The agent of PROTOCOL: whole lists, watches with the changed entries, answered at once."""

    def __init__(self, members: list[dict[str, Any]], record: Record) -> None:
        self.record, self.revision = record, 1
        self.members = {m["id"]: m for m in members}
        self.changed_at = dict.fromkeys(self.members, 1)
        self.change = asyncio.Event()
        self.server: Any = None
        self.port = 0
        self.delay = 0.0  # s that each answer takes
        self.calls = 0

    async def start(self) -> str:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"{HOST}:{self.port}"

    def set(self, *members: dict[str, Any]) -> None:
        self.revision += 1
        for member in members:
            self.members[member["id"]] = member
            self.changed_at[member["id"]] = self.revision
            self.record(f"discovery revision {self.revision}: {member['id']} {member['phase']}")
        self.change.set()
        self.change = asyncio.Event()

    def document(self, after: int | None) -> bytes:
        if after is None or after > self.revision:
            members = [m for m in self.members.values() if m["phase"] != "Gone"]
        else:
            members = [m for i, m in self.members.items() if self.changed_at[i] > after]
        whole = after is None or after > self.revision
        return json.dumps({"revision": self.revision, "complete": whole, "members": members}).encode()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                self.calls += 1
                query = urllib.parse.parse_qs(urllib.parse.urlparse(head.split(" ", 2)[1]).query)
                after = int(query["after"][0]) if "after" in query else None
                wait = min(60000, int(query.get("wait_ms", ["0"])[0])) / 1000
                if after is not None and after == self.revision and wait:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.change.wait(), wait)
                if self.delay:
                    await asyncio.sleep(self.delay)
                body = self.document(after)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                             % (len(body), body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def answer(value: bytes, load: bytes = b"latency_ms=20,qps=10") -> bytes:
    return b"*3\r\n" + bulk(value) + b"$-1\r\n" + bulk(load)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one command; raises IncompleteReadError at the end."""
    head = await reader.readuntil(b"\r\n")
    arguments = []
    for _ in range(int(head[1:-2])):
        size = int((await reader.readuntil(b"\r\n"))[1:-2])
        arguments.append((await reader.readexactly(size + 2))[:-2])
    return arguments


Handler = Callable[["Backend", list[bytes], asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Backend:
    """A backend: `handle` answers a command; the default one works for `work` s and echoes the id."""

    def __init__(self, name: str, record: Record, handle: Handler | None = None, work: float = 0.02,
                 zone: str = "north-hall", cell: int = 0) -> None:
        self.name, self.record, self.work, self.zone, self.cell = name, record, work, zone, cell
        self.handle = handle or Backend.echo
        self.port, self.server = 0, None
        self.started_ms, self.flavor = 0, "standard"
        self.connections: set[asyncio.StreamWriter] = set()
        self.runs: list[tuple[float, str]] = []  # when each command's last byte came, and its id

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, port, limit=1 << 20, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def member(self, phase: str = "Ready", port: int = 0) -> dict[str, Any]:
        return {"id": self.name, "host_port": f"{HOST}:{port or self.port}", "locality": self.zone,
                "flavor": self.flavor, "cell": self.cell, "phase": phase, "size": 1.0,
                "up_since_ms": self.started_ms}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while True:
                command = await read_command(reader)
                name = command[0].upper()
                if name in (b"API.READ", b"API.WRITE"):
                    self.runs.append((self.record.now(), command[2].decode()))
                    self.record(f"{self.name} got {name.decode()} id={command[2].decode()} "
                                f"params={command[3].decode()} from port {writer.get_extra_info('peername')[1]}")
                    await self.handle(self, command, reader, writer)
                elif name == b"PING":
                    writer.write(b"+PONG\r\n")
                elif name == b"INFO":
                    writer.write(bulk(b"latency_ms=20,qps=10"))
                else:
                    writer.write(b"-ERR unknown\r\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def echo(self, command: list[bytes], reader: Any, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.work)
        self.record(f"{self.name} answers id={command[2].decode()}")
        writer.write(answer(b"made for " + command[2]))


_ids = 0


def new_id() -> str:
    global _ids
    _ids += 1
    return f"{(_ids << 24) | int.from_bytes(os.urandom(3), 'big'):016x}"


def command(customer: int, rid: str, class_name: str, plan_name: str, d_ms: int, write: bool = False,
            body: bytes | None = None, extra: str = "", spread: int = 1) -> bytes:
    params = f"c={class_name},t={plan_name},d={d_ms}{extra},units=1,spread={spread},first=0".encode()
    words = [b"API.WRITE" if write else b"API.READ", b"%016x" % customer, rid.encode(), params]
    if body is not None:
        words.append(body)
    return b"*%d\r\n" % len(words) + b"".join(bulk(w) for w in words)


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Read one whole answer; raises IncompleteReadError if the connection ends before."""
    line = await reader.readuntil(b"\r\n")
    if line[:1] in (b"+", b"-", b":"):
        return line[:-2]
    size = int(line[1:-2])
    if line[:1] == b"$":
        return b"$" + (await reader.readexactly(size + 2))[:-2] if size >= 0 else b"$null"
    parts = [await read_answer(reader) for _ in range(size)]
    return b"*" + b",".join(parts)


class Client:
    """Keeps connections to one gateway and opens more when every one is busy, as PROTOCOL says."""

    def __init__(self, address: str, record: Record) -> None:
        host, _, port = address.rpartition(":")
        self.address, self.record = (host, int(port)), record
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(self, rid: str, data: bytes, patience: float) -> tuple[str, bytes, float]:
        """Send a command; return ('answer' | 'closed' | 'none', answer, seconds since its last byte)."""
        for is_last_try in (False, True):
            while self.idle and (self.idle[-1][0].at_eof() or self.idle[-1][1].is_closing()):
                self.idle.pop()[1].close()
            is_kept = bool(self.idle)
            reader, writer = (self.idle.pop() if is_kept else
                              await asyncio.open_connection(*self.address, limit=1 << 23))
            self.record(f"client sends id={rid} ({len(data)} bytes)")
            started = time.monotonic()
            try:
                writer.write(data)
                await writer.drain()
                started = time.monotonic()
                reply = await asyncio.wait_for(read_answer(reader), patience)
            except TimeoutError:
                writer.close()
                self.record(f"client got nothing for id={rid} in {patience} s")
                return "none", b"", time.monotonic() - started
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                writer.close()
                if is_kept and not is_last_try and not getattr(error, "partial", b""):
                    self.record(f"kept connection closed under id={rid}; sent once more")
                    continue
                self.record(f"connection closed without an answer to id={rid}")
                return "closed", b"", time.monotonic() - started
            took = time.monotonic() - started
            self.idle.append((reader, writer))
            self.record(f"client got id={rid} after {took:.3f} s: {reply[:60]!r}")
            return "answer", reply, took
        raise AssertionError


def run_case(record_path: str, case: Callable[[str, Record], Awaitable[bool]], limit: float = 110.0) -> None:
    """Run a case in a temporary folder; exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    `case` returns whether the rule held.
    """
    record = Record(record_path)
    temporary = tempfile.mkdtemp(prefix="review-")
    code = 2
    record(f"TROUBLE={int(TROUBLE)}")

    async def bounded() -> bool:
        return await asyncio.wait_for(case(temporary, record), limit)

    try:
        held = asyncio.run(bounded())
        code = 0 if held else 1
    except Exception as error:  # noqa: BLE001
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        if os.environ.get("REVIEW_DEBUG"):
            import traceback

            traceback.print_exc()
    finally:
        for log in sorted(pathlib.Path(temporary).glob("*.log")):
            record(f"--- log of {log.stem}")
            for line in log.read_text(errors="replace").splitlines():
                record.file.write(f"    {line}\n")
        record(f"exit code {code}")
        record.close()
        shutil.rmtree(temporary, ignore_errors=True)
    print({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "could not run"}[code])
    sys.stdout.flush()
    sys.exit(code)
