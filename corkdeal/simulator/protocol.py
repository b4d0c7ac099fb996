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
from ..decisions.settings import Settings
from ..decisions.settings_parser import parse_settings_text


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
    return Attach(seed, parse_settings_text(text))


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
            return struct.pack("<BIQ6sI", 0, gateway, a.id, a.server, _us(a.timeout))
        case Reject():
            return struct.pack("<BIQI", 1, gateway, a.id, _us(a.retry_after))
        case Fail():
            return struct.pack("<BIQ", 2, gateway, a.id)
        case CancelAttempt():
            return struct.pack("<BIQB", 3, gateway, a.id, a.attempt)
        case SetTimer():
            return struct.pack("<BIII", 4, gateway, _us(a.delay), a.token)
        case CheckHealth():
            return struct.pack("<BI6s", 5, gateway, a.server)
        case CloseIdleConnections():
            return struct.pack("<BI6s", 6, gateway, a.server)
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
