"""The simulator's protocol: codes, layouts and units. All numbers are little-endian, times in microseconds.

A frame is a body prefixed by its length (`U32`). The body of a batch is `BATCH_HEADER` followed by records,
each an event code (`U8`), a gateway number (`U32`) and the event's layout below. The body of a reply is the
number of records (`U32`) followed by records, each an action code, a gateway number and the action's fields.
"""

from __future__ import annotations

import struct
from enum import IntEnum

from ..decisions.events import EndpointState, Status, UpdateKind
from ..errors import CorkdealError

MICROSECONDS_PER_SECOND = 1_000_000
MAX_U32 = 0xFFFFFFFF
ALL_PEERS = 0xFFFFFFFF
MAX_TEXT_BYTES = 2000
MAX_FRAME_BYTES = 1 << 30  # a larger length prefix is treated as a malformed frame

U8 = struct.Struct("<B")
U16 = struct.Struct("<H")
U32 = struct.Struct("<I")
BATCH_HEADER = struct.Struct("<QI")  # clock, number of events
GATEWAY_STARTED = struct.Struct("<QI")  # seed, bytes of the settings' text
ENDPOINT_UPDATE = struct.Struct("<BII")  # kind, version, number of endpoints
ENDPOINT = struct.Struct("<QHfBBH6s")  # start, kind, weight, zone, state, cell, backend
REQUEST = struct.Struct("<QfffBIBIQ")  # id, units, first, count, flags, plan, class, timeout, customer
STREAM_STARTED = struct.Struct("<QB6sI")  # id, attempt, backend, elapsed
# id, attempt, backend, status, elapsed, final, use, units, number of columns
ATTEMPT_ENDED = struct.Struct("<QB6sBIBHHB")
CLIENT_DISCONNECTED = struct.Struct("<Q")  # id
TIMER_EXPIRED = U32  # token
HEALTH_CHECK_RESULT = struct.Struct("<6sBIB")  # backend, status, elapsed, number of columns
PEER_MESSAGE = struct.Struct("<IH")  # peer, bytes of the payload
COUNTER_RESULT = struct.Struct("<fQIB")  # total, name, elapsed, status

REQUEST_IS_RETRY = 2  # bits of a request's flags
REQUEST_IS_WRITE = 4


class ProtocolError(CorkdealError):
    """A frame violates the protocol; the message says what is wrong and where."""


class EventCode(IntEnum):
    """First byte of each record of a batch."""

    GATEWAY_STARTED = 0
    ENDPOINT_UPDATE = 1
    REQUEST = 2
    STREAM_STARTED = 3
    ATTEMPT_ENDED = 4
    CLIENT_DISCONNECTED = 5
    TIMER_EXPIRED = 6
    HEALTH_CHECK_RESULT = 7
    PEER_MESSAGE = 8
    GATEWAY_KILLED = 9
    COUNTER_RESULT = 10


class ActionCode(IntEnum):
    """First byte of each record of a reply."""

    START_ATTEMPT = 0
    REJECT = 1
    FAIL = 2
    CANCEL_ATTEMPT = 3
    SET_TIMER = 4
    CHECK_HEALTH = 5
    CLOSE_IDLE_CONNECTIONS = 6
    SEND_TO_PEER = 7
    LOG = 8
    DECISION_ERROR = 9
    WATCH_ENDPOINTS = 10
    FETCH_ENDPOINTS = 11
    INCREMENT_COUNTER = 12


STATUSES = {
    0: Status.OK,
    13: Status.ERROR,
    8: Status.REJECTED,
    4: Status.TIMEOUT,
    14: Status.CONNECT_FAILED,
    10: Status.RESET,
    1: Status.CANCELLED,
    9: Status.ABANDONED,
}
UPDATE_KINDS = {
    0: UpdateKind.DELTA,
    1: UpdateKind.COMPLETE,
    2: UpdateKind.CACHED,
    3: UpdateKind.FAILED,
}
ENDPOINT_STATES = {
    0: EndpointState.GONE,
    1: EndpointState.READY,
    2: EndpointState.DRAINING,
}
