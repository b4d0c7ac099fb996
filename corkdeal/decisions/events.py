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
    """One backend in the endpoint list."""

    backend: Hashable
    state: EndpointState
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    kind: int = 0
    started: float = 0.0


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """The endpoint list, complete or as a delta."""

    kind: UpdateKind
    entries: tuple[Endpoint, ...] = ()
    version: int = 0


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request arrived and needs one final answer."""

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
    """The first part of an attempt's answer arrived."""

    id: int
    attempt: int
    backend: Hashable
    elapsed: float


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt ended; `final` means the request needs no further answer."""

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
    """The result of a health check."""

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
    """The shared counter's answer to one `IncrementCounter`."""

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
