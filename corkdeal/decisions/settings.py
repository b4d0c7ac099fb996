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

    latency_objective: float
    deadline: float
    priority_weight: float = 1.0
    late_share: float = 0.0
    effect: Effect = Effect.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0
    is_streaming: bool = False
    latency_objective_stretch: float = 0.0
    name: str = ""


@dataclass(slots=True, frozen=True)
class Plan:
    """A plan's quota for each of its customers, over all gateways; 0 means no such limit."""

    rate: float = 0.0
    burst: float = 0.0
    max_in_flight: int = 0
    price: float = 1.0
    over_quota_weight: float = 0.0
    over_quota_cost: float = 0.0
    hard_limit_rate: float = 0.0
    hard_limit_burst: float = 0.0
    hard_limit_slack: float = 0.0
    name: str = ""


@dataclass(slots=True, frozen=True)
class Settings:
    """What a gateway is told at its start."""

    gateway_index: int
    gateway_count: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: int = 0
    tick: float = 0.001
    is_endpoint_list_pushed: bool = True
    poll_interval: float = 10.0
    report_fields: tuple[str, ...] = ()
    max_attempts: int = 1
    may_cancel: bool = False
    may_check_health: bool = False
    may_message_peers: bool = False
    may_send_retry_after: bool = False
    max_retry_after: float = 0.0
    has_retry_marks: bool = False
    connect_timeout: float = 0.25
    idle_timeout: float = 30.0
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    has_counter: bool = False
    counter_timeout: float = 0.0
    meter_period: float = 0.0
    peer_message_rate: float = 0.0
    is_post_paid: bool = False
    max_units: float = 1.0
    answer_slack: float = 0.0
    drain_grace: float = 0.0
    overload_multiple: float = 2.0
    overload_window: float = 1.0
    initial_capacity: float = 0.1
    warm_up_time: float = 20.0
