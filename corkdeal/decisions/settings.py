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
    """One kind of request.

    Attributes:
        latency_objective: time in which an answer is on time, s.
        deadline: time after which an answer is of no use, s.
        priority_weight: weight among classes; no decision reads it.
        late_share: share of the weight that a late answer keeps; no decision reads it.
        effect: what running a request twice does.
        deduplication_scope: which backends drop repeats with one idempotency key.
        deduplication_window: how long they remember a key, s.
        is_streaming: whether an answer comes in parts.
        latency_objective_stretch: as the operators give it; no decision reads it.
        name: the operators' name, under which state is stored.
    """

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
    """A plan's quota for each of its customers, over all gateways; 0 means no such limit.

    Attributes:
        rate: quota, units/s.
        burst: size of the token bucket, units.
        max_in_flight: requests in flight at one time.
        price: value of a unit inside the quota, relative to other plans.
        over_quota_weight: value of a unit beyond the quota, relative to one inside.
        over_quota_cost: cost of a unit beyond the quota, relative to the value of one inside.
        hard_limit_rate: rate that is never exceeded, units/s.
        hard_limit_burst: size of the hard limit's token bucket, units.
        hard_limit_slack: as the operators give it; no decision reads it.
        name: the operators' name, under which state is stored.
    """

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
    """What a gateway is told at its start.

    Attributes:
        gateway_index: this gateway's number, from 0.
        gateway_count: gateways that share the quotas.
        classes: request classes, by number.
        plans: plans, by number.
        zone: this gateway's zone, an index into `zones`.
        tick: granularity of the host's clock, s.
        is_endpoint_list_pushed: whether endpoint lists come unasked.
        poll_interval: time between polls of the endpoint list, s.
        report_fields: names of a load report's columns, in order.
        max_attempts: attempts of one request.
        may_cancel: whether attempts may be cancelled.
        may_check_health: whether health checks may be sent; no decision reads it.
        may_message_peers: whether gateways may send messages to each other.
        may_send_retry_after: whether a rejection may have a Retry-After.
        max_retry_after: longest Retry-After, s.
        has_retry_marks: whether clients mark their retries; no decision reads it.
        connect_timeout: longest time to connect to a backend, s.
        idle_timeout: time after which backends close an idle connection, s.
        zones: names of the zones, by number.
        kinds: names of the kinds of backends, by number.
        has_counter: whether there is a shared counter; no decision reads it.
        counter_timeout: longest wait for the counter, s; no decision reads it.
        meter_period: period of metering, s; no decision reads it.
        peer_message_rate: messages that one gateway can take from its peers, 1/s.
        is_post_paid: whether a request's units are known only afterwards; no decision reads it.
        max_units: most units of one request.
        answer_slack: as the operators give it, s; no decision reads it.
        drain_grace: time between the notice that a backend drains and its end, s.
        overload_multiple: load at which a backend fails, as a multiple of its capacity.
        overload_window: time over which that load is averaged, s.
        initial_capacity: share of its capacity that a backend has at its start.
        warm_up_time: time from its start until it has all of it, s.
    """

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
