"""A buffer for the bytes of a large value, which keeps them in the pieces in which they arrived; no I/O."""

from __future__ import annotations

from collections import deque

# bytes; shorter pieces are joined, since each costs an object and an entry of a vectored write
MIN_PIECE = 4096
MAX_BATCH_PIECES = 256  # pieces taken at once, fewer than one vectored write may have

Piece = bytes | bytearray | memoryview


class PieceBuffer:
    """A queue of bytes; long pieces are kept without a copy, short ones are joined."""

    __slots__ = ("pieces", "size")

    def __init__(self) -> None:
        self.pieces: deque[Piece] = deque()
        self.size = 0  # bytes

    def append(self, piece: memoryview) -> None:
        """Add a piece at the end."""
        self.size += len(piece)
        if len(piece) >= MIN_PIECE:
            self.pieces.append(piece)
            return
        last = self.pieces[-1] if self.pieces else None
        if isinstance(last, bytearray) and len(last) < MIN_PIECE:
            last += piece
        else:
            self.pieces.append(bytearray(piece))

    def take(self, max_size: int) -> list[Piece]:
        """Remove pieces from the front until they hold `max_size` bytes or more; empty if there are none."""
        taken: list[Piece] = []
        size = 0
        while self.pieces and size < max_size and len(taken) < MAX_BATCH_PIECES:
            taken.append(self.pieces.popleft())
            size += len(taken[-1])
        self.size -= size
        return taken

    def clear(self) -> None:
        """Remove all pieces."""
        self.pieces.clear()
        self.size = 0
