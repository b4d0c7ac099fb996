"""The gateway processes of a soak run: starts, signals, upgrades, the kill, and what is observed of them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
from collections.abc import Callable
from typing import Any

from ...standin import fleet
from .plan import KILL_DELAY, LONGEST_DEADLINE, MAX_STARTS, GatewayEvent, Plan, PlannedGatewayEvent
from .records import NEW_CONNECTIONS_AFTER_TERM, ProcessRecord, SoakRecord
from .services import Services

START_TIMEOUT = 20.0  # s
POLL_INTERVAL = 0.02  # s between looks at a log, and between looks at a process that is to end
OBSERVATION_INTERVAL = 0.1  # s between observations of a process
KILL_AFTER = LONGEST_DEADLINE + KILL_DELAY  # s after SIGTERM
ACCEPTING_AFTER_TERM = (0.2, NEW_CONNECTIONS_AFTER_TERM)  # s after SIGTERM in which clients still connect
LOG_FAULTS = (
    "Traceback",
    "decisions_failed",
    "action_failed",
    "two_attempts_at_once=",
    "second_answer=",
    "second_outcome=",
    "datagram_too_long=",
)
# As in the deploy file: SIGHUP is ignored until the program installs its handler.
RUN_COMMAND = f"trap '' HUP; exec {shlex.quote(sys.executable)} -O -m corkdeal.net"
NANOSECONDS = 1_000_000_000
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")
ROOT = pathlib.Path(__file__).parents[3]


class GatewayProcess:
    """One process of a gateway."""

    def __init__(self, record: ProcessRecord, process: asyncio.subprocess.Process, log: pathlib.Path) -> None:
        self.record, self.process, self.log = record, process, log
        self.waited = 0.0  # s that the process had waited for a processor at the last observation

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended.

        asyncio's `send_signal` polls the process first, and its exit code would be lost if it has just ended.
        """
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    def observe(self, now: float) -> None:
        """Record the process's descriptors and memory, and how long it waited for a processor."""
        folder = pathlib.Path(f"/proc/{self.process.pid}")
        try:
            descriptors = len(os.listdir(folder / "fd"))
            pages = int((folder / "statm").read_text().split()[1])
            waited = int((folder / "schedstat").read_text().split()[1]) / NANOSECONDS
        except OSError:  # it has ended
            return
        self.record.waits.append((now, waited - self.waited))
        self.waited = waited
        self.record.most_descriptors = max(self.record.most_descriptors, descriptors)
        self.record.most_memory = max(self.record.most_memory, pages * PAGE_SIZE)

    def is_serving(self) -> bool:
        """Whether its log shows that it accepts clients."""
        return "serving " in self.log.read_text(errors="replace")

    def read_log(self) -> None:
        """Record the lines of the log that show a fault."""
        self.record.faults_in_log = [
            line
            for line in self.log.read_text(errors="replace").splitlines()
            if any(text in line for text in LOG_FAULTS)
        ]


class SoakGateway:
    """One gateway through all of its processes."""

    def __init__(self, plan: Plan, number: int, config: dict[str, Any], folder: pathlib.Path) -> None:
        self.plan, self.number, self.config, self.folder = plan, number, config, folder
        self.address = tuple(config["listen"].split(":"))
        self.listener: socket.socket | None = None  # inherited by its processes
        self.is_accepting = False  # whether clients connect to it
        self.processes: list[GatewayProcess] = []
        self.lock = asyncio.Lock()  # held while one process takes the place of another

    @property
    def current(self) -> GatewayProcess:
        """The process started last."""
        return self.processes[-1]


class Gateways:
    """All gateways of a run."""

    def __init__(
        self,
        plan: Plan,
        record: SoakRecord,
        services: Services,
        settings: Callable[[int], dict[str, Any]],
        folder: pathlib.Path,
        clock: Callable[[], float],
    ) -> None:
        self.plan, self.record, self.services, self.folder, self.clock = plan, record, services, folder, clock
        self.rng = random.Random(f"gateways {plan.seed}")
        self.tasks: list[asyncio.Task[None]] = []
        host = fleet.process_loopback_host()
        peers = fleet.find_free_addresses(plan.gateway_count, socket.SOCK_DGRAM, host)
        listen = fleet.find_free_addresses(plan.gateway_count, socket.SOCK_STREAM, host)
        self.gateways = [
            SoakGateway(
                plan,
                number,
                {
                    "name": f"n{number}",
                    "listen": listen[number],
                    "peer_listen": peers[number],
                    "peers": peers,
                    "limits": {"sockets": plan.sockets, "memory_mb": plan.memory_mb},
                    "settings": settings(number),
                },
                folder,
            )
            for number in range(plan.gateway_count)
        ]
        if plan.is_inherited:
            for gateway in self.gateways:
                gateway.listener = socket.create_server(
                    (gateway.address[0], int(gateway.address[1])), backlog=socket.SOMAXCONN
                )

    async def start_all(self) -> None:
        """Start all gateways and wait until they accept clients."""
        self.tasks.append(asyncio.ensure_future(self.observe_all()))
        await asyncio.gather(*(self.start(gateway) for gateway in self.gateways))

    async def start(self, gateway: SoakGateway) -> GatewayProcess:
        """Start a process of a gateway; returns once it accepts clients."""
        number = gateway.number * MAX_STARTS + len(gateway.processes)
        path = self.folder / f"process-{number}.json"
        log_path = self.folder / f"process-{number}.log"
        document = self.services.discovery.document(number)
        self.services.record_sent_list(number, document["members"])
        discovery_doors = self.services.discovery.doors
        assert discovery_doors is not None
        path.write_text(
            json.dumps(
                {
                    **gateway.config,
                    "known": document,
                    "seed": f"{self.rng.getrandbits(64):x}",
                    "discovery": f"127.0.0.1:{discovery_doors.ports[number]}",
                }
            )
        )
        options = self.folder / "options.kdl"
        options.write_text("recovery\n")
        env = {
            **os.environ,
            "RELAY_CONFIG": str(path),
            "CORKDEAL_OPTIONS": str(options),
            "TMPDIR": str(self.folder),
        }
        descriptors: tuple[int, ...] = ()
        if gateway.listener is not None:
            descriptors = (gateway.listener.fileno(),)
            env["RELAY_INHERITED_FD"] = str(gateway.listener.fileno())
        record = ProcessRecord(number, gateway.number, self.clock())
        self.record.processes.append(record)
        with open(log_path, "wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                RUN_COMMAND,
                env=env,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                pass_fds=descriptors,
                preexec_fn=fleet.die_with_parent,
            )
        started = GatewayProcess(record, process, log_path)
        gateway.processes.append(started)
        self.tasks.append(asyncio.ensure_future(self.await_end(started)))
        until = self.clock() + START_TIMEOUT
        while not started.is_serving() and process.returncode is None and self.clock() < until:
            await asyncio.sleep(POLL_INTERVAL)
        gateway.is_accepting = True
        return started

    async def await_end(self, started: GatewayProcess) -> None:
        """Record the end of a process."""
        started.record.exit_code = await started.process.wait()
        started.record.ended_at = self.clock()

    async def observe_all(self) -> None:
        """Observe all running processes until cancelled."""
        while True:
            for gateway in self.gateways:
                for process in gateway.processes:
                    if process.process.returncode is None:
                        process.observe(self.clock())
            await asyncio.sleep(OBSERVATION_INTERVAL)

    async def run_events(self) -> None:
        """Carry out the planned events at their times; those of one gateway may overlap."""
        for event in self.plan.gateway_events:
            await asyncio.sleep(max(0.0, event.at - self.clock()))
            self.tasks.append(asyncio.ensure_future(self.carry_out(event)))

    async def carry_out(self, event: PlannedGatewayEvent) -> None:
        """Carry out one event, to its end."""
        gateway = self.gateways[event.gateway]
        match event.kind:
            case GatewayEvent.RELOAD:
                gateway.current.send(signal.SIGHUP)
            case GatewayEvent.PAUSE:
                await self.pause(gateway.current, event.pause)
            case GatewayEvent.RESTART | GatewayEvent.KILL | GatewayEvent.UPGRADE:
                if gateway.lock.locked():  # the event before has not ended yet
                    return
                async with gateway.lock:
                    await self.replace(gateway, event)

    async def pause(self, process: GatewayProcess, seconds: float) -> None:
        """Stop a process for a moment."""
        process.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send(signal.SIGCONT)

    async def replace(self, gateway: SoakGateway, event: PlannedGatewayEvent) -> None:
        """End a gateway's process and start another, in the order of the event's kind."""
        previous = gateway.current
        match event.kind:
            case GatewayEvent.KILL:
                gateway.is_accepting = False
                self.kill(previous)
                await previous.process.wait()
                await self.start(gateway)
            case GatewayEvent.UPGRADE:
                await self.start(gateway)
                await self.terminate(gateway, previous, event.reloads_while_draining, ends_accepting=False)
            case _:
                await self.terminate(gateway, previous, event.reloads_while_draining, ends_accepting=True)
                await self.start(gateway)

    def kill(self, process: GatewayProcess) -> None:
        """Send SIGKILL, and record it if the process still runs."""
        if process.process.returncode is None:
            process.record.killed_at = self.clock()
            process.send(signal.SIGKILL)

    async def terminate(
        self, gateway: SoakGateway, process: GatewayProcess, reloads: int, ends_accepting: bool
    ) -> None:
        """Send SIGTERM and some SIGHUPs, and SIGKILL at the earliest time that the pages allow."""
        process.record.terminated_at = self.clock()
        process.send(signal.SIGTERM)
        kill_at = self.clock() + KILL_AFTER
        if ends_accepting:
            await asyncio.sleep(self.rng.uniform(*ACCEPTING_AFTER_TERM))
            gateway.is_accepting = False
        for _ in range(reloads):
            await asyncio.sleep(self.rng.uniform(0, 0.3))
            process.send(signal.SIGHUP)
        while process.process.returncode is None and self.clock() < kill_at:
            await asyncio.sleep(POLL_INTERVAL)
        self.kill(process)
        await process.process.wait()

    async def terminate_all(self) -> None:
        """End all gateways as a restart does, after the events that are still in progress."""

        async def terminate_one(gateway: SoakGateway) -> None:
            async with gateway.lock:
                await self.terminate(gateway, gateway.current, self.rng.randint(0, 2), ends_accepting=True)

        await asyncio.gather(*(terminate_one(gateway) for gateway in self.gateways))

    async def close(self) -> None:
        """Kill what still runs, and read the logs."""
        for gateway in self.gateways:
            for process in gateway.processes:
                process.send(signal.SIGKILL)
                await process.process.wait()
                process.read_log()
            if gateway.listener is not None:
                gateway.listener.close()
        for task in self.tasks:
            task.cancel()
