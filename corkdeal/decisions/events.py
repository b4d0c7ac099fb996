"""Events that the host passes to the decisions.

Times are in seconds, backends are opaque hashable ids, customers and requests are integers.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Status(Enum):
    """The outcome of an attempt."""

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
    """What an endpoint update contains."""

    DELTA = "delta"
    COMPLETE = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One backend in the endpoint list.

    Attributes:
        backend: the backend's id.
        state: whether it accepts requests.
        zone: index into the settings' `zones`.
        cell: number of the cell in its zone.
        weight: capacity relative to other backends.
        kind: index into the settings' `kinds`.
        started: start of its process, s on the clock of the endpoint list.
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
    """An update of the endpoint list, complete or as a delta.

    Attributes:
        kind: a complete list, a delta, a cached list, or none because the fetch failed.
        entries: all endpoints or, in a delta, those that changed.
        version: the list's version.
    """

    kind: UpdateKind
    entries: tuple[Endpoint, ...] = ()
    version: int = 0


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request arrived; it needs exactly one final reply.

    Attributes:
        id: unique among the gateway's requests.
        customer: the customer whose account is charged.
        plan: index into the settings' `plans`.
        request_class: index into the settings' `classes`.
        units: units that it takes from the quota.
        first_gateway: first gateway of the customer's set, to which its requests go.
        member_count: size of that set, counted from the first gateway on.
        timeout: time for which the client still waits, s.
        is_retry: whether the client marked it as a retry; unused by the decisions.
        is_write: whether it modifies data.
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


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The first part of an attempt's answer arrived.

    Attributes:
        id: the request's id.
        attempt: number of the attempt, from 0.
        backend: the attempt's backend.
        elapsed: time since the attempt's start, s.
    """

    id: int
    attempt: int
    backend: Hashable
    elapsed: float


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
        id: the request's id.
        attempt: number of the attempt, from 0.
        backend: the attempt's backend.
        status: its outcome.
        elapsed: time since the attempt's start, s.
        final: whether the client already has its final reply.
        metered_use: use that the backend metered, as a fraction; None if it did not meter.
        true_units: units that the request took; None if unknown.
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
        backend: the backend that was checked.
        status: the outcome of the check.
        elapsed: time since the start of the check, s.
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
    """The result of an `IncrementCounter`.

    Attributes:
        name: number of the counter.
        total: its value after the increment.
        status: the outcome of the call.
        elapsed: time since the start of the call, s.
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
