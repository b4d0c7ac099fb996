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
from ..standin.discovery import Discovery
from ..standin.history import Attempt, Away, History, Quota, Told, Try, check, most_over
from ..standin.links import OPEN, DoorFault, Links
from ..standin.links import Fault as LinkFault
from ..standin.servers import Arrival, Model, Server, work_drawer
from . import measure
from .schedule import Schedule, Step, Tier, steps

WORK = 0.2  # s, mean work of a request
CORES = 3
BEGIN = 0.3  # s from the last start to the first request
SLACK = 0.1  # s by which the fake services themselves may be late
LAST = 6.0  # s to wait for replies after the last request
NEVER = 1e9


class Asking(clients.Clients):
    """Clients that record their attempts in the history."""

    history: History
    clock: Callable[[], float]

    def asked(self, rid: int, ask: clients.Ask, gateway: int, planned: float, left: float) -> None:
        """Record an attempt that is sent."""
        now = self.clock()
        self.history.tries[rid] = Try(rid, ask.customer.id, gateway, ask.at, now, now + left)

    def answered(self, rid: int, first: str) -> None:
        """Record the reply to an attempt, or that its connection ended without one."""
        if first:
            self.history.tries[rid].answers.append((self.clock(), first))
        else:
            self.history.tries[rid].cut_at = self.clock()


class Play:
    """One run of a schedule."""

    def __init__(
        self, schedule: Schedule, seed: int, folder: pathlib.Path, program: pathlib.Path | None = None
    ) -> None:
        """`program` is another checkout whose gateways run instead of those of this one."""
        self.schedule, self.tier, self.seed = schedule, schedule.tier or Tier(), seed
        self.folder, self.program = folder, program
        self.chance = random.Random(seed)
        self.history = History()
        self.began = time.monotonic()
        self.gateways: list[fleet.Gateway] = []
        self.servers: list[Server] = []
        self.gone: set[str] = set()
        self.drained: set[str] = set()
        self.bad: set[str] = set()
        self.chosen: set[int] = set()  # gateways that a percentage last selected
        self.away: dict[int, float] = {}
        self.waiting: set[asyncio.Task[Any]] = set()
        self.open_attempts: dict[int, list[Arrival]] = {}
        self.connects: list[tuple[float, str]] = []
        self.datagrams: list[float] = []
        self.ready: list[tuple[int, float, float]] = []  # gateway, time of its first reply, s since its start

    def clock(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self.began

    # Setup

    async def build(self) -> None:
        """Start the fake services and links, and create the gateways without starting them."""
        tier, chance = self.tier, self.chance
        for i in range(tier.servers):
            model = Model(
                f"s-{i:02d}-{chance.getrandbits(16):04x}",
                fleet.HALLS[i % 3],
                cell=i // 6,
                cores=CORES,
                speed=chance.uniform(0.9, 1.1),
                queue=chance.randint(45, 110),
                cold_s=tier.cold,
            )
            server = Server(model, work_drawer(random.Random(chance.random()), WORK, 0.7), self.arrived)
            await server.start(gateways=tier.gateways)
            assert server.doors is not None
            server.doors.connected = lambda gateway, name=model.name: self.connects.append(
                (self.clock(), name)
            )
            self.servers.append(server)
        self.discovery = Discovery(self.members, self.told)
        await self.discovery.start(tier.gateways)
        host = fleet.own_host()
        peers = fleet.free_ones(tier.gateways, socket.SOCK_DGRAM, host)
        listen = fleet.free_ones(tier.gateways, socket.SOCK_STREAM, host)
        self.links = Links(peers, random.Random(chance.random()))
        self.links.heard = lambda i, j, lost: self.datagrams.append(self.clock())
        await self.links.start()
        options = f'knowledge path="{self.folder}/state" every=1.0\n' if tier.knowledge else ""
        there = (self.program or pathlib.Path(__file__).parents[2]) / "corkdeal"
        for node, wanted in (("recovery", tier.recovery), ("membership", tier.membership)):
            options += f"{node}\n" if wanted and (there / node).exists() else ""
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

    def members(self, gateway: int) -> list[dict[str, Any]]:
        """The endpoint list as that gateway receives it."""
        return [
            s.entry("Terminating" if s.model.name in self.drained else "Ready", gateway)
            for s in self.servers
            if s.model.name not in self.gone
        ]

    def told(self, gateway: int, members: list[dict[str, Any]]) -> None:
        """Record the endpoint list that a gateway received."""
        ready = frozenset(m["id"] for m in members if m["phase"] == "Ready")
        self.history.told[gateway].append(Told(self.clock(), ready))

    def arrived(self, a: Arrival) -> None:
        """Record an attempt at a backend, with the backend of another open attempt of the same request."""
        others = self.open_attempts.setdefault(a.request, [])
        beside = next((o.server for o in others if o.live()), "")
        others.append(a)
        self.history.attempts.append(
            Attempt(self.clock(), a.server, int(a.gateway), a.request, a.customer, beside)
        )

    # Steps

    def pick(self, said: str, count: int, pool: Iterable[int] | None = None) -> list[int]:
        """The members of a selection; a percentage draws from `pool`, by default from all."""
        everyone = list(range(count)) if pool is None else list(pool)
        if said.endswith("%"):
            size = max(1, round(count * int(said[:-1]) / 100))
            return sorted(self.chance.sample(everyone, min(size, len(everyone))))
        return everyone if said == "all" else [int(part) for part in said.split(",")]

    def which(self, said: str) -> list[int]:
        """The gateways that a step selects."""
        up = {i for i, g in enumerate(self.gateways) if g.up}
        if said in ("up", "down", "rest"):
            others = set(range(len(self.gateways))) - (up if said == "down" else self.chosen)
            return sorted(up if said == "up" else others)
        made = self.pick(said, len(self.gateways))
        if said.endswith("%"):
            self.chosen = set(made)
        return made

    def spawn(self, job: Any) -> None:
        """Run a coroutine in the background; it is cancelled at the end of the run."""
        task = asyncio.ensure_future(job)
        self.waiting.add(task)
        task.add_done_callback(self.waiting.discard)

    async def later(self, seconds: float, undo: Callable[[], Any]) -> None:
        """Call `undo` after so many seconds, to end a fault."""
        await asyncio.sleep(seconds)
        if asyncio.iscoroutine(made := undo()):
            await made

    def back(self, i: int) -> None:
        """Record that a gateway is available again."""
        if (since := self.away.pop(i, None)) is not None:
            self.history.away.append(Away(i, since, self.clock()))

    async def start(self, i: int) -> None:
        """Start a gateway; one that is killed before its first reply does not count as available again."""
        before = self.history.told[i][-1] if self.history.told[i] else None
        known = self.discovery.document(i)
        if before is None:
            self.told(i, known["members"])
        with contextlib.suppress(fleet.Ended):
            took = await self.gateways[i].start(known)
            self.back(i)
            self.ready.append((i, self.clock(), took))

    async def process(self, kind: str, numbers: list[int]) -> None:
        """Send signals to gateways, or start them."""
        for i in numbers:
            g = self.gateways[i]
            if kind == "start":
                if g.process is None or g.process.returncode is not None:
                    self.spawn(self.start(i))
            elif g.process is not None and g.process.returncode is None:
                if kind in ("kill", "term"):
                    g.up = False
                    self.front.down_since[i] = time.monotonic()
                    g.process.send_signal(signal.SIGCONT)
                if kind in ("kill", "term", "stop"):
                    self.away.setdefault(i, self.clock())
                g.process.send_signal(
                    {"kill": signal.SIGKILL, "term": signal.SIGTERM, "stop": signal.SIGSTOP}.get(
                        kind, signal.SIGCONT
                    )
                )
                if kind == "continue":
                    self.back(i)
        if kind == "kill":  # all are killed at once; wait until they have ended before the next step
            await asyncio.gather(*(g.process.wait() for i in numbers if (g := self.gateways[i]).process))

    def link(self, step: Any) -> None:
        """Apply a fault to datagrams."""
        count = len(self.gateways)
        pairs = {(i, j) for i in self.which(step.sender) for j in self.which(step.to) if i != j}
        if step.both:
            pairs |= {(j, i) for i, j in pairs}
        number = self.links.put(
            pairs, LinkFault(step.loss, step.delay, step.jitter, step.reorder, step.double, step.cut)
        )
        self.spawn(self.later(step.seconds, lambda: self.links.lift(number)))
        self.note(f"links {len(pairs)} of {count * (count - 1)}")

    async def door(self, step: Any) -> None:
        """Apply a fault to TCP connections."""
        fault = DoorFault(step.refuse, step.silent, step.reset, step.slow)
        doors = (
            [self.discovery.doors]
            if step.servers == "discovery"
            else [self.servers[i].doors for i in self.pick(step.servers, len(self.servers))]
        )
        who = self.which(step.gateways)
        for each in doors:
            for i in who:
                if step.late:
                    self.discovery.late[i] = step.late
                    self.spawn(self.later(step.seconds, lambda i=i: self.discovery.late.pop(i, None)))
                else:
                    await each.put(i, fault)  # type: ignore[union-attr]
                    self.spawn(self.later(step.seconds, lambda each=each, i=i: each.put(i, OPEN)))

    async def change(self, step: Any) -> None:
        """Change the state of backends."""
        for i in self.pick(step.servers, len(self.servers)):
            s = self.servers[i]
            name = s.model.name
            if step.what in ("slow", "well", "bad"):
                s.slow = step.times if step.what == "slow" else 1.0
                (self.bad.add if step.what == "bad" else self.bad.discard)(name)
                s.model.queue = 0 if step.what == "bad" else max(45, s.model.queue)
            elif step.what == "cold":
                s.up_since = time.time()
            else:
                (self.gone if step.what == "gone" else self.drained).add(name)
        if step.what in ("cold", "drain", "gone"):
            await self.discovery.publish()

    def folders(self, step: Any) -> None:
        """Change the persisted state of gateways."""
        for i in self.which(step.gateways):
            here, copy = self.folder / "state" / f"n{i}", self.folder / "copies" / f"n{i}"
            if step.what == "save":
                replace(here, copy)
            elif step.what == "older":
                replace(copy, here)
            elif step.what in ("empty", "blocked"):
                shutil.rmtree(here, ignore_errors=True)
                if (
                    step.what == "blocked"
                ):  # a file in place of the folder; root could write to a read-only folder
                    here.parent.mkdir(exist_ok=True)
                    here.write_text("")
            elif step.what == "full":
                self.gateways[i].fill_disk(True)
            elif step.what == "freed":
                self.gateways[i].fill_disk(False)
                if here.is_file():
                    here.unlink()
            elif step.what == "swap":
                other = here.with_name(f"n{(i + 1) % len(self.gateways)}")
                aside = here.with_name("aside")
                for a, b in ((here, aside), (other, here), (aside, other)):
                    if a.exists():
                        a.rename(b)
            else:
                for file in sorted(here.glob("*.know")) if here.is_dir() else ():
                    if step.what == "cut-short":
                        os.truncate(file, file.stat().st_size // 2)
                    else:
                        older(file)

    def note(self, said: str) -> None:
        """Record an event in the history."""
        self.history.events.append((self.clock(), said))

    async def step(self, step: Step) -> None:
        """Perform one step of the schedule."""
        what = step.what
        self.note(
            " ".join(
                filter(None, (step.line, step.kind, getattr(what, "gateways", ""), getattr(what, "what", "")))
            )
        )
        if step.kind == "link":
            self.link(what)
        elif step.kind == "door":
            await self.door(what)
        elif step.kind == "servers":
            await self.change(what)
        elif step.kind == "folders":
            self.folders(what)
        elif step.kind == "clock":
            for i in self.which(what.gateways):
                self.gateways[i].clock_by = what.by
        else:
            await self.process(step.kind, self.which(what.gateways))

    async def script(self) -> None:
        """Perform all steps at their times."""
        for step in steps(self.schedule):
            await asyncio.sleep(max(0.0, step.second - self.clock()))
            await self.step(step)

    # The run

    async def run(self) -> dict[str, Any]:
        """Run the schedule, stop everything, and evaluate the history."""
        tier = self.tier
        capacity = tier.servers * CORES / WORK
        who = clients.customers(self.chance, tier.load * capacity, tier.gateways, tier.greedy)
        asks = clients.arrivals(self.chance, who, tier.seconds, tier.gateways)
        self.customers = {c.id: c for c in who}
        try:
            await self.build()
            self.front = Asking(self.gateways, asks, self.chance)
            self.front.history, self.front.clock = self.history, self.clock
            await asyncio.gather(*(self.start(i) for i in range(tier.gateways)))
            self.began = time.monotonic() + BEGIN
            self.reset_clock()
            jobs = [asyncio.ensure_future(job) for job in (self.front.run(self.began), self.script())]
            try:
                await asyncio.gather(*jobs)
            finally:
                for job in jobs:
                    job.cancel()
            end = self.clock()
        finally:
            await self.end()
        self.history.away += [Away(i, since, NEVER) for i, since in self.away.items()]
        return self.results(asks, end)

    def reset_clock(self) -> None:
        """Discard what was recorded during the first starts, before the run."""
        self.history.attempts.clear()
        self.history.told = {i: [Told(-BEGIN, lists[-1].ready)] for i, lists in self.history.told.items()}
        for kept in (self.connects, self.datagrams, self.ready, self.links.delays):
            kept.clear()  # type: ignore[attr-defined]

    async def end(self) -> None:
        """Stop everything; nothing that this run started outlives it."""
        for task in list(self.waiting):
            task.cancel()
        for g in self.gateways:
            await g.end()
        for s in self.servers:
            s.die()
        if hasattr(self, "discovery"):
            self.discovery.close()
        if hasattr(self, "links"):
            self.links.close()

    def quotas(self) -> dict[int, Quota]:
        """Customers that may never exceed their quotas, with the bound of docs/recovery.md for this run."""
        made = {}
        for c in self.customers.values():
            plan = clients.PLANS[c.plan]
            if plan["over_worth"] <= plan["over_cost"]:
                starts = sum((i - c.first) % self.tier.gateways < c.spread for i, _, _ in self.ready)
                made[c.id] = Quota(
                    plan["quota_rate"],
                    plan["store_size"],
                    measure.over_admission_bound(plan["store_size"], c.spread, starts),
                )
        return made

    def results(self, asks: list[clients.Ask], end: float) -> dict[str, Any]:
        """The results of a run, as they are saved."""
        quotas, firsts = self.quotas(), self.history.firsts()
        over = {
            w: [max(0.0, most_over(firsts.get(c, []), q, w)[0]) for c, q in quotas.items()]
            for w in (1.0, 5.0, 30.0)
        }
        broken = check(self.history, quotas, end, SLACK)
        planned = steps(self.schedule)
        away = [s.second for s in planned if s.kind in ("kill", "term", "stop")]
        first = min(away or [s.second for s in planned], default=self.tier.seconds)
        last = max((a.end if a.end < NEVER else a.begin for a in self.history.away), default=first)
        return {
            "seed": self.seed,
            "gateways": self.tier.gateways,
            "servers": self.tier.servers,
            "asked": len(asks),
            "outcomes": {
                o or "unanswered": sum(a.outcome == o for a in asks)
                for o in ("served", "late", "refused", "failed", "")
            },
            **measure.service_metrics(
                asks, self.customers, firsts, self.tier.settled, first, last, self.tier.seconds
            ),
            "peaks": measure.peak_metrics(
                {
                    "attempts": [(a.at, a.server) for a in self.history.attempts],
                    "connections": self.connects,
                    "discovery": [(t.at, "") for told in self.history.told.values() for t in told],
                    "datagrams": [(at, "") for at in self.datagrams],
                },
                self.tier.settled,
                first,
                self.tier.seconds,
            ),
            "over_most": {f"{w:g}": round(max(v, default=0.0), 2) for w, v in over.items()},
            "over_sum": {f"{w:g}": round(sum(v), 1) for w, v in over.items()},
            "over_bound": round(max((q.bound for q in quotas.values()), default=0.0), 2),
            "broken": [{"rule": b.rule, "lines": b.lines} for b in broken],
            "fallen": sum(s.fallen for s in self.servers),
            "links": dict(self.links.carried),
            "link_delay_ms": measure.latency_summary(self.links.delays),
            "ready_s": [round(took, 2) for _, _, took in self.ready],
            "events": [(round(at, 2), said) for at, said in self.history.events],
            "full_said": measure.full_service_times(self.folder, self.tier.gateways),
        }


def replace(source: pathlib.Path, target: pathlib.Path) -> None:
    """Replace a folder by a copy of another one, if that exists."""
    if source.exists():
        shutil.rmtree(target, ignore_errors=True)
        shutil.copytree(source, target)


def older(file: pathlib.Path, seconds: float = 3600.0) -> None:
    """Rewrite a snapshot file as if it were older by so many seconds."""
    from ..persistence import merge
    from ..persistence.codec import decode_snapshot, encode_page, encode_page_entry, encode_snapshot

    generation, _, document = decode_snapshot(file.read_bytes())
    made = merge.backdated(document, seconds)
    entries = [encode_page_entry(customer, raw) for each in made.accounts for customer, raw in each.items()]
    file.write_bytes(b"".join(encode_snapshot(generation, made.head, [encode_page(entries, len(entries))])))


async def play(
    schedule: Schedule, seed: int, folder: pathlib.Path, program: pathlib.Path | None = None
) -> dict[str, Any]:
    """Run a schedule once; `folder` receives the logs and persisted state."""
    return await Play(schedule, seed, folder, program).run()
