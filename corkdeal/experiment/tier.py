"""Runs a schedule of faults on a tier of real gateways, checks its history and measures the service.

The fake backends, discovery, the clients and the links run in this process, each gateway in a process of its
own. All of them end with the run, also after an exception or Ctrl-C, or if this process is killed.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import random
import shutil
import signal
import socket
import time
from collections.abc import Callable, Iterable
from typing import Any

from ..standin import clients, fleet
from ..standin.backends import Arrival, BackendModel, FakeBackend, gamma_work
from ..standin.discovery import Discovery
from ..standin.history import (
    BackendAttempt,
    ClientAttempt,
    Downtime,
    History,
    Quota,
    SentList,
    check,
    max_over_quota,
)
from ..standin.links import NO_DOOR_FAULT, DoorFault, Links
from ..standin.links import Fault as LinkFault
from . import measure
from .schedule import Schedule, Step, Tier, steps

MEAN_WORK = 0.2  # s, mean work of a request
CORES = 3
START_DELAY = 0.3  # s from the last start to the first request
SLACK = 0.1  # s by which the fake services themselves may be late
REPLY_WAIT = 6.0  # s to wait for replies after the last request
NEVER = 1e9  # s, end of an absence that lasts until the end of the run


class RecordingClients(clients.Clients):
    """Clients that record their attempts in the history."""

    history: History
    clock: Callable[[], float]

    def on_attempt_sent(
        self, request_id: int, request: clients.ClientRequest, gateway: int, planned: float, time_left: float
    ) -> None:
        """Record an attempt that is sent."""
        now = self.clock()
        self.history.client_attempts[request_id] = ClientAttempt(
            request_id, request.customer.id, gateway, request.at, now, now + time_left
        )

    def on_reply(self, request_id: int, first_byte: str) -> None:
        """Record the reply to an attempt, or that its connection ended without one."""
        if first_byte:
            self.history.client_attempts[request_id].answers.append((self.clock(), first_byte))
        else:
            self.history.client_attempts[request_id].cut_at = self.clock()


class TierRun:
    """One run of a schedule."""

    def __init__(
        self, schedule: Schedule, seed: int, folder: pathlib.Path, program: pathlib.Path | None = None
    ) -> None:
        """`program` is another checkout whose gateways run instead of those of this one."""
        self.schedule, self.tier, self.seed = schedule, schedule.tier or Tier(), seed
        self.folder, self.program = folder, program
        self.rng = random.Random(seed)
        self.history = History()
        self.began = time.monotonic()
        self.gateways: list[fleet.Gateway] = []
        self.servers: list[FakeBackend] = []
        self.removed: set[str] = set()
        self.draining: set[str] = set()
        self.rejecting: set[str] = set()
        self.last_selected: set[int] = set()  # gateways that the last percentage selected
        self.away_since: dict[int, float] = {}
        self.background_tasks: set[asyncio.Task[Any]] = set()
        self.open_attempts: dict[int, list[Arrival]] = {}
        self.connections: list[tuple[float, str]] = []
        self.datagrams: list[float] = []
        self.ready: list[tuple[int, float, float]] = []  # gateway, time of its first reply, s since its start

    def clock(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self.began

    # Setup

    async def set_up(self) -> None:
        """Start the fake services and links, and create the gateways without starting them."""
        tier, rng = self.tier, self.rng
        for i in range(tier.servers):
            model = BackendModel(
                f"s-{i:02d}-{rng.getrandbits(16):04x}",
                fleet.ZONES[i % 3],
                cell=i // 6,
                cores=CORES,
                speed=rng.uniform(0.9, 1.1),
                queue=rng.randint(45, 110),
                cold_s=tier.cold,
            )
            server = FakeBackend(
                model, gamma_work(random.Random(rng.random()), MEAN_WORK, 0.7), self.record_attempt
            )
            await server.start(gateways=tier.gateways)
            assert server.doors is not None
            server.doors.on_connection = lambda gateway, name=model.name: self.connections.append(
                (self.clock(), name)
            )
            self.servers.append(server)
        self.discovery = Discovery(self.endpoint_list, self.record_endpoint_list)
        await self.discovery.start(tier.gateways)
        host = fleet.process_loopback_host()
        peers = fleet.find_free_addresses(tier.gateways, socket.SOCK_DGRAM, host)
        listen = fleet.find_free_addresses(tier.gateways, socket.SOCK_STREAM, host)
        self.links = Links(peers, random.Random(rng.random()))
        self.links.on_datagram = lambda i, j, lost: self.datagrams.append(self.clock())
        await self.links.start()
        options = f'knowledge path="{self.folder}/state" every=1.0\n' if tier.knowledge else ""
        package_path = (self.program or pathlib.Path(__file__).parents[2]) / "corkdeal"
        for node, wanted in (("recovery", tier.recovery), ("membership", tier.membership)):
            options += f"{node}\n" if wanted and (package_path / node).exists() else ""
        assert self.discovery.doors is not None
        for i, door in enumerate(self.discovery.doors.ports):
            settings = fleet.settings(tier.gateways, i, clients.PLANS)
            settings["rules"]["warm_within_us"] = int(tier.cold * 1e6)
            config = {
                "name": f"n{i}",
                "listen": listen[i],
                "discovery": f"127.0.0.1:{door}",
                "peer_listen": peers[i],
                "peers": self.links.peers_of(i),
                "limits": {"sockets": 1024},
                "settings": settings,
            }
            self.gateways.append(fleet.Gateway(i, config, self.folder, options, self.program))

    def endpoint_list(self, gateway: int) -> list[dict[str, Any]]:
        """The endpoint list as that gateway receives it."""
        return [
            s.entry("Terminating" if s.model.name in self.draining else "Ready", gateway)
            for s in self.servers
            if s.model.name not in self.removed
        ]

    def record_endpoint_list(self, gateway: int, endpoints: list[dict[str, Any]]) -> None:
        """Record the endpoint list that a gateway received."""
        ready = frozenset(m["id"] for m in endpoints if m["phase"] == "Ready")
        self.history.sent_lists[gateway].append(SentList(self.clock(), ready))

    def record_attempt(self, a: Arrival) -> None:
        """Record an attempt at a backend, with the backend of another open attempt of the same request."""
        others = self.open_attempts.setdefault(a.request, [])
        other_backend = next((o.server for o in others if o.is_open()), "")
        others.append(a)
        self.history.attempts.append(
            BackendAttempt(self.clock(), a.server, int(a.gateway), a.request, a.customer, other_backend)
        )

    # Steps

    def select(self, selection: str, count: int, population: Iterable[int] | None = None) -> list[int]:
        """The members of a selection; a percentage draws from `population`, by default from all."""
        candidates = list(range(count)) if population is None else list(population)
        if selection.endswith("%"):
            size = max(1, round(count * int(selection[:-1]) / 100))
            return sorted(self.rng.sample(candidates, min(size, len(candidates))))
        return candidates if selection == "all" else [int(part) for part in selection.split(",")]

    def select_gateways(self, selection: str) -> list[int]:
        """The gateways that a step selects."""
        running = {i for i, g in enumerate(self.gateways) if g.up}
        if selection in ("up", "down", "rest"):
            remaining = set(range(len(self.gateways))) - (
                running if selection == "down" else self.last_selected
            )
            return sorted(running if selection == "up" else remaining)
        selected = self.select(selection, len(self.gateways))
        if selection.endswith("%"):
            self.last_selected = set(selected)
        return selected

    def run_in_background(self, coroutine: Any) -> None:
        """Run a coroutine in the background; it is cancelled at the end of the run."""
        task = asyncio.ensure_future(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def undo_after(self, seconds: float, undo: Callable[[], Any]) -> None:
        """Call `undo` after so many seconds, to end a fault."""
        await asyncio.sleep(seconds)
        if asyncio.iscoroutine(pending := undo()):
            await pending

    def mark_available(self, i: int) -> None:
        """Record that a gateway is available again."""
        if (since := self.away_since.pop(i, None)) is not None:
            self.history.downtimes.append(Downtime(i, since, self.clock()))

    async def start(self, i: int) -> None:
        """Start a gateway; one that is killed before its first reply does not count as available again."""
        previous_list = self.history.sent_lists[i][-1] if self.history.sent_lists[i] else None
        endpoint_document = self.discovery.document(i)
        if previous_list is None:
            self.record_endpoint_list(i, endpoint_document["members"])
        with contextlib.suppress(fleet.GatewayExitedError):
            startup_time = await self.gateways[i].start(endpoint_document)
            self.mark_available(i)
            self.ready.append((i, self.clock(), startup_time))

    async def process(self, kind: str, numbers: list[int]) -> None:
        """Send signals to gateways, or start them."""
        for i in numbers:
            g = self.gateways[i]
            if kind == "start":
                if g.process is None or g.process.returncode is not None:
                    self.run_in_background(self.start(i))
            elif g.process is not None and g.process.returncode is None:
                if kind in ("kill", "term"):
                    g.up = False
                    self.load_generator.down_since[i] = time.monotonic()
                    g.process.send_signal(signal.SIGCONT)
                if kind in ("kill", "term", "stop"):
                    self.away_since.setdefault(i, self.clock())
                g.process.send_signal(
                    {"kill": signal.SIGKILL, "term": signal.SIGTERM, "stop": signal.SIGSTOP}.get(
                        kind, signal.SIGCONT
                    )
                )
                if kind == "continue":
                    self.mark_available(i)
        if kind == "kill":  # all are killed at once; wait until they have ended before the next step
            await asyncio.gather(*(g.process.wait() for i in numbers if (g := self.gateways[i]).process))

    def apply_link_fault(self, step: Any) -> None:
        """Apply a fault to datagrams."""
        count = len(self.gateways)
        pairs = {
            (i, j) for i in self.select_gateways(step.sender) for j in self.select_gateways(step.to) if i != j
        }
        if step.both:
            pairs |= {(j, i) for i, j in pairs}
        number = self.links.start_fault(
            pairs, LinkFault(step.loss, step.delay, step.jitter, step.reorder, step.double, step.cut)
        )
        self.run_in_background(self.undo_after(step.seconds, lambda: self.links.end_fault(number)))
        self.record_event(f"links {len(pairs)} of {count * (count - 1)}")

    async def apply_door_fault(self, step: Any) -> None:
        """Apply a fault to TCP connections."""
        fault = DoorFault(step.refuse, step.silent, step.reset, step.slow)
        services = (
            [self.discovery.doors]
            if step.servers == "discovery"
            else [self.servers[i].doors for i in self.select(step.servers, len(self.servers))]
        )
        selected = self.select_gateways(step.gateways)
        for doors_of_service in services:
            for i in selected:
                if step.late:
                    self.discovery.response_delays[i] = step.late
                    self.run_in_background(
                        self.undo_after(step.seconds, lambda i=i: self.discovery.response_delays.pop(i, None))
                    )
                else:
                    await doors_of_service.set_fault(i, fault)  # type: ignore[union-attr]
                    self.run_in_background(
                        self.undo_after(
                            step.seconds,
                            lambda doors_of_service=doors_of_service, i=i: doors_of_service.set_fault(
                                i, NO_DOOR_FAULT
                            ),
                        )
                    )

    async def change_backends(self, step: Any) -> None:
        """Change the state of backends."""
        for i in self.select(step.servers, len(self.servers)):
            s = self.servers[i]
            name = s.model.name
            if step.what in ("slow", "well", "bad"):
                s.slow = step.times if step.what == "slow" else 1.0
                (self.rejecting.add if step.what == "bad" else self.rejecting.discard)(name)
                s.model.queue = 0 if step.what == "bad" else max(45, s.model.queue)
            elif step.what == "cold":
                s.up_since = time.time()
            else:
                (self.removed if step.what == "gone" else self.draining).add(name)
        if step.what in ("cold", "drain", "gone"):
            await self.discovery.publish()

    def change_folders(self, step: Any) -> None:
        """Change the persisted state of gateways."""
        for i in self.select_gateways(step.gateways):
            state_folder, saved_copy = self.folder / "state" / f"n{i}", self.folder / "copies" / f"n{i}"
            if step.what == "save":
                replace_folder(state_folder, saved_copy)
            elif step.what == "older":
                replace_folder(saved_copy, state_folder)
            elif step.what in ("empty", "blocked"):
                shutil.rmtree(state_folder, ignore_errors=True)
                if step.what == "blocked":
                    # A file in place of the folder, since root can write to a read-only folder.
                    state_folder.parent.mkdir(exist_ok=True)
                    state_folder.write_text("")
            elif step.what == "full":
                self.gateways[i].set_disk_full(True)
            elif step.what == "freed":
                self.gateways[i].set_disk_full(False)
                if state_folder.is_file():
                    state_folder.unlink()
            elif step.what == "swap":
                other_folder = state_folder.with_name(f"n{(i + 1) % len(self.gateways)}")
                temporary = state_folder.with_name("aside")
                for a, b in (
                    (state_folder, temporary),
                    (other_folder, state_folder),
                    (temporary, other_folder),
                ):
                    if a.exists():
                        a.rename(b)
            else:
                for file in sorted(state_folder.glob("*.know")) if state_folder.is_dir() else ():
                    if step.what == "cut-short":
                        os.truncate(file, file.stat().st_size // 2)
                    else:
                        age_snapshot(file)

    def record_event(self, text: str) -> None:
        """Record an event in the history."""
        self.history.events.append((self.clock(), text))

    async def step(self, step: Step) -> None:
        """Perform one step of the schedule."""
        what = step.what
        self.record_event(
            " ".join(
                filter(None, (step.line, step.kind, getattr(what, "gateways", ""), getattr(what, "what", "")))
            )
        )
        if step.kind == "link":
            self.apply_link_fault(what)
        elif step.kind == "door":
            await self.apply_door_fault(what)
        elif step.kind == "servers":
            await self.change_backends(what)
        elif step.kind == "folders":
            self.change_folders(what)
        elif step.kind == "clock":
            for i in self.select_gateways(what.gateways):
                self.gateways[i].clock_offset = what.by
        else:
            await self.process(step.kind, self.select_gateways(what.gateways))

    async def run_steps(self) -> None:
        """Perform all steps at their times."""
        for step in steps(self.schedule):
            await asyncio.sleep(max(0.0, step.second - self.clock()))
            await self.step(step)

    # The run

    async def run(self) -> dict[str, Any]:
        """Run the schedule, stop everything, and evaluate the history."""
        tier = self.tier
        capacity = tier.servers * CORES / MEAN_WORK
        customers = clients.customers(self.rng, tier.load * capacity, tier.gateways, tier.greedy)
        requests = clients.arrivals(self.rng, customers, tier.seconds, tier.gateways)
        self.customers = {c.id: c for c in customers}
        try:
            await self.set_up()
            self.load_generator = RecordingClients(self.gateways, requests, self.rng)
            self.load_generator.history, self.load_generator.clock = self.history, self.clock
            await asyncio.gather(*(self.start(i) for i in range(tier.gateways)))
            self.began = time.monotonic() + START_DELAY
            self.discard_startup_history()
            jobs = [
                asyncio.ensure_future(job) for job in (self.load_generator.run(self.began), self.run_steps())
            ]
            try:
                await asyncio.gather(*jobs)
            finally:
                for job in jobs:
                    job.cancel()
            end = self.clock()
        finally:
            await self.stop_all()
        self.history.downtimes += [Downtime(i, since, NEVER) for i, since in self.away_since.items()]
        return self.results(requests, end)

    def discard_startup_history(self) -> None:
        """Discard what was recorded during the first starts, before the run."""
        self.history.attempts.clear()
        self.history.sent_lists = {
            i: [SentList(-START_DELAY, lists[-1].ready)] for i, lists in self.history.sent_lists.items()
        }
        for kept in (self.connections, self.datagrams, self.ready, self.links.forwarding_delays):
            kept.clear()  # type: ignore[attr-defined]

    async def stop_all(self) -> None:
        """Stop everything; nothing that this run started outlives it."""
        for task in list(self.background_tasks):
            task.cancel()
        for g in self.gateways:
            await g.stop()
        for s in self.servers:
            s.crash()
        if hasattr(self, "discovery"):
            self.discovery.close()
        if hasattr(self, "links"):
            self.links.close()

    def quotas(self) -> dict[int, Quota]:
        """The quota of each customer, with the bound of docs/recovery.md for this run."""
        quotas = {}
        for c in self.customers.values():
            plan = clients.PLANS[c.plan]
            starts = sum((i - c.first) % self.tier.gateways < c.spread for i, _, _ in self.ready)
            quotas[c.id] = Quota(
                plan["quota_rate"],
                plan["store_size"],
                measure.over_admission_bound(plan["store_size"], c.spread, starts),
            )
        return quotas

    def results(self, requests: list[clients.ClientRequest], end: float) -> dict[str, Any]:
        """The results of a run, as they are saved."""
        quotas, first_arrivals = self.quotas(), self.history.first_arrivals()
        over_units = {
            w: [max(0.0, max_over_quota(first_arrivals.get(c, []), q, w)[0]) for c, q in quotas.items()]
            for w in (1.0, 5.0, 30.0)
        }
        broken = check(self.history, quotas, end, SLACK)
        planned = steps(self.schedule)
        away = [s.second for s in planned if s.kind in ("kill", "term", "stop")]
        first = min(away or [s.second for s in planned], default=self.tier.seconds)
        last = max((a.end if a.end < NEVER else a.begin for a in self.history.downtimes), default=first)
        return {
            "seed": self.seed,
            "gateways": self.tier.gateways,
            "servers": self.tier.servers,
            "asked": len(requests),
            "outcomes": {
                o or "unanswered": sum(a.outcome == o for a in requests)
                for o in ("served", "late", "refused", "failed", "")
            },
            **measure.service_metrics(
                requests, self.customers, first_arrivals, self.tier.settled, first, last, self.tier.seconds
            ),
            "peaks": measure.peak_metrics(
                {
                    "attempts": [(a.at, a.server) for a in self.history.attempts],
                    "connections": self.connections,
                    "discovery": [(t.at, "") for lists in self.history.sent_lists.values() for t in lists],
                    "datagrams": [(at, "") for at in self.datagrams],
                },
                self.tier.settled,
                first,
                self.tier.seconds,
            ),
            "over_most": {f"{w:g}": round(max(v, default=0.0), 2) for w, v in over_units.items()},
            "over_sum": {f"{w:g}": round(sum(v), 1) for w, v in over_units.items()},
            "over_bound": round(max((q.bound for q in quotas.values()), default=0.0), 2),
            "broken": [{"rule": b.rule, "lines": b.lines} for b in broken],
            "fallen": sum(s.has_crashed for s in self.servers),
            "links": dict(self.links.counters),
            "link_delay_ms": measure.latency_summary(self.links.forwarding_delays),
            "ready_s": [round(startup_time, 2) for _, _, startup_time in self.ready],
            "events": [(round(at, 2), text) for at, text in self.history.events],
            "full_said": measure.full_service_times(self.folder, self.tier.gateways),
        }


def replace_folder(source: pathlib.Path, target: pathlib.Path) -> None:
    """Replace a folder by a copy of another one, if that exists."""
    if source.exists():
        shutil.rmtree(target, ignore_errors=True)
        shutil.copytree(source, target)


def age_snapshot(file: pathlib.Path, seconds: float = 3600.0) -> None:
    """Rewrite a snapshot file as if it were older by so many seconds."""
    from ..persistence import merge
    from ..persistence.codec import decode_snapshot, encode_page, encode_page_entry, encode_snapshot

    generation, _, document = decode_snapshot(file.read_bytes())
    aged = merge.backdated(document, seconds)
    entries = [encode_page_entry(customer, raw) for page in aged.accounts for customer, raw in page.items()]
    file.write_bytes(b"".join(encode_snapshot(generation, aged.head, [encode_page(entries, len(entries))])))


async def run_schedule(
    schedule: Schedule, seed: int, folder: pathlib.Path, program: pathlib.Path | None = None
) -> dict[str, Any]:
    """Run a schedule once; `folder` receives the logs and persisted state."""
    return await TierRun(schedule, seed, folder, program).run()
