"""Encoder of actions as the records of a reply."""

from __future__ import annotations

import functools
import math
import struct
from collections.abc import Sequence

from ..decisions import actions
from . import protocol
from .protocol import MICROSECONDS_PER_SECOND, U16, U32, ActionCode

ROUNDING_SLACK = 1e-3  # microseconds; floating-point error above a whole number is not rounded up


def _microseconds(seconds: float) -> int:
    rounded_up = math.ceil(seconds * MICROSECONDS_PER_SECOND - ROUNDING_SLACK)
    return min(protocol.MAX_U32, max(0, rounded_up))


def _encode_text(text: str) -> bytes:
    raw = text.encode()[: protocol.MAX_TEXT_BYTES]
    return U16.pack(len(raw)) + raw


@functools.singledispatch
def encode_action(action: actions.Action, gateway: int) -> bytes:
    """Encode one action of a gateway as a record."""
    raise TypeError(f"not an action: {action!r}")


@encode_action.register
def _(action: actions.StartAttempt, gateway: int) -> bytes:
    timeout = _microseconds(action.timeout)
    return struct.pack("<BIQ6sI", ActionCode.START_ATTEMPT, gateway, action.id, action.backend, timeout)


@encode_action.register
def _(action: actions.Reject, gateway: int) -> bytes:
    return struct.pack("<BIQI", ActionCode.REJECT, gateway, action.id, _microseconds(action.retry_after))


@encode_action.register
def _(action: actions.Fail, gateway: int) -> bytes:
    return struct.pack("<BIQ", ActionCode.FAIL, gateway, action.id)


@encode_action.register
def _(action: actions.CancelAttempt, gateway: int) -> bytes:
    return struct.pack("<BIQB", ActionCode.CANCEL_ATTEMPT, gateway, action.id, action.attempt)


@encode_action.register
def _(action: actions.SetTimer, gateway: int) -> bytes:
    return struct.pack("<BIII", ActionCode.SET_TIMER, gateway, _microseconds(action.delay), action.token)


@encode_action.register
def _(action: actions.CheckHealth, gateway: int) -> bytes:
    return struct.pack("<BI6s", ActionCode.CHECK_HEALTH, gateway, action.backend)


@encode_action.register
def _(action: actions.CloseIdleConnections, gateway: int) -> bytes:
    return struct.pack("<BI6s", ActionCode.CLOSE_IDLE_CONNECTIONS, gateway, action.backend)


@encode_action.register
def _(action: actions.SendToPeer, gateway: int) -> bytes:
    peer = protocol.ALL_PEERS if action.peer is None else action.peer
    header = struct.pack("<BIIH", ActionCode.SEND_TO_PEER, gateway, peer, len(action.payload))
    return header + action.payload


@encode_action.register
def _(action: actions.Log, gateway: int) -> bytes:
    return struct.pack("<BI", ActionCode.LOG, gateway) + _encode_text(action.text)


@encode_action.register
def _(action: actions.WatchEndpoints, gateway: int) -> bytes:
    return struct.pack("<BIB", ActionCode.WATCH_ENDPOINTS, gateway, action.on)


@encode_action.register
def _(action: actions.FetchEndpoints, gateway: int) -> bytes:
    return struct.pack("<BI", ActionCode.FETCH_ENDPOINTS, gateway)


@encode_action.register
def _(action: actions.IncrementCounter, gateway: int) -> bytes:
    lifetime = _microseconds(action.lifetime)
    return struct.pack("<BIQfI", ActionCode.INCREMENT_COUNTER, gateway, action.name, action.amount, lifetime)


def encode_decision_error(gateway: int, text: str) -> bytes:
    """Encode a record that reports an exception in a gateway's decisions."""
    return struct.pack("<BI", ActionCode.DECISION_ERROR, gateway) + _encode_text(text)


def encode_reply(records: Sequence[bytes]) -> bytes:
    """Encode a reply frame from its records."""
    body = U32.pack(len(records)) + b"".join(records)
    return U32.pack(len(body)) + body
