"""The file in which the processes of one gateway state what each may use of the gateway's limits.

The file has a fixed number of rows, one for each process that runs. It is read and written under a lock, so
that of two processes that look for free room at the same time the second sees what the first has taken. A
row whose process has ended is free; `handover_files` tells which processes run.
"""

from __future__ import annotations

import contextlib
import os
import struct
from collections.abc import Collection, Iterator
from dataclasses import dataclass

from .files import StateFolder

FILE_NAME = "limits"
ROW = struct.Struct(">QQQQ")  # incarnation, whether it has started, memory in bytes, descriptors
ROW_COUNT = 16  # many more than processes of one gateway that run at once


@dataclass(frozen=True, slots=True)
class Claim:
    """What a process may use of its gateway's limits, at most."""

    is_started: bool  # whether its program is loaded, so that it needs its part soon
    memory: int  # bytes
    descriptors: int


class ClaimTable:
    """One incarnation's access to the file; use it within `locked`."""

    def __init__(self, folder: StateFolder, incarnation: int) -> None:
        self.folder, self.incarnation = folder, incarnation
        self.file: int | None = None  # while it is locked

    @contextlib.contextmanager
    def locked(self) -> Iterator[None]:
        """Lock the file, without waiting.

        Raises `FolderLockedError` while another process has the lock, and `OSError` if it can't be used.
        """
        self.file = self.folder.lock(FILE_NAME)
        try:
            yield
        finally:
            file, self.file = self.file, None
            self.folder.close_file(file)

    def read(self) -> dict[int, Claim]:
        """Return all claims by incarnation, also those of processes that have ended."""
        return {
            incarnation: Claim(bool(is_started), memory, descriptors)
            for _, incarnation, is_started, memory, descriptors in self._rows()
            if incarnation
        }

    def write(self, claim: Claim, running: Collection[int]) -> None:
        """Write this incarnation's claim, in place of a row of one that is not running if it has none yet.

        Raises `OSError` if that fails; the claim that was written before still holds then.
        """
        row = ROW.pack(self.incarnation, claim.is_started, claim.memory, claim.descriptors)
        if os.pwrite(self._open_file(), row, self._own_row(running) * ROW.size) != ROW.size:
            raise OSError("a claim was written in part")

    def _own_row(self, running: Collection[int]) -> int:
        """Return the number of this incarnation's row, or of one that is free."""
        rows = list(self._rows())
        for number, incarnation, *_ in rows:
            if incarnation == self.incarnation:
                return number
        for number, incarnation, *_ in rows:
            if incarnation not in running:
                return number
        if len(rows) < ROW_COUNT:
            return len(rows)
        raise OSError("the table of claims is full")

    def _rows(self) -> Iterator[tuple[int, int, int, int, int]]:
        """Yield the number and the fields of each row; one that was written in part does not count."""
        data = os.pread(self._open_file(), ROW_COUNT * ROW.size, 0)
        complete = len(data) - len(data) % ROW.size
        for number, fields in enumerate(ROW.iter_unpack(data[:complete])):
            incarnation, is_started, memory, descriptors = fields
            yield number, incarnation, is_started, memory, descriptors

    def _open_file(self) -> int:
        """Return the descriptor of the locked file."""
        if self.file is None:
            raise OSError("the table of claims is not locked")
        return self.file
