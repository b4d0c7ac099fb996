"""Sequential reader of the packed fields of a frame."""

from __future__ import annotations

import struct
from typing import Any

from .protocol import ProtocolError


class FrameReader:
    """Reads a frame from its start; a field beyond its end raises `ProtocolError` with the position."""

    def __init__(self, frame: bytes) -> None:
        self._frame = frame
        self.position = 0  # bytes read so far

    @property
    def remaining(self) -> int:
        """Number of bytes not read yet."""
        return len(self._frame) - self.position

    def unpack(self, layout: struct.Struct, label: str) -> tuple[Any, ...]:
        """Read the fields of one layout; `label` names it in error messages."""
        return layout.unpack(self.read_bytes(layout.size, label))

    def read_bytes(self, count: int, label: str) -> bytes:
        """Read `count` raw bytes; `label` names them in error messages."""
        start = self.position
        end = start + count
        if end > len(self._frame):
            raise ProtocolError(f"{label} truncated at byte {start} of {len(self._frame)}")
        self.position = end
        return self._frame[start:end]
