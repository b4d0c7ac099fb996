"""The adapter's wire: frames to events and actions to frames. Nothing is decided here."""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable
from typing import Any

from ..decisions.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    Fail,
    FetchEndpoints,
    IncrementCounter,
    Log,
    Reject,
    SendToPeer,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from ..decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterResult,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    HealthCheckResult,
    PeerMessage,
    Request,
    Status,
    StreamStarted,
    TimerExpired,
    UpdateKind,
)
from ..decisions.settings import DeduplicationScope, Effect, Plan, RequestClass, Settings


class WireError(ValueError):
    """A frame that does not follow the wire; the text says what and where."""


STATUS = {
    0: Status.OK,
    13: Status.ERROR,
    8: Status.REJECTED,
    4: Status.TIMEOUT,
    14: Status.CONNECT_FAILED,
    10: Status.RESET,
    1: Status.CANCELLED,
    9: Status.ABANDONED,
}
LIST_KIND = {0: UpdateKind.DELTA, 1: UpdateKind.COMPLETE, 2: UpdateKind.CACHED, 3: UpdateKind.FAILED}
EFFECT = {"pure": Effect.IDEMPOTENT, "token": Effect.IDEMPOTENCY_KEY, "side_effect": Effect.NOT_IDEMPOTENT}
REPORT_FIELD = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "util",
    "recent_ms": "latency_ms",
    "throughput": "qps",
    "errors_per_s": "eps",
}
EVERYONE = 0xFFFFFFFF
MOST_U32 = 0xFFFFFFFF
US = 1_000_000


class Attach:
    """A gateway starts: its seed and its raw settings."""

    __slots__ = ("seed", "settings")

    def __init__(self, seed: int, settings: Settings) -> None:
        self.seed = seed
        self.settings = settings


class PowerOff:
    """A gateway was killed."""

    __slots__ = ()


class Reader:
    """Takes packed little-endian fields off a frame and complains with a position."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = 0

    def take(self, layout: struct.Struct, what: str) -> tuple[Any, ...]:
        """Read one fixed layout."""
        end = self.at + layout.size
        if end > len(self.data):
            raise WireError(f"{what} cut short at byte {self.at} of {len(self.data)}")
        values = layout.unpack_from(self.data, self.at)
        self.at = end
        return values

    def blob(self, count: int, what: str) -> bytes:
        """Read `count` raw bytes."""
        if self.at + count > len(self.data):
            raise WireError(f"{what} cut short at byte {self.at} of {len(self.data)}")
        self.at += count
        return self.data[self.at - count : self.at]


U8, U16, U32 = struct.Struct("<B"), struct.Struct("<H"), struct.Struct("<I")
HEADER = struct.Struct("<QI")
ATTACH = struct.Struct("<QI")
MEMBERS = struct.Struct("<BII")
ENTRY = struct.Struct("<QHfBBH6s")
JOB = struct.Struct("<QfffBIBIQ")
FLOWING = struct.Struct("<QB6sI")
COMPLETED = struct.Struct("<QB6sBIBHHB")
GONE = struct.Struct("<Q")
HEALTH = struct.Struct("<6sBIB")
DATAGRAM = struct.Struct("<IH")
TOTAL = struct.Struct("<fQIB")


def number(pairs: dict[str, str], key: str, default: float | None = None, least: float = 0.0) -> float:
    """A finite number of at least `least` from the settings; an error names the key."""
    raw = pairs.get(key)
    if raw is None:
        if default is None:
            raise WireError(f"setting {key} is missing")
        return default
    try:
        value = float(raw)
    except ValueError:
        raise WireError(f"setting {key} is not a number: {raw[:40]!r}") from None
    if not math.isfinite(value) or value < least:
        raise WireError(f"setting {key} makes no sense: {raw[:40]!r}")
    return value


def flag(pairs: dict[str, str], key: str) -> bool:
    """A true or false setting; absent means false."""
    return pairs.get(key, "false") == "true"


def word(pairs: dict[str, str], key: str, known: dict[str, Any], default: str) -> Any:
    """A setting that is one of a few words."""
    raw = pairs.get(key) or default
    if raw not in known:
        raise WireError(f"setting {key} makes no sense: {raw[:40]!r}")
    return known[raw]


def parse_class(pairs: dict[str, str], at: str) -> RequestClass:
    """One class of the settings."""
    return RequestClass(
        latency_objective=number(pairs, at + "aim_us", least=1) / US,
        deadline=number(pairs, at + "deadline_us", least=1) / US,
        priority_weight=number(pairs, at + "points", 1.0),
        late_share=number(pairs, at + "late_share", 0.0),
        effect=word(pairs, at + "semantics", EFFECT, "side_effect"),
        deduplication_scope=word(pairs, at + "group", {g.value: g for g in DeduplicationScope}, "all"),
        deduplication_window=number(pairs, at + "window_us", 0.0) / US,
        is_streaming=flag(pairs, at + "streaming"),
        latency_objective_stretch=number(pairs, at + "aim_stretch", 0.0),
        name=pairs.get(at + "name", ""),
    )


def parse_plan(pairs: dict[str, str], at: str) -> Plan:
    """One plan of the settings."""
    return Plan(
        rate=number(pairs, at + "quota_rate", 0.0),
        burst=number(pairs, at + "store_size", 0.0),
        max_in_flight=int(number(pairs, at + "max_out", 0.0)),
        price=number(pairs, at + "value_factor", 1.0),
        over_quota_weight=number(pairs, at + "over_worth", 0.0),
        over_quota_cost=number(pairs, at + "over_cost", 0.0),
        hard_limit_rate=number(pairs, at + "never_over_rate", 0.0),
        hard_limit_burst=number(pairs, at + "hard_burst", 0.0),
        hard_limit_slack=number(pairs, at + "ceiling_slack", 0.0),
        name=pairs.get(at + "name", ""),
    )


def parse_settings(text: str) -> Settings:
    """Settings from path=value lines; unknown paths are skipped."""
    return settings_from(dict(line.partition("=")[::2] for line in text.splitlines() if "=" in line))


def words(pairs: dict[str, str], key: str) -> tuple[str, ...]:
    """A setting that is a list of words."""
    return tuple(w for w in pairs.get(key, "").split(",") if w)


def settings_from(pairs: dict[str, str]) -> Settings:
    """Settings from values by path, as text; the simulator's host and the real gateway share this."""
    count = int(number(pairs, "classes.count", least=1))
    plans = int(number(pairs, "tiers_of_service.count", least=1))
    gateways, me = int(number(pairs, "balancers", least=1)), int(number(pairs, "me"))
    return Settings(
        gateway_index=me,
        gateway_count=gateways,
        zone=int(number(pairs, "zone", 0.0)),
        classes=tuple(parse_class(pairs, f"classes.{i}.") for i in range(count)),
        plans=tuple(parse_plan(pairs, f"tiers_of_service.{i}.") for i in range(plans)),
        tick=number(pairs, "granularity_us", 1000.0) / US,
        is_endpoint_list_pushed=pairs.get("membership_mode", "pushed") != "on_request",
        poll_interval=number(pairs, "rules.ask_every_us", 10e6) / US,
        report_fields=tuple(REPORT_FIELD.get(f, f) for f in words(pairs, "telemetry.columns")),
        max_attempts=int(number(pairs, "policy_limits.max_attempts", 1.0)),
        may_cancel=flag(pairs, "policy_limits.cancel"),
        may_check_health=flag(pairs, "policy_limits.may_probe"),
        may_message_peers=flag(pairs, "policy_limits.peers"),
        may_send_retry_after=flag(pairs, "policy_limits.retry_after"),
        max_retry_after=number(pairs, "policy_limits.max_retry_after_us", 0.0) / US,
        has_retry_marks=flag(pairs, "client_habits.marks_retry"),
        connect_timeout=number(pairs, "policy_limits.connect_timeout_us", 250000.0) / US,
        idle_timeout=number(pairs, "policy_limits.conn_idle_us", 30e6) / US,
        zones=words(pairs, "failure_domains"),
        kinds=words(pairs, "host_types"),
        has_counter=flag(pairs, "family_info.counter"),
        counter_timeout=number(pairs, "family_info.counter_timeout_us", 0.0) / US,
        meter_period=number(pairs, "family_info.meter_us", 0.0) / US,
        peer_message_rate=number(pairs, "family_info.peer_intake", 0.0),
        is_post_paid=flag(pairs, "family_info.post_paid"),
        max_units=number(pairs, "family_info.units_top", 1.0),
        answer_slack=number(pairs, "rules.answer_slack_us", 0.0) / US,
        drain_grace=number(pairs, "rules.drain_grace_us", 0.0) / US,
        overload_multiple=number(pairs, "rules.fall_multiple", 2.0),
        overload_window=number(pairs, "rules.fall_us", 1e6, least=1) / US,
        initial_capacity=number(pairs, "rules.cold_share", 0.1),
        warm_up_time=number(pairs, "rules.warm_within_us", 20e6) / US,
    )


def _known(table: dict[int, Any], code: int, what: str, r: Reader) -> Any:
    if code not in table:
        raise WireError(f"unknown {what} {code} before byte {r.at}")
    return table[code]


def _report(r: Reader, count: int, fields: tuple[str, ...]) -> dict[str, float]:
    values = r.take(struct.Struct(f"<{count}f"), "load report")
    return {k: v for k, v in zip(fields, values, strict=False) if math.isfinite(v)}


def _attach(r: Reader, fields: tuple[str, ...]) -> Attach:
    seed, size = r.take(ATTACH, "Attach")
    try:
        text = r.blob(size, "profile_data").decode()
    except UnicodeDecodeError:
        raise WireError(f"profile_data is not text before byte {r.at}") from None
    return Attach(seed, parse_settings(text))


def _members(r: Reader, fields: tuple[str, ...]) -> EndpointUpdate:
    form, version, count = r.take(MEMBERS, "Membership")
    entries = []
    for _ in range(count):
        start, kind, weight, zone, state, cell, server = r.take(ENTRY, "Membership entry")
        if state not in (0, 1, 2):
            raise WireError(f"unknown condition {state} before byte {r.at}")
        entries.append(Endpoint(server, EndpointState(state), zone, cell, weight, kind, start / US))
    return EndpointUpdate(_known(LIST_KIND, form, "list form", r), tuple(entries), version)


def _job(r: Reader, fields: tuple[str, ...]) -> Request:
    rid, units, first, spread, bits, plan, cls, left, customer = r.take(JOB, "JobIn")
    if not all(map(math.isfinite, (units, first, spread))) or units < 0 or first < 0 or spread < 0:
        raise WireError(f"JobIn makes no sense before byte {r.at}")
    return Request(
        rid, customer, plan, cls, units, int(first), int(spread), left / US, bool(bits & 2), bool(bits & 4)
    )


def _flowing(r: Reader, fields: tuple[str, ...]) -> StreamStarted:
    rid, attempt, server, rtt = r.take(FLOWING, "Flowing")
    return StreamStarted(rid, attempt, server, rtt / US)


def _completed(r: Reader, fields: tuple[str, ...]) -> AttemptEnded:
    rid, attempt, server, status, rtt, last, use, final, count = r.take(COMPLETED, "Completed")
    return AttemptEnded(
        rid,
        attempt,
        server,
        _known(STATUS, status, "outcome", r),
        rtt / US,
        bool(last),
        (use - 1) / 100 if use else None,
        float(final) if final else None,
        _report(r, count, fields),
    )


def _health(r: Reader, fields: tuple[str, ...]) -> HealthCheckResult:
    server, status, rtt, count = r.take(HEALTH, "HealthResult")
    return HealthCheckResult(
        server, _known(STATUS, status, "outcome", r), rtt / US, _report(r, count, fields)
    )


def _datagram(r: Reader, fields: tuple[str, ...]) -> PeerMessage:
    peer, size = r.take(DATAGRAM, "Datagram")
    return PeerMessage(peer, r.blob(size, "Datagram content"))


def _total(r: Reader, fields: tuple[str, ...]) -> CounterResult:
    value, name, rtt, status = r.take(TOTAL, "Total")
    return CounterResult(name, value, _known(STATUS, status, "outcome", r), rtt / US)


PARSERS = {
    0: _attach,
    1: _members,
    2: _job,
    3: _flowing,
    4: _completed,
    5: lambda r, f: ClientDisconnected(*r.take(GONE, "Dropped")),
    6: lambda r, f: TimerExpired(*r.take(U32, "Due")),
    7: _health,
    8: _datagram,
    9: lambda r, f: PowerOff(),
    10: _total,
}


def decode(frame: bytes, fields: dict[int, tuple[str, ...]]) -> tuple[int, list[tuple[int, Any]]]:
    """Clock in microseconds and (gateway, event) pairs of one frame without its length.

    `fields` holds each gateway's load-report columns and is updated by an Attach.
    """
    r = Reader(frame)
    clock, count = r.take(HEADER, "batch header")
    events = []
    for _ in range(count):
        (code,) = r.take(U8, "event code")
        if code not in PARSERS:
            raise WireError(f"unknown event code {code} at byte {r.at - 1}")
        (gateway,) = r.take(U32, "gateway")
        event = PARSERS[code](r, fields.get(gateway, ()))
        if isinstance(event, Attach):
            fields[gateway] = event.settings.report_fields
        events.append((gateway, event))
    if r.at != len(frame):
        raise WireError(f"{len(frame) - r.at} bytes left over at byte {r.at}")
    return clock, events


def _us(seconds: float) -> int:
    return min(MOST_U32, max(0, math.ceil(seconds * US - 1e-3)))


def _text(text: str) -> bytes:
    raw = text.encode()[:2000]
    return U16.pack(len(raw)) + raw


def encode_action(gateway: int, a: Action) -> bytes:
    """One record."""
    match a:
        case StartAttempt():
            return struct.pack("<BIQ6sI", 0, gateway, a.id, a.backend, _us(a.timeout))
        case Reject():
            return struct.pack("<BIQI", 1, gateway, a.id, _us(a.retry_after))
        case Fail():
            return struct.pack("<BIQ", 2, gateway, a.id)
        case CancelAttempt():
            return struct.pack("<BIQB", 3, gateway, a.id, a.attempt)
        case SetTimer():
            return struct.pack("<BIII", 4, gateway, _us(a.delay), a.token)
        case CheckHealth():
            return struct.pack("<BI6s", 5, gateway, a.backend)
        case CloseIdleConnections():
            return struct.pack("<BI6s", 6, gateway, a.backend)
        case SendToPeer():
            peer = EVERYONE if a.peer is None else a.peer
            return struct.pack("<BIIH", 7, gateway, peer, len(a.payload)) + a.payload
        case Log():
            return struct.pack("<BI", 8, gateway) + _text(a.text)
        case WatchEndpoints():
            return struct.pack("<BIB", 10, gateway, a.on)
        case FetchEndpoints():
            return struct.pack("<BI", 11, gateway)
        case IncrementCounter():
            return struct.pack("<BIQfI", 12, gateway, a.name, a.amount, _us(a.lifetime))
    raise TypeError(f"not an action: {a!r}")


def encode_error(gateway: int, text: str) -> bytes:
    """The record that says a gateway's decision code broke."""
    return struct.pack("<BI", 9, gateway) + _text(text)


def frame(records: Iterable[bytes]) -> bytes:
    """A whole reply."""
    records = list(records)
    body = U32.pack(len(records)) + b"".join(records)
    return U32.pack(len(body)) + body
