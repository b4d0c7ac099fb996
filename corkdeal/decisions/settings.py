"""What a gateway is told at its start: request classes, plans, rules and limits. Times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What running a request twice does."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which backends drop repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One kind of request."""

    aim: float
    deadline: float
    worth: float = 1.0
    late_share: float = 0.0
    effect: Effect = Effect.IDEMPOTENT
    group: DeduplicationScope = DeduplicationScope.ALL
    window: float = 0.0
    stream: bool = False
    aim_stretch: float = 0.0
    name: str = ""


@dataclass(slots=True, frozen=True)
class Plan:
    """A plan's quota for each of its customers, over all gateways; 0 means no such limit."""

    rate: float = 0.0
    burst: float = 0.0
    max_open: int = 0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    name: str = ""


@dataclass(slots=True, frozen=True)
class Settings:
    """What a gateway is told at its start."""

    me: int
    gateways: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: int = 0
    tick: float = 0.001
    list_pushed: bool = True
    ask_every: float = 10.0
    report_fields: tuple[str, ...] = ()
    max_attempts: int = 1
    may_cancel: bool = False
    may_probe: bool = False
    may_tell_peers: bool = False
    may_advise_wait: bool = False
    max_advised_wait: float = 0.0
    marks_retry: bool = False
    connect_timeout: float = 0.25
    conn_idle: float = 30.0
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    counter: bool = False
    counter_timeout: float = 0.0
    meter_period: float = 0.0
    peer_intake: float = 0.0
    settles: bool = False
    most_units: float = 1.0
    answer_slack: float = 0.0
    drain_grace: float = 0.0
    fall_multiple: float = 2.0
    fall_window: float = 1.0
    cold_share: float = 0.1
    warm_within: float = 20.0
