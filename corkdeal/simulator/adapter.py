"""Hosts the simulator's gateways: reads batches from standard input, writes replies to standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from ..decisions.events import Event
from ..decisions.gateway import Gateway
from ..decisions.settings_parser import SettingsError
from .decoding import Batch, GatewayKilled, GatewayStarted, ReportFields, decode_batch
from .encoding import encode_action, encode_decision_error, encode_reply
from .protocol import MAX_FRAME_BYTES, U32, ProtocolError

EXIT_OUTPUT_CLOSED = 1
EXIT_MALFORMED_INPUT = 2


class GatewayHost:
    """The gateways of this process by number; they share no state."""

    def __init__(self) -> None:
        self._gateways: dict[int, Gateway] = {}
        self._report_fields: dict[int, ReportFields] = {}

    def reply(self, frame: bytes) -> bytes:
        """Process one batch, given without its length prefix; the reply includes one."""
        batch = decode_batch(frame, self._report_fields)
        records: list[bytes] = []
        for number, events in self._events_by_gateway(batch).items():
            records += self._handle(number, batch.time, events)
        return encode_reply(records)

    def _events_by_gateway(self, batch: Batch) -> dict[int, list[Event]]:
        """Start and kill gateways, and group the other events by gateway."""
        pending: dict[int, list[Event]] = {}
        for entry in batch.events:
            number, event = entry.gateway, entry.event
            if isinstance(event, GatewayStarted):
                self._gateways[number] = Gateway(event.settings, event.seed)
                pending[number] = []
            elif isinstance(event, GatewayKilled):
                self._gateways.pop(number, None)
                pending.pop(number, None)
            elif number not in self._gateways:
                raise ProtocolError(f"event for gateway {number}, which was never started")
            else:
                pending.setdefault(number, []).append(event)
        return pending

    def _handle(self, number: int, time: float, events: list[Event]) -> list[bytes]:
        """Return the records of a gateway's actions, or a single record that reports an exception."""
        try:
            actions = self._gateways[number].handle(time, events)
            return [encode_action(action, number) for action in actions]
        except Exception as error:  # reported to the simulator; the other gateways continue
            return [encode_decision_error(number, f"{type(error).__name__}: {error}")]


def read_exactly(stream: BinaryIO, count: int) -> bytes:
    """Read `count` bytes, or fewer at the end of the input."""
    parts = []
    while count > 0:
        part = stream.read(count)
        if not part:
            break
        parts.append(part)
        count -= len(part)
    return b"".join(parts)


def read_frame(source: BinaryIO) -> bytes | None:
    """Read the next frame without its length prefix; None at the end of the input."""
    length = read_exactly(source, U32.size)
    if not length:
        return None
    if len(length) < U32.size:
        raise ProtocolError(f"frame length truncated after {len(length)} bytes")
    (size,) = U32.unpack(length)
    if size > MAX_FRAME_BYTES:
        raise ProtocolError(f"frame length {size} exceeds the maximum of {MAX_FRAME_BYTES}")
    frame = read_exactly(source, size)
    if len(frame) < size:
        raise ProtocolError(f"frame truncated: got {len(frame)} of {size} bytes")
    return frame


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Process batches until the input ends."""
    host = GatewayHost()
    frame = read_frame(source)
    while frame is not None:
        sink.write(host.reply(frame))
        sink.flush()
        frame = read_frame(source)


def main() -> int:
    """Run until the input ends and return the exit code; malformed input is reported in one line."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (ProtocolError, SettingsError) as error:
        print(f"corkdeal: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    except BrokenPipeError:
        return EXIT_OUTPUT_CLOSED
    return 0
