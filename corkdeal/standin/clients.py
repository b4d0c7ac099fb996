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

FAILURE_NOTICE_DELAY = 1.5  # s from the end of a gateway until clients know it to be down


@dataclass(slots=True, frozen=True)
class Customer:
    """One customer: its plan's quota, its set of gateways and its request rate."""

    id: int
    plan: int
    rate: float  # quota, units/s
    request_rate: float  # units/s
    first: int  # the first gateway of its set
    spread: int  # the number of gateways in its set
    weights: tuple[float, ...]  # how its requests are spread over the set


@dataclass(slots=True)
class ClientRequest:
    """One request of a client, including its retry."""

    at: float  # s since the start of the run
    customer: Customer
    cls: int
    gateway: int
    work: int = 0
    worth: float = 0.0
    outcome: str = ""  # served, late, refused, failed
    latency: float = 0.0  # s from the planned time to the last reply


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


def customers(rng: random.Random, load: float, gateways: int, greedy: float = 0.1) -> list[Customer]:
    """Draw customers that together request `load` units/s within their quotas.

    A fraction `greedy` requests 1.8 to 4.4 times its quota, 15 % 0.85 to 1, and the rest 0.16 to 0.49 times.
    """
    result: list[Customer] = []
    for plan, share in ((0, 0.63), (1, 0.37)):
        rate, left = PLANS[plan]["quota_rate"], load * share
        while left > 0:
            draw = rng.random()
            factor = (
                rng.uniform(1.8, 4.4)
                if draw < greedy
                else rng.uniform(0.85, 1.0)
                if draw < greedy + 0.15
                else rng.uniform(0.16, 0.49)
            )
            spread = rng.randint(2, gateways)
            result.append(
                Customer(
                    rng.getrandbits(32),
                    plan,
                    rate,
                    rate * factor,
                    rng.randrange(gateways),
                    spread,
                    tuple(rng.uniform(0.3, 1.5) for _ in range(spread)),
                )
            )
            left -= min(rate, rate * factor)
    return result


def arrivals(
    rng: random.Random, population: list[Customer], seconds: float, gateways: int
) -> list[ClientRequest]:
    """Draw all requests of a run, sorted by time."""
    requests = []
    for c in population:
        at, weights = rng.expovariate(c.request_rate), list(c.weights)
        shift = rng.uniform(6, 24)
        while at < seconds:
            if at > shift:  # its traffic shifts to other gateways of its set
                rng.shuffle(weights)
                shift = at + rng.uniform(6, 24)
            index = rng.choices(range(c.spread), weights)[0]
            cls = int(rng.random() < 0.44)
            worth = CLASSES[cls]["points"] * PLANS[c.plan]["value_factor"]
            requests.append(ClientRequest(at, c, cls, (c.first + index) % gateways, worth=worth))
            at += rng.expovariate(c.request_rate)
    return sorted(requests, key=lambda a: a.at)


class ConnectionPool:
    """Connection pool to one gateway; a connection carries one request at a time."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def request(self, command: bytes) -> bytes:
        """Send one command; returns the first line of its reply."""
        host, port = self.gateway.listen.split(":")
        while True:
            fresh = not self.idle
            reader, writer = self.idle.pop() if self.idle else await asyncio.open_connection(host, int(port))
            try:
                writer.write(command)
                first_line = await reader.readline()
                if not first_line:
                    raise ConnectionResetError
                if first_line[:1] == b"$":
                    await reader.readexactly(int(first_line[1:]) + 2)
                self.idle.append((reader, writer))
                return first_line
            except ConnectionError:
                writer.close()
                if fresh or not self.gateway.up:
                    raise
            except BaseException:
                writer.transport.abort()
                raise


class Clients:
    """Sends all requests at their times and records the outcomes."""

    def __init__(self, gateways: list[Gateway], requests: list[ClientRequest], rng: random.Random) -> None:
        self.gateways, self.requests, self.rng = gateways, requests, rng
        self.pools = [ConnectionPool(g) for g in gateways]
        self.last_id = 1 << 40
        self.down_since: dict[int, float] = {}
        self.gateway_of_attempt: dict[int, int] = {}  # the gateway of each attempt, by attempt ID

    def on_attempt_sent(
        self, rid: int, request: ClientRequest, gateway: int, planned: float, left: float
    ) -> None:
        """Hook for subclasses: called before an attempt is sent."""

    def on_reply(self, rid: int, first: str) -> None:
        """Hook for subclasses: called with the first byte of the reply, or with "" if there was none."""

    def choose_gateway(self, request: ClientRequest) -> int:
        """The gateway to send to: the planned one, or the next of the set that is not known to be down."""
        c = request.customer
        for step in range(c.spread):
            number = (c.first + (request.gateway - c.first + step) % c.spread) % len(self.gateways)
            if (
                self.gateways[number].up
                or time.monotonic() - self.down_since.get(number, 0.0) < FAILURE_NOTICE_DELAY
            ):
                return number
        return request.gateway

    def encode_request(self, request: ClientRequest, left: float, is_retry: bool, gateway: int) -> bytes:
        """Encode an attempt under a new ID, and note its gateway."""
        self.last_id += 1
        self.gateway_of_attempt[self.last_id] = gateway
        c, cls = request.customer, CLASSES[request.cls]
        params = (
            f"c={cls['name']},t={PLANS[c.plan]['name']},d={int(left * 1000)},"
            f"{f'k={self.last_id:016x},' if request.cls else ''}{'r=1,' if is_retry else ''}units=1,"
            f"spread={c.spread},first={c.first}"
        )
        arguments = [
            b"API.WRITE" if request.cls else b"API.READ",
            b"%016x" % c.id,
            b"%016x" % self.last_id,
            params.encode(),
        ]
        arguments += [b"stars"] if request.cls else []
        return b"*%d\r\n%b" % (len(arguments), b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in arguments))

    async def send_with_retry(self, request: ClientRequest, began: float) -> None:
        """Send one request, with one retry after a -BUSY reply; times count from the planned time."""
        limit = CLASSES[request.cls]["deadline_us"] / 1e6
        request.outcome = "failed"
        for is_retry in (False, True):
            number = self.choose_gateway(request)
            left = limit - (time.monotonic() - began)
            if left < 0.2:
                return
            command = self.encode_request(request, left, is_retry, number)
            self.on_attempt_sent(self.last_id, request, number, began, left)
            rid = self.last_id
            try:
                async with asyncio.timeout(left + 0.1):
                    first_line = await self.pools[number].request(command)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                self.on_reply(rid, "")
                return
            self.on_reply(rid, first_line[:1].decode("latin-1"))
            request.latency = time.monotonic() - began
            if first_line[:1] == b"$":
                request.outcome = "served" if request.latency <= limit else "late"
                return
            if not first_line.startswith(b"-BUSY"):
                return
            request.outcome = "refused"
            wait = first_line[6:].strip()
            await asyncio.sleep(int(wait) / 1000 if wait else 0.3)

    async def run(self, began: float) -> None:
        """Send all requests; returns once the last one has ended, or after 6 s more."""
        tasks = set()
        for request in self.requests:
            if (wait := began + request.at - time.monotonic()) > 0:
                await asyncio.sleep(wait)
            task = asyncio.ensure_future(self.send_with_retry(request, began + request.at))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=6)


def classify_by_quota(
    observed_arrivals: list[Any], customers_by_id: dict[int, Customer]
) -> list[tuple[float, bool, int]]:
    """Per request that reached a backend: its wall-clock time, whether it was over its quota, and its plan.

    A customer's quota over all gateways is a token bucket that starts full: a request within the quota takes
    a token, one beyond it takes none. A request counts when its first attempt arrives; later attempts do not.
    """
    buckets: dict[int, tuple[float, float]] = {}
    counted, result = set(), []
    for a in sorted(observed_arrivals, key=lambda a: a.at):
        if a.request in counted or a.customer not in customers_by_id:
            continue
        counted.add(a.request)
        plan = PLANS[customers_by_id[a.customer].plan]
        level, last = buckets.get(a.customer, (plan["store_size"], a.at))
        level = min(plan["store_size"], level + plan["quota_rate"] * (a.at - last))
        is_within = level >= 1
        buckets[a.customer] = (level - is_within, a.at)
        result.append((a.at, not is_within, customers_by_id[a.customer].plan))
    return result
