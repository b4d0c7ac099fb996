"""What a gateway is told and what it may do: settings, events and actions.

Times are in seconds, servers are opaque hashable ids, customers and requests are integers.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which servers drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


class ServerState(IntEnum):
    """What the list says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """What a server list holds."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One kind of request."""

    aim: float
    deadline: float
    worth: float = 1.0
    late_share: float = 0.0
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
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


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One line of a server list."""

    server: Hashable
    state: ServerState
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    kind: int = 0
    started: float = 0.0


@dataclass(slots=True, frozen=True)
class ServerList:
    """Event: the list of servers, or what changed in it."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()
    version: int = 0


@dataclass(slots=True, frozen=True)
class Request:
    """Event: a client's try arrived and needs one final answer."""

    id: int
    customer: int
    plan: int
    cls: int
    units: float
    first_gateway: int
    spread: int
    patience: float
    is_retry: bool = False
    is_write: bool = False
    waited: float = 0.0  # s that it lay unread while the gateway stood still; `patience` is what is left


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """Event: the answer of a streamed request has begun."""

    id: int
    attempt: int
    server: Hashable
    elapsed: float


@dataclass(slots=True, frozen=True)
class Outcome:
    """Event: an attempt ended; `final` means the request needs no further answer."""

    id: int
    attempt: int
    server: Hashable
    status: Status
    elapsed: float
    final: bool
    metered_use: float | None = None
    true_units: float | None = None
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ClientGone:
    """Event: nobody waits for this request any more."""

    id: int


@dataclass(slots=True, frozen=True)
class TimerDue:
    """Event: a timer of this gateway is due."""

    token: int


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """Event: what a probe found."""

    server: Hashable
    status: Status
    elapsed: float
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Event: another gateway's message."""

    peer: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class CountTotal:
    """Event: the shared counter's answer to one Count."""

    name: int
    total: float
    status: Status
    elapsed: float


Event = (
    ServerList
    | Request
    | StreamStarted
    | Outcome
    | ClientGone
    | TimerDue
    | ProbeResult
    | PeerMessage
    | CountTotal
)


@dataclass(slots=True, frozen=True)
class Send:
    """Action: start an attempt; timeout 0 lasts as long as the client waits."""

    id: int
    server: Hashable
    timeout: float = 0.0


@dataclass(slots=True, frozen=True)
class Refuse:
    """Action: final answer saying that trying again is harmless."""

    id: int
    retry_after: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """Action: final answer that promises nothing."""

    id: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Action: stop waiting for an attempt."""

    id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Action: ask for a TimerDue after a delay."""

    delay: float
    token: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Action: look at a server."""

    server: Hashable


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Action: close idle connections to a server."""

    server: Hashable


@dataclass(slots=True, frozen=True)
class Tell:
    """Action: message to one gateway, or to all others when peer is None."""

    peer: int | None
    payload: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """Action: a line for the operators."""

    text: str


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Action: have list changes sent from now on, or no more."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    """Action: ask for the whole list once."""


@dataclass(slots=True, frozen=True)
class Count:
    """Action: add to a shared number and learn its total."""

    name: int
    amount: float
    lifetime: float


Action = (
    Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | Tell | Log | Subscribe | FetchList | Count
)
