"""Fake clients: customers that send requests at a given rate whatever the replies are, and retry once.

All arrivals are drawn from the seed in advance, so two runs with the same seed get the same requests.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Any

from .fleet import CLASSES, Gateway

NOTICE = 1.5  # s from the end of a gateway until clients know it to be down


@dataclass(slots=True, frozen=True)
class Customer:
    """One customer: its plan's quota, its set of gateways and its request rate."""

    id: int
    plan: int
    rate: float  # quota, units/s
    asks: float  # units/s requested
    first: int  # the first gateway of its set
    spread: int  # the number of gateways in its set
    weights: tuple[float, ...]  # how its requests are spread over the set


@dataclass(slots=True)
class Ask:
    """One request of a client, including its retry."""

    at: float  # s since the start of the run
    customer: Customer
    cls: int
    gateway: int
    work: int = 0
    worth: float = 0.0
    outcome: str = ""  # served, late, refused, failed
    took: float = 0.0  # s from the planned time to the last reply


PLANS = [  # values from the middle of the ranges that the load model specifies
    {
        "name": "family",
        "quota_rate": 1.4,
        "store_size": 5.6,
        "value_factor": 1.1,
        "over_worth": 0,
        "over_cost": 0.5,
    },
    {
        "name": "school",
        "quota_rate": 9.5,
        "store_size": 16.6,
        "value_factor": 1.4,
        "over_worth": 0.3,
        "over_cost": 0,
    },
]


def customers(chance: random.Random, load: float, gateways: int, greedy: float = 0.1) -> list[Customer]:
    """Draw customers that together request `load` units/s within their quotas.

    A fraction `greedy` requests 1.8 to 4.4 times its quota, 15 % 0.85 to 1, and the rest 0.16 to 0.49 times.
    """
    made: list[Customer] = []
    for plan, share in ((0, 0.63), (1, 0.37)):
        rate, left = PLANS[plan]["quota_rate"], load * share
        while left > 0:
            kind = chance.random()
            times = (
                chance.uniform(1.8, 4.4)
                if kind < greedy
                else chance.uniform(0.85, 1.0)
                if kind < greedy + 0.15
                else chance.uniform(0.16, 0.49)
            )
            spread = chance.randint(2, gateways)
            made.append(
                Customer(
                    chance.getrandbits(32),
                    plan,
                    rate,
                    rate * times,
                    chance.randrange(gateways),
                    spread,
                    tuple(chance.uniform(0.3, 1.5) for _ in range(spread)),
                )
            )
            left -= min(rate, rate * times)
    return made


def arrivals(chance: random.Random, who: list[Customer], seconds: float, gateways: int) -> list[Ask]:
    """Draw all requests of a run, sorted by time."""
    made = []
    for c in who:
        at, weights = chance.expovariate(c.asks), list(c.weights)
        shift = chance.uniform(6, 24)
        while at < seconds:
            if at > shift:  # its traffic shifts to other gateways of its set
                chance.shuffle(weights)
                shift = at + chance.uniform(6, 24)
            place = chance.choices(range(c.spread), weights)[0]
            cls = int(chance.random() < 0.44)
            worth = CLASSES[cls]["points"] * PLANS[c.plan]["value_factor"]
            made.append(Ask(at, c, cls, (c.first + place) % gateways, worth=worth))
            at += chance.expovariate(c.asks)
    return sorted(made, key=lambda a: a.at)


class Pool:
    """Connection pool to one gateway; a connection carries one request at a time."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(self, command: bytes) -> bytes:
        """Send one command; returns the first line of its reply."""
        host, port = self.gateway.listen.split(":")
        while True:
            fresh = not self.free
            reader, writer = self.free.pop() if self.free else await asyncio.open_connection(host, int(port))
            try:
                writer.write(command)
                head = await reader.readline()
                if not head:
                    raise ConnectionResetError
                if head[:1] == b"$":
                    await reader.readexactly(int(head[1:]) + 2)
                self.free.append((reader, writer))
                return head
            except ConnectionError:
                writer.close()
                if fresh or not self.gateway.up:
                    raise
            except BaseException:
                writer.transport.abort()
                raise


class Clients:
    """Sends all requests at their times and records the outcomes."""

    def __init__(self, gateways: list[Gateway], asks: list[Ask], chance: random.Random) -> None:
        self.gateways, self.asks, self.chance = gateways, asks, chance
        self.pools = [Pool(g) for g in gateways]
        self.number = 1 << 40
        self.down_since: dict[int, float] = {}
        self.sent_to: dict[int, int] = {}  # the gateway of each attempt, by attempt ID

    def asked(self, rid: int, ask: Ask, gateway: int, planned: float, left: float) -> None:
        """Hook for subclasses: called before an attempt is sent."""

    def answered(self, rid: int, first: str) -> None:
        """Hook for subclasses: called with the first byte of the reply, or with "" if there was none."""

    def reach(self, ask: Ask) -> int:
        """The gateway to send to: the planned one, or the next of the set that is not known to be down."""
        c = ask.customer
        for step in range(c.spread):
            number = (c.first + (ask.gateway - c.first + step) % c.spread) % len(self.gateways)
            if self.gateways[number].up or time.monotonic() - self.down_since.get(number, 0.0) < NOTICE:
                return number
        return ask.gateway

    def command(self, ask: Ask, left: float, again: bool, to: int) -> bytes:
        """Encode an attempt under a new ID, and note its gateway `to`."""
        self.number += 1
        self.sent_to[self.number] = to
        c, cls = ask.customer, CLASSES[ask.cls]
        params = (
            f"c={cls['name']},t={PLANS[c.plan]['name']},d={int(left * 1000)},"
            f"{f'k={self.number:016x},' if ask.cls else ''}{'r=1,' if again else ''}units=1,"
            f"spread={c.spread},first={c.first}"
        )
        words = [
            b"API.WRITE" if ask.cls else b"API.READ",
            b"%016x" % c.id,
            b"%016x" % self.number,
            params.encode(),
        ]
        words += [b"stars"] if ask.cls else []
        return b"*%d\r\n%b" % (len(words), b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words))

    async def one(self, ask: Ask, began: float) -> None:
        """Send one request, with one retry after a -BUSY reply; times count from the planned time."""
        limit = CLASSES[ask.cls]["deadline_us"] / 1e6
        ask.outcome = "failed"
        for again in (False, True):
            number = self.reach(ask)
            left = limit - (time.monotonic() - began)
            if left < 0.2:
                return
            command = self.command(ask, left, again, number)
            self.asked(self.number, ask, number, began, left)
            rid = self.number
            try:
                async with asyncio.timeout(left + 0.1):
                    head = await self.pools[number].ask(command)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                self.answered(rid, "")
                return
            self.answered(rid, head[:1].decode("latin-1"))
            ask.took = time.monotonic() - began
            if head[:1] == b"$":
                ask.outcome = "served" if ask.took <= CLASSES[ask.cls]["aim_us"] / 1e6 else "late"
                return
            if not head.startswith(b"-BUSY"):
                return
            ask.outcome = "refused"
            wait = head[6:].strip()
            await asyncio.sleep(int(wait) / 1000 if wait else 0.3)

    async def run(self, began: float) -> None:
        """Send all requests; returns once the last one has ended, or after 6 s more."""
        tasks = set()
        for ask in self.asks:
            if (wait := began + ask.at - time.monotonic()) > 0:
                await asyncio.sleep(wait)
            task = asyncio.ensure_future(self.one(ask, began + ask.at))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=6)


def books(seen: list[Any], who: dict[int, Customer]) -> list[tuple[float, bool, int]]:
    """Per request that reached a backend: its wall-clock time, whether it was over its quota, and its plan.

    A customer's quota over all gateways is a token bucket that starts full: a request within the quota takes
    a token, one beyond it takes none. A request counts when its first attempt arrives; later attempts do not.
    """
    stores: dict[int, tuple[float, float]] = {}
    done, made = set(), []
    for a in sorted(seen, key=lambda a: a.at):
        if a.request in done or a.customer not in who:
            continue
        done.add(a.request)
        plan = PLANS[who[a.customer].plan]
        level, last = stores.get(a.customer, (plan["store_size"], a.at))
        level = min(plan["store_size"], level + plan["quota_rate"] * (a.at - last))
        inside = level >= 1
        stores[a.customer] = (level - inside, a.at)
        made.append((a.at, not inside, who[a.customer].plan))
    return made
