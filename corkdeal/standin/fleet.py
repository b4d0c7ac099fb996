"""Starts, kills and restarts real gateway processes on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import pathlib
import resource
import signal
import socket
import sys
import time
from typing import Any

READY_POLL_INTERVAL = 0.02  # s between PINGs to a gateway that starts
READY_TIMEOUT = 20.0  # s that a gateway may take to answer its first PING
PR_SET_PDEATHSIG = 1
SHIFTED_CLOCK_PROGRAM = """
import runpy, time
now = time.time
time.time = lambda: now() + {by!r}
runpy.run_module("corkdeal.net", run_name="__main__", alter_sys=True)
"""  # the program with its wall clock shifted by some seconds: all processes share the system clock

ZONES = ("north-hall", "east-hall", "south-hall")
CLASSES = [
    {"name": "board-load", "aim_us": 1_500_000, "deadline_us": 4_000_000, "semantics": "pure", "points": 1},
    {
        "name": "solve-record",
        "aim_us": 2_000_000,
        "deadline_us": 5_000_000,
        "semantics": "token",
        "points": 3,
        "group": "cell",
        "window_us": 10_000_000,
        "late_share": 0.2,
    },
]


def settings(
    gateways: int, me: int, plans: list[dict[str, Any]], fall_multiple: float = 4.0
) -> dict[str, Any]:
    """The `settings` object in the configuration of one gateway of a tier."""
    return {
        "balancers": gateways,
        "me": me,
        "failure_domains": list(ZONES),
        "host_types": ["standard", "slower"],
        "zone": me % len(ZONES),
        "membership_mode": "pushed",
        "granularity_us": 4000,
        "classes": CLASSES,
        "tiers_of_service": plans,
        "client_habits": {"marks_retry": True},
        "family_info": {"peer_intake": 60},
        "policy_limits": {
            "max_attempts": 4,
            "cancel": True,
            "peers": True,
            "retry_after": True,
            "may_probe": True,
            "max_retry_after_us": 500_000,
            "connect_timeout_us": 250_000,
            "conn_idle_us": 30_000_000,
        },
        "rules": {
            "drain_grace_us": 250_000,
            "answer_slack_us": 16_000,
            "fall_multiple": fall_multiple,
            "fall_us": 1_000_000,
            "cold_share": 0.25,
            "warm_within_us": 16_000_000,
        },
        "telemetry": {"how": "answers", "columns": ["recent_ms", "throughput"]},
    }


def find_free_addresses(count: int, socket_type: int, host: str) -> list[str]:
    """Find distinct free addresses of a host: all sockets stay bound until the last one is."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket(socket.AF_INET, socket_type)) for _ in range(count)]
        for s in sockets:
            s.bind((host, 0))
        return [f"{host}:{s.getsockname()[1]}" for s in sockets]


def process_loopback_host() -> str:
    """A loopback address that only this process uses.

    On a shared address, an outgoing connection could take the port of a gateway that is down as its own.
    """
    pid = os.getpid()
    return f"127.{100 + (pid >> 16) % 100}.{pid >> 8 & 255}.{pid & 255}"


class GatewayExitedError(RuntimeError):
    """A gateway process ended before it answered its first PING."""


def die_with_parent() -> None:
    """Runs in the child process: has the kernel kill it when its parent ends, for whatever reason."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def set_disk_full(pid: int, full: bool) -> None:
    """Make a process's writes to files fail as on a full disk, by RLIMIT_FSIZE, or succeed again."""
    _, hard_limit = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (0 if full else hard_limit, hard_limit))


class Gateway:
    """One gateway of a tier, through all of its incarnations."""

    def __init__(
        self,
        number: int,
        config: dict[str, Any],
        folder: pathlib.Path,
        options: str = "",
        program: pathlib.Path | None = None,
    ) -> None:
        """`options` is the text of the options file, `program` the checkout to run instead of this one."""
        self.number, self.config, self.folder, self.program = number, config, folder, program
        self.listen: str = config["listen"]
        self.path = folder / f"{config['name']}.json"
        self.log = folder / f"{config['name']}.log"
        self.env = {**os.environ, "RELAY_CONFIG": str(self.path)}
        self.env.pop("CORKDEAL_OPTIONS", None)
        if options:
            (folder / f"{config['name']}.kdl").write_text(options)
            self.env["CORKDEAL_OPTIONS"] = str(folder / f"{config['name']}.kdl")
        self.process: asyncio.subprocess.Process | None = None
        self.ready_at = 0.0  # monotonic time of its first reply to PING
        self.up = False
        self.clock_offset = 0.0  # s by which the wall clock of its next incarnation is shifted
        self.disk_full = False

    def set_disk_full(self, full: bool) -> None:
        """Make all its writes to files fail, those to its log included, or let them succeed again."""
        self.disk_full = full
        if self.process is not None and self.process.returncode is None:
            set_disk_full(self.process.pid, full)

    def prepare_child(self) -> None:
        """Runs in the child process before the program is executed."""
        die_with_parent()
        if self.disk_full:
            set_disk_full(0, True)

    async def start(self, known: dict[str, Any] | None = None) -> float:
        """Start the process; returns the seconds until it answered PING."""
        self.path.write_text(json.dumps({**self.config, "known": known, "seed": os.urandom(8).hex()}))
        began = time.monotonic()
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                *(
                    ("-c", SHIFTED_CLOCK_PROGRAM.format(by=self.clock_offset))
                    if self.clock_offset
                    else ("-m", "corkdeal.net")
                ),
                env=self.env,
                stdout=log,
                stderr=log,
                cwd=self.program or pathlib.Path(__file__).parents[2],
                preexec_fn=self.prepare_child,
            )
        process = self.process
        while not await self.answers_ping():
            if process.returncode is not None:
                raise GatewayExitedError(
                    f"{self.config['name']} ended before it answered PING; see {self.log}"
                )
            if time.monotonic() - began > READY_TIMEOUT:
                raise RuntimeError(f"{self.config['name']} did not answer PING in time; see {self.log}")
            await asyncio.sleep(READY_POLL_INTERVAL)
        self.ready_at, self.up = time.monotonic(), True
        return self.ready_at - began

    async def answers_ping(self) -> bool:
        """Whether it answers PING."""
        host, port = self.listen.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            return await reader.readline() == b"+PONG\r\n"
        except OSError:
            return False
        finally:
            writer.close()

    async def stop(self, signal_number: signal.Signals = signal.SIGKILL) -> None:
        """End the process by a signal, and wait for it."""
        self.up = False
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)
            await self.process.wait()


def create_gateways(
    count: int,
    discovery_port: int,
    folder: pathlib.Path,
    plans: list[dict[str, Any]],
    options: str = "",
    program: pathlib.Path | None = None,
) -> list[Gateway]:
    """Create all gateways of a tier without starting them."""
    host = process_loopback_host()
    peers = find_free_addresses(count, socket.SOCK_DGRAM, host)
    listen = find_free_addresses(count, socket.SOCK_STREAM, host)
    return [
        Gateway(
            i,
            {
                "name": f"n{i}",
                "listen": listen[i],
                "discovery": f"127.0.0.1:{discovery_port}",
                "peer_listen": peers[i],
                "peers": peers,
                "limits": {"sockets": 1024},
                "settings": settings(count, i, plans),
            },
            folder,
            options,
            program,
        )
        for i in range(count)
    ]
