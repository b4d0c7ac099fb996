"""Plain records that the brain keeps; no decision is made here."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .accounts import Account
from .events import Endpoint, Request
from .settings import RequestClass


@dataclass(slots=True, eq=False)
class BackendRecord:
    """What a gateway knows of one server, from its list and its own attempts."""

    endpoint: Endpoint
    first_seen_at: float = math.inf  # by this gateway's clock, which may be behind that of `entry.started`
    in_flight: dict[int, tuple[float, float]] = field(default_factory=dict)  # request -> (sent at, load met)
    streaming: dict[int, tuple[float, float]] = field(default_factory=dict)  # the same, once answered in part
    slowness: float = 1.0  # its latency in terms of what the fleet takes at like load
    failures: int = 0  # failed attempts less answered ones, never below 0
    last_answer_at: float = 0.0
    last_attempt_at: float = float("-inf")
    ejected_until: float = 0.0
    is_ejected: bool = False  # out until a trial, then until its failures are made good
    ejection_time: float = 0.0  # s, the last ejection
    peer_load: float = 0.0  # requests of other gateways by its last report
    peer_load_at: float = float("-inf")
    slow_start_credit: float = 0.0  # work it may still be sent while cold
    slow_start_credit_at: float | None = None
    rejecting_classes: dict[int | None, tuple[float, float]] = field(
        default_factory=dict
    )  # class -> (s, until)


@dataclass(slots=True)
class FadingRate:
    """Amount a second, averaged over the last seconds and right from the first ones."""

    time_constant: float  # s in which the weight of what was added falls to 1 / e
    total: float = 0.0
    updated_at: float = 0.0
    started_at: float = math.inf

    def add(self, now: float, amount: float) -> None:
        """Book an amount; the first one only starts the clock, else it would count as a whole rate."""
        self.total *= math.exp((self.updated_at - now) / self.time_constant)
        self.total += amount if self.started_at < now else 0.0
        self.updated_at, self.started_at = now, min(now, self.started_at)

    def rate(self, now: float, assumed: float = 0.0, span: float = 0.0) -> float:
        """The rate, averaged with one that is assumed for `span` seconds."""
        known = self.time_constant * (1 - math.exp(min(0.0, self.started_at - now) / self.time_constant))
        total = self.total * math.exp((self.updated_at - now) / self.time_constant) + assumed * span
        return total / (known + span) if total else 0.0


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that still needs its final answer."""

    request: Request
    request_class: RequestClass
    account: Account
    units: float  # what the try counts: its units, or one where only attempts out are limited
    arrived_at: float
    deadline: float
    is_inside_quota: bool = True  # whether the customer's quota had room for it
    attempts: int = 0
    backend: BackendRecord | None = None  # where an attempt is out
    is_streaming: bool = False
    is_cancelled: bool = False
    tried_backends: list[BackendRecord] = field(default_factory=list)
    may_have_run_at: float | None = None  # when the first attempt that may have run was sent
    may_have_run_on: BackendRecord | None = None
