"""Unit tests of decoding: one record of each event, and the message and position of each error."""

import math
import struct

import pytest

from corkdeal.decisions import events
from corkdeal.decisions.events import EndpointState, Status, UpdateKind
from corkdeal.decisions.settings_parser import SettingsError
from corkdeal.simulator.decoding import GatewayEvent, GatewayKilled, GatewayStarted, decode_batch
from corkdeal.simulator.protocol import EventCode, ProtocolError

BACKEND = b"\x0a\x00\x00\x01\x88\x13"
SETTINGS = b"""balancers=1
me=0
classes.count=1
classes.0.aim_us=1
classes.0.deadline_us=1
tiers_of_service.count=1
telemetry.columns=outstanding,recent_ms
"""


def record(code, layout, *values, gateway=3):
    return struct.pack("<BI", code, gateway) + struct.pack(layout, *values)


def batch(*records, clock=2_500_000):
    return struct.pack("<QI", clock, len(records)) + b"".join(records)


def decoded(*records, columns=("inflight", "qps")):
    return [entry.event for entry in decode_batch(batch(*records), {3: columns}).events]


STARTED = record(EventCode.GATEWAY_STARTED, f"<QI{len(SETTINGS)}s", 9, len(SETTINGS), SETTINGS)
REQUEST = (EventCode.REQUEST, "<QfffBIBIQ", 77, 1.5, 2.0, 4.0, 6, 1, 2, 3_000_000, 5)
UPDATE = record(EventCode.ENDPOINT_UPDATE, "<BII", 1, 12, 1)


def test_a_batch_has_its_time_in_seconds_and_the_events_in_order():
    result = decode_batch(batch(record(EventCode.TIMER_EXPIRED, "<I", 8), record(9, "<", gateway=4)), {})
    assert result.time == 2.5
    assert result.events == (GatewayEvent(3, events.TimerExpired(8)), GatewayEvent(4, GatewayKilled()))


def test_a_start_has_settings_and_seed_and_names_the_columns_of_reports():
    columns = {}
    report = record(EventCode.HEALTH_CHECK_RESULT, "<6sBIB2f", BACKEND, 0, 500, 2, 7.0, 14.5)
    first, second = decode_batch(batch(STARTED, report), columns).events
    assert isinstance(first.event, GatewayStarted) and first.event.seed == 9
    assert columns == {3: ("inflight", "latency_ms")}
    assert second.event.report == {"inflight": 7.0, "latency_ms": 14.5}


def test_endpoint_update():
    entry = struct.pack("<QHfBBH6s", 1_500_000, 4, 0.5, 1, 2, 6, BACKEND)
    endpoint = events.Endpoint(BACKEND, EndpointState.DRAINING, 1, 6, 0.5, 4, 1.5)
    assert decoded(UPDATE + entry) == [events.EndpointUpdate(UpdateKind.COMPLETE, (endpoint,), 12)]


def test_request():
    expected = events.Request(77, 5, 1, 2, 1.5, 2, 4, 3.0, is_retry=True, is_write=True)
    assert decoded(record(*REQUEST)) == [expected]


def test_stream_started():
    result = decoded(record(EventCode.STREAM_STARTED, "<QB6sI", 77, 1, BACKEND, 2_000))
    assert result == [events.StreamStarted(77, 1, BACKEND, 0.002)]


def test_attempt_ended_without_use_units_and_report():
    result = decoded(record(EventCode.ATTEMPT_ENDED, "<QB6sBIBHHB", 77, 1, BACKEND, 14, 1_000, 0, 0, 0, 0))
    assert result == [events.AttemptEnded(77, 1, BACKEND, Status.CONNECT_FAILED, 0.001, False)]


def test_columns_of_a_report_that_are_not_finite_are_left_out():
    result = decoded(record(EventCode.HEALTH_CHECK_RESULT, "<6sBIB2f", BACKEND, 4, 1_000, 2, math.nan, 3.0))
    assert result == [events.HealthCheckResult(BACKEND, Status.TIMEOUT, 0.001, {"qps": 3.0})]


def test_small_events():
    assert decoded(
        record(EventCode.CLIENT_DISCONNECTED, "<Q", 77),
        record(EventCode.PEER_MESSAGE, "<IH2s", 1, 2, b"hi"),
        record(EventCode.COUNTER_RESULT, "<fQIB", 2.5, 6, 1_000, 0),
    ) == [
        events.ClientDisconnected(77),
        events.PeerMessage(1, b"hi"),
        events.CounterResult(6, 2.5, Status.OK, 0.001),
    ]


def test_each_event_code_has_a_decoder():
    for code in EventCode:
        with pytest.raises(ProtocolError, match="truncated"):
            decode_batch(batch(record(code, "<"))[:-1], {})


@pytest.mark.parametrize(
    "frame, text",
    [
        (b"\x00" * 4, "batch header truncated at byte 0 of 4"),
        (batch() + b"xy", "2 trailing bytes at byte 12"),
        (batch(record(99, "<")), "unknown event code 99 at byte 12"),
        (batch(record(2, "<Q", 1)), "JobIn truncated at byte 17 of 25"),
        (batch(record(*REQUEST[:3], -1.0, *REQUEST[4:])), "JobIn has an invalid number before byte 55"),
        (batch(record(*REQUEST[:3], math.nan, *REQUEST[4:])), "JobIn has an invalid number before byte 55"),
        (batch(UPDATE), "Membership entry truncated at byte 26 of 26"),
        (batch(record(1, "<BII", 7, 12, 0)), "unknown list form 7 before byte 26"),
        (
            batch(UPDATE + struct.pack("<QHfBBH6s", 0, 0, 1.0, 0, 3, 0, BACKEND)),
            "unknown condition 3 before byte 50",
        ),
        (batch(record(7, "<6sBIB", BACKEND, 77, 0, 0)), "unknown outcome 77 before byte 29"),
        (batch(record(7, "<6sBIB", BACKEND, 0, 0, 2)), "load report truncated at byte 29 of 29"),
        (batch(record(8, "<IH", 1, 5)), "Datagram content truncated at byte 23 of 23"),
        (batch(record(0, "<QI2s", 1, 2, b"\xff\xff")), "profile_data is not UTF-8 before byte 31"),
    ],
)
def test_protocol_errors_have_cause_and_position(frame, text):
    with pytest.raises(ProtocolError) as caught:
        decode_batch(frame, {})
    assert str(caught.value) == text


def test_settings_that_are_wrong_are_an_error_of_the_settings():
    with pytest.raises(SettingsError, match="classes.count is missing"):
        decode_batch(batch(record(0, "<QI4s", 1, 4, b"me=0")), {})
