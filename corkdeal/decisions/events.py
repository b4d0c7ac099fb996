"""What happens to a gateway: events that its host hands to the decisions.

Times are in seconds, backends are opaque hashable ids, customers and requests are integers.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Status(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    ABANDONED = "moot"


class EndpointState(IntEnum):
    """A backend's state in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(Enum):
    """What an endpoint update holds."""

    DELTA = "delta"
    COMPLETE = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One backend in the endpoint list.

    Attributes:
        server: the backend's id.
        state: whether it takes requests.
        zone: index into the settings' `zones`.
        cell: number of the cell in its zone.
        weight: capacity relative to other backends.
        kind: index into the settings' `kinds`.
        started: start of its process, s on the list's clock.
    """

    backend: Hashable
    state: EndpointState
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    kind: int = 0
    started: float = 0.0


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """The endpoint list, complete or as a delta.

    Attributes:
        kind: whether it is complete, a delta, from a cache, or no list because fetching failed.
        entries: all endpoints, or those that changed.
        version: the list's version.
    """

    kind: UpdateKind
    entries: tuple[Endpoint, ...] = ()
    version: int = 0


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request arrived and needs one final answer.

    Attributes:
        id: unique among the gateway's requests.
        customer: whose account pays.
        plan: index into the settings' `plans`.
        request_class: index into the settings' `classes`.
        units: what it takes from the quota.
        first_gateway: first of the gateways to which the customer's requests go.
        member_count: how many gateways those are, from the first one on.
        timeout: time that the client still waits, s.
        is_retry: whether the client marks it as a retry.
        is_write: whether it changes something.
    """

    id: int
    customer: int
    plan: int
    request_class: int
    units: float
    first_gateway: int
    member_count: int
    timeout: float
    is_retry: bool = False
    is_write: bool = False
    unread_time: float = 0.0  # s unread while the process was stalled; `timeout` is what is left


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The first part of an attempt's answer arrived.

    Attributes:
        id: the request's id.
        attempt: number of the attempt, from 0.
        server: the attempt's backend.
        elapsed: time since the attempt's start, s.
    """

    id: int
    attempt: int
    backend: Hashable
    elapsed: float


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt ended; `final` means the request needs no further answer.

    Attributes:
        id: the request's id.
        attempt: number of the attempt, from 0.
        server: the attempt's backend.
        status: how it ended.
        elapsed: time since the attempt's start, s.
        final: whether the client has its final answer.
        metered_use: use that the backend metered, 1 for all; None where there is none.
        true_units: units that the request took; None where they are not known.
        report: the backend's load report, by column.
    """

    id: int
    attempt: int
    backend: Hashable
    status: Status
    elapsed: float
    final: bool
    metered_use: float | None = None
    true_units: float | None = None
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client of a request disconnected."""

    id: int


@dataclass(slots=True, frozen=True)
class TimerExpired:
    """A timer of this gateway expired."""

    token: int


@dataclass(slots=True, frozen=True)
class HealthCheckResult:
    """The result of a health check.

    Attributes:
        server: the backend that was checked.
        status: how the check ended.
        elapsed: time since its start, s.
        report: the backend's load report, by column.
    """

    backend: Hashable
    status: Status
    elapsed: float
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another gateway."""

    peer: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class CounterResult:
    """The shared counter's answer to one `IncrementCounter`.

    Attributes:
        name: number of the counter.
        total: its value after the increment.
        status: how the call ended.
        elapsed: time since its start, s.
    """

    name: int
    total: float
    status: Status
    elapsed: float


Event = (
    EndpointUpdate
    | Request
    | StreamStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerExpired
    | HealthCheckResult
    | PeerMessage
    | CounterResult
)
