"""Reads packed fields off a frame, in order."""

from __future__ import annotations

import struct
from typing import Any

from .protocol import ProtocolError


class FrameReader:
    """A position in a frame; a field that does not fit in the rest is a `ProtocolError` with its place."""

    def __init__(self, frame: bytes) -> None:
        self._frame = frame
        self.position = 0  # bytes read

    @property
    def remaining(self) -> int:
        """Bytes not yet read."""
        return len(self._frame) - self.position

    def unpack(self, layout: struct.Struct, what: str) -> tuple[Any, ...]:
        """Read the fields of one layout; `what` names it in an error."""
        return layout.unpack(self.read_bytes(layout.size, what))

    def read_bytes(self, count: int, what: str) -> bytes:
        """Read `count` raw bytes; `what` names them in an error."""
        start = self.position
        end = start + count
        if end > len(self._frame):
            raise ProtocolError(f"{what} cut short at byte {start} of {len(self._frame)}")
        self.position = end
        return self._frame[start:end]
