"""Decoder of the simulator's batches into typed events."""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Mapping, MutableMapping
from dataclasses import dataclass
from typing import TypeVar

from ..decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterResult,
    Endpoint,
    EndpointUpdate,
    Event,
    HealthCheckResult,
    PeerMessage,
    Request,
    StreamStarted,
    TimerExpired,
)
from ..decisions.settings import Settings
from ..decisions.settings_parser import parse_settings_text
from . import protocol
from .frame_reader import FrameReader
from .protocol import MICROSECONDS_PER_SECOND, EventCode, ProtocolError

Value = TypeVar("Value")
ReportFields = tuple[str, ...]  # column names of load reports, in order


@dataclass(slots=True, frozen=True)
class GatewayStarted:
    """A gateway started, with its settings and its random seed."""

    settings: Settings
    seed: int


@dataclass(slots=True, frozen=True)
class GatewayKilled:
    """A gateway was killed and lost its state."""


SimulatorEvent = Event | GatewayStarted | GatewayKilled


@dataclass(slots=True, frozen=True)
class GatewayEvent:
    """An event and the number of its gateway."""

    gateway: int
    event: SimulatorEvent


@dataclass(slots=True, frozen=True)
class Batch:
    """The events at one time, in order; `time` is the simulator's clock in seconds."""

    time: float
    events: tuple[GatewayEvent, ...]


def decode_batch(frame: bytes, report_fields: MutableMapping[int, ReportFields]) -> Batch:
    """Decode the body of a frame.

    `report_fields` holds the load report columns of each gateway; a gateway's start event sets its entry.
    """
    reader = FrameReader(frame)
    clock, count = reader.unpack(protocol.BATCH_HEADER, "batch header")
    events = tuple(_decode_record(reader, report_fields) for _ in range(count))
    if reader.remaining:
        raise ProtocolError(f"{reader.remaining} trailing bytes at byte {reader.position}")
    return Batch(clock / MICROSECONDS_PER_SECOND, events)


def _decode_record(reader: FrameReader, report_fields: MutableMapping[int, ReportFields]) -> GatewayEvent:
    (code,) = reader.unpack(protocol.U8, "event code")
    if code not in EVENT_DECODERS and code not in REPORT_DECODERS:
        raise ProtocolError(f"unknown event code {code} at byte {reader.position - 1}")
    (gateway,) = reader.unpack(protocol.U32, "gateway")
    event: SimulatorEvent
    if code in REPORT_DECODERS:
        event = REPORT_DECODERS[code](reader, report_fields.get(gateway, ()))
    else:
        event = EVENT_DECODERS[code](reader)
    if isinstance(event, GatewayStarted):
        report_fields[gateway] = event.settings.report_fields
    return GatewayEvent(gateway, event)


def _look_up(table: Mapping[int, Value], code: int, label: str, reader: FrameReader) -> Value:
    if code not in table:
        raise ProtocolError(f"unknown {label} {code} before byte {reader.position}")
    return table[code]


def _decode_load_report(reader: FrameReader, count: int, fields: ReportFields) -> dict[str, float]:
    values = reader.unpack(struct.Struct(f"<{count}f"), "load report")
    # A gateway that was never started has no column names; a column that the backend omits is not finite.
    return {name: value for name, value in zip(fields, values, strict=False) if math.isfinite(value)}


def _decode_gateway_started(reader: FrameReader) -> GatewayStarted:
    seed, size = reader.unpack(protocol.GATEWAY_STARTED, "Attach")
    raw = reader.read_bytes(size, "profile_data")
    try:
        text = raw.decode()
    except UnicodeDecodeError as error:
        raise ProtocolError(f"profile_data is not UTF-8 before byte {reader.position}") from error
    return GatewayStarted(parse_settings_text(text), seed)


def _decode_gateway_killed(reader: FrameReader) -> GatewayKilled:
    return GatewayKilled()


def _decode_endpoint(reader: FrameReader) -> Endpoint:
    start, kind, weight, zone, state, cell, backend = reader.unpack(protocol.ENDPOINT, "Membership entry")
    endpoint_state = _look_up(protocol.ENDPOINT_STATES, state, "condition", reader)
    return Endpoint(backend, endpoint_state, zone, cell, weight, kind, start / MICROSECONDS_PER_SECOND)


def _decode_endpoint_update(reader: FrameReader) -> EndpointUpdate:
    kind, version, count = reader.unpack(protocol.ENDPOINT_UPDATE, "Membership")
    endpoints = tuple(_decode_endpoint(reader) for _ in range(count))
    return EndpointUpdate(_look_up(protocol.UPDATE_KINDS, kind, "list form", reader), endpoints, version)


def _decode_request(reader: FrameReader) -> Request:
    fields = reader.unpack(protocol.REQUEST, "JobIn")
    request_id, units, first_gateway, member_count, flags, plan, request_class, timeout, customer = fields
    if not all(math.isfinite(value) and value >= 0 for value in (units, first_gateway, member_count)):
        raise ProtocolError(f"JobIn has an invalid number before byte {reader.position}")
    return Request(
        id=request_id,
        customer=customer,
        plan=plan,
        request_class=request_class,
        units=units,
        first_gateway=int(first_gateway),
        member_count=int(member_count),
        timeout=timeout / MICROSECONDS_PER_SECOND,
        is_retry=bool(flags & protocol.REQUEST_IS_RETRY),
        is_write=bool(flags & protocol.REQUEST_IS_WRITE),
    )


def _decode_stream_started(reader: FrameReader) -> StreamStarted:
    request_id, attempt, backend, elapsed = reader.unpack(protocol.STREAM_STARTED, "Flowing")
    return StreamStarted(request_id, attempt, backend, elapsed / MICROSECONDS_PER_SECOND)


def _decode_attempt_ended(reader: FrameReader, report_fields: ReportFields) -> AttemptEnded:
    fields = reader.unpack(protocol.ATTEMPT_ENDED, "Completed")
    request_id, attempt, backend, status, elapsed, final, use, units, column_count = fields
    return AttemptEnded(
        id=request_id,
        attempt=attempt,
        backend=backend,
        status=_look_up(protocol.STATUSES, status, "outcome", reader),
        elapsed=elapsed / MICROSECONDS_PER_SECOND,
        final=bool(final),
        metered_use=(use - 1) / 100 if use else None,
        true_units=float(units) if units else None,
        report=_decode_load_report(reader, column_count, report_fields),
    )


def _decode_client_disconnected(reader: FrameReader) -> ClientDisconnected:
    (request_id,) = reader.unpack(protocol.CLIENT_DISCONNECTED, "Dropped")
    return ClientDisconnected(request_id)


def _decode_timer_expired(reader: FrameReader) -> TimerExpired:
    (token,) = reader.unpack(protocol.TIMER_EXPIRED, "Due")
    return TimerExpired(token)


def _decode_health_check_result(reader: FrameReader, report_fields: ReportFields) -> HealthCheckResult:
    backend, status, elapsed, column_count = reader.unpack(protocol.HEALTH_CHECK_RESULT, "HealthResult")
    return HealthCheckResult(
        backend=backend,
        status=_look_up(protocol.STATUSES, status, "outcome", reader),
        elapsed=elapsed / MICROSECONDS_PER_SECOND,
        report=_decode_load_report(reader, column_count, report_fields),
    )


def _decode_peer_message(reader: FrameReader) -> PeerMessage:
    peer, size = reader.unpack(protocol.PEER_MESSAGE, "Datagram")
    return PeerMessage(peer, reader.read_bytes(size, "Datagram content"))


def _decode_counter_result(reader: FrameReader) -> CounterResult:
    total, name, elapsed, status = reader.unpack(protocol.COUNTER_RESULT, "Total")
    counter_status = _look_up(protocol.STATUSES, status, "outcome", reader)
    return CounterResult(name, total, counter_status, elapsed / MICROSECONDS_PER_SECOND)


EVENT_DECODERS: dict[int, Callable[[FrameReader], SimulatorEvent]] = {
    EventCode.GATEWAY_STARTED: _decode_gateway_started,
    EventCode.ENDPOINT_UPDATE: _decode_endpoint_update,
    EventCode.REQUEST: _decode_request,
    EventCode.STREAM_STARTED: _decode_stream_started,
    EventCode.CLIENT_DISCONNECTED: _decode_client_disconnected,
    EventCode.TIMER_EXPIRED: _decode_timer_expired,
    EventCode.PEER_MESSAGE: _decode_peer_message,
    EventCode.GATEWAY_KILLED: _decode_gateway_killed,
    EventCode.COUNTER_RESULT: _decode_counter_result,
}
REPORT_DECODERS: dict[int, Callable[[FrameReader, ReportFields], AttemptEnded | HealthCheckResult]] = {
    EventCode.ATTEMPT_ENDED: _decode_attempt_ended,
    EventCode.HEALTH_CHECK_RESULT: _decode_health_check_result,
}
