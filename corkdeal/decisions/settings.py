"""Settings of a gateway: request classes, plans, rules and limits. Times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Return whether a request may run twice."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The set of backends that deduplicate requests with the same idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One kind of request.

    Attributes:
        latency_objective: as configured, s; unused by the decisions.
        deadline: longest time that a caller of this class waits, s.
        priority_weight: weight among classes; unused by the decisions.
        late_share: fraction of the weight that a late answer keeps; unused by the decisions.
        effect: whether a request may run twice.
        deduplication_scope: the backends that deduplicate by idempotency key.
        deduplication_window: time for which they remember a key, s.
        is_streaming: whether an answer arrives in parts.
        latency_objective_stretch: as configured; unused by the decisions.
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
    """A plan, with its quota per customer over all gateways; a limit of 0 is absent.

    Attributes:
        rate: quota, units/s.
        burst: size of the token bucket, units.
        max_in_flight: maximum number of requests in flight.
        price: as configured; unused by the decisions.
        over_quota_weight: as configured; unused by the decisions.
        over_quota_cost: as configured; unused by the decisions.
        hard_limit_rate: rate that is never exceeded, units/s.
        hard_limit_burst: size of the hard limit's token bucket, units.
        hard_limit_slack: as configured; unused by the decisions.
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
    """All settings of one gateway.

    Attributes:
        gateway_index: this gateway's index, from 0.
        gateway_count: gateways that share the quotas.
        classes: request classes, by index.
        plans: plans, by index.
        zone: this gateway's zone, an index into `zones`.
        tick: granularity of the host's clock, s.
        is_endpoint_list_pushed: whether endpoint lists arrive without polling.
        poll_interval: time between polls of the endpoint list, s.
        report_fields: column names of load reports, in order.
        max_attempts: maximum number of attempts per request.
        may_cancel: whether attempts may be cancelled.
        may_check_health: whether health checks may be sent; unused by the decisions.
        may_message_peers: whether gateways may send messages to each other.
        may_send_retry_after: whether a rejection may carry a Retry-After.
        max_retry_after: longest Retry-After, s.
        has_retry_marks: whether clients mark their retries; unused by the decisions.
        connect_timeout: longest time to connect to a backend, s.
        idle_timeout: time after which backends close an idle connection, s.
        zones: names of the zones, by index.
        kinds: names of the kinds of backends, by index.
        has_counter: whether there is a shared counter; unused by the decisions.
        counter_timeout: timeout of the counter, s; unused by the decisions.
        meter_period: metering period, s; unused by the decisions.
        peer_message_rate: messages that a gateway can receive from its peers, 1/s.
        is_post_paid: whether a request's units are known only after it ran; unused by the decisions.
        max_units: maximum units of one request.
        answer_slack: as configured, s; unused by the decisions.
        drain_grace: time from the notice that a backend drains to its end, s.
        overload_multiple: load at which a backend fails, as a multiple of its capacity.
        overload_window: time over which that load is averaged, s.
        initial_capacity: fraction of its capacity that a backend has at its start.
        warm_up_time: time from its start until it has full capacity, s.
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
