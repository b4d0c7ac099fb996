"""Standard input to standard output: hosts gateways on the wire, each with a brain of its own."""

from __future__ import annotations

import sys
from typing import BinaryIO

from ..decisions.events import Event
from ..decisions.gateway import Gateway
from ..decisions.settings_parser import SettingsError
from . import protocol

MOST_FRAME = 1 << 30  # bytes; a longer announcement is taken for a broken frame


class Host:
    """The gateways living in this process; they share nothing."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.fields: dict[int, tuple[str, ...]] = {}

    def reply(self, body: bytes) -> bytes:
        """Answer one batch."""
        clock, pairs = protocol.decode(body, self.fields)
        now = clock / protocol.US
        runs: dict[int, list[Event]] = {}
        records: list[bytes] = []
        for number, event in pairs:
            if isinstance(event, protocol.Attach):
                self.gateways[number] = Gateway(event.settings, event.seed)
                runs[number] = []
            elif isinstance(event, protocol.PowerOff):
                self.gateways.pop(number, None)
                runs.pop(number, None)
            elif number not in self.gateways:
                raise protocol.WireError(f"event for gateway {number}, which never started")
            else:
                runs.setdefault(number, []).append(event)
        for number, events in runs.items():
            try:
                actions = self.gateways[number].handle(now, events)
                records += [protocol.encode_action(number, a) for a in actions]
            except Exception as error:  # the operators want the text, not a dead process
                records.append(protocol.encode_error(number, f"{type(error).__name__}: {error}"))
        return protocol.frame(records)


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


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    while head := read_exactly(source, 4):
        if len(head) < 4:
            raise protocol.WireError(f"frame length cut short after {len(head)} bytes")
        (size,) = protocol.U32.unpack(head)
        if size > MOST_FRAME:
            raise protocol.WireError(f"frame length {size} is beyond {MOST_FRAME}")
        body = read_exactly(source, size)
        if len(body) < size:
            raise protocol.WireError(f"frame cut short: {len(body)} of {size} bytes")
        sink.write(host.reply(body))
        sink.flush()


def main() -> int:
    """Run until the input ends; a malformed frame ends the run with one line."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (protocol.WireError, SettingsError) as error:
        print(f"corkdeal: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0
