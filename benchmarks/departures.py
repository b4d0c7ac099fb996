"""How many requests are sent on after their clients have left: over real gateways, against another revision.

PYTHONPATH=. python -O benchmarks/departures.py [--departures 1000] [--against CHECKOUT] [--out FILE]

Three gateways as `run` starts them, six stand-in servers. Clients ask on connections of their own and leave
after a while, by closing (FIN) or by a reset, some in bursts. Meanwhile requests have cause to wait: for part
of the time discovery lists no server, so they are held, and two servers at a time take requests and do not
answer, so they are sent again. Late are those of which an attempt reaches a server more than LATE s after
their client left. Clients that stay are counted by the kind of their answers ($ is served).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import random
import socket
import struct
import tempfile
import time
from collections import Counter
from typing import Any

from corkdeal.standin.discovery import Discovery
from corkdeal.standin.fleet import tier
from corkdeal.standin.servers import Arrival, Model, Server, work_drawer

LATE = 0.3  # s after its client left, from which on a request must not be sent on
GATEWAYS, SERVERS = 3, 6
EVERY, STAY = 0.02, 0.5  # s between clients; s that one stays at the most
EMPTY_EVERY, EMPTY_FOR, HANG_FOR = 1.5, 0.6, 0.7  # s
PLANS = [{"name": "open", "quota_rate": 100_000, "store_size": 100_000}]


def ask(rid: int, write: bool, gateway: int) -> bytes:
    """A request of a customer of its own, whose set is that gateway."""
    params = f"c={'solve-record' if write else 'board-load'},t=open,d=4000,units=1,spread=1,first={gateway}"
    params += f",k={rid:016x}" if write else ""
    words = [b"API.WRITE" if write else b"API.READ", b"%016x" % rid, b"%016x" % rid, params.encode()]
    words += [b"stars"] if write else []
    return b"*%d\r\n%b" % (len(words), b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words))


class Play:
    """One play of one revision."""

    def __init__(self, seed: int, departures: int, program: pathlib.Path | None) -> None:
        self.chance, self.departures, self.program = random.Random(seed), departures, program
        self.left: dict[int, float] = {}  # when each client left, wall time
        self.arrived: dict[int, list[float]] = {}
        self.stayed: Counter[str] = Counter()
        self.empty = False

    def seen(self, arrival: Arrival) -> None:
        """A server has an attempt whole."""
        self.arrived.setdefault(arrival.request, []).append(arrival.at)

    async def client(self, gateway: Any, rid: int, stay: float | None, reset: bool) -> None:
        """Ask, and leave after `stay` s; one that stays reads its answer."""
        host, port = gateway.listen.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(ask(rid, rid % 2 == 1, gateway.number))
        if stay is None:
            self.stayed[(await reader.readline())[:5].decode().strip("0123456789\r\n ")] += 1
        else:
            await asyncio.sleep(stay)
            if reset:
                handle = writer.get_extra_info("socket")
                handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.left[rid] = time.time()
            writer.transport.abort()  # closes at once; only with linger 0 that is a reset
            return
        writer.close()

    async def trouble(self, discovery: Discovery, servers: list[Server]) -> None:
        """Give requests cause to wait."""
        while True:
            hung = self.chance.sample(servers, 2)
            for each in hung:
                each.slow = 1000.0
            await asyncio.sleep(HANG_FOR)
            for each in hung:
                each.slow = 1.0
            self.empty = True
            await discovery.publish()
            await asyncio.sleep(EMPTY_FOR)
            self.empty = False
            await discovery.publish()
            await asyncio.sleep(EMPTY_EVERY - EMPTY_FOR)

    async def run(self) -> dict[str, Any]:
        """Play it; the figures."""
        models = [
            Model(f"s{i}", "north-hall", cell=i % 2, cores=8, queue=4000, fall_multiple=1000.0)
            for i in range(SERVERS)
        ]
        servers = [Server(m, work_drawer(self.chance, 0.15, 0.5), self.seen) for m in models]
        for each in servers:
            await each.start()
        discovery = Discovery(lambda: [] if self.empty else [s.entry() for s in servers])
        await discovery.start()
        with tempfile.TemporaryDirectory() as folder:
            gateways = tier(GATEWAYS, discovery.port, pathlib.Path(folder), PLANS, "recovery\n", self.program)
            for number, each in enumerate(gateways):
                each.config["settings"]["me"] = number
            tasks: list[asyncio.Task[None]] = []
            try:
                await asyncio.gather(*(g.start() for g in gateways))
                tasks.append(asyncio.create_task(self.trouble(discovery, servers)))
                await self.clients(gateways)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*(g.end() for g in gateways))
                discovery.close()
                for each in servers:
                    each.die()
        return self.figures()

    async def clients(self, gateways: list[Any]) -> None:
        """All who leave, and one in five who stays."""
        asked, rid = [], 0
        while rid < self.departures:
            many = 25 if self.chance.random() < 0.013 else 1
            for _ in range(min(many, self.departures - rid)):
                rid += 1
                asked.append(
                    asyncio.create_task(
                        self.client(
                            self.chance.choice(gateways), rid, self.chance.uniform(0.0, STAY), rid % 3 == 0
                        )
                    )
                )
            if rid % 5 == 0:
                asked.append(
                    asyncio.create_task(
                        self.client(self.chance.choice(gateways), rid + (1 << 32), None, False)
                    )
                )
            await asyncio.sleep(EVERY)
        await asyncio.wait(asked, timeout=10)
        await asyncio.sleep(1.0)  # what would be sent on late still has time to be

    def figures(self) -> dict[str, Any]:
        """What became of them."""
        waits = [max(ats) - self.left[rid] for rid, ats in self.arrived.items() if rid in self.left]
        late = [w for w in waits if w > LATE]
        return {
            "departures": len(self.left),
            "reached_a_server": len(waits),
            "late": len(late),
            "late_share": round(len(late) / max(1, len(self.left)), 4),
            "latest_s": round(max(waits, default=0.0), 3),
            "answers_to_who_stayed": dict(self.stayed),
        }


def main() -> None:
    """Play both revisions, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--departures", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--against", type=pathlib.Path)
    parser.add_argument("--out", type=pathlib.Path)
    given = parser.parse_args()
    result = {"seed": given.seed, "now": asyncio.run(Play(given.seed, given.departures, None).run())}
    if given.against:
        result["against"] = asyncio.run(Play(given.seed, given.departures, given.against).run())
    text = json.dumps(result, indent=1)
    print(text)
    if given.out:
        given.out.write_text(text + "\n")


if __name__ == "__main__":
    main()
