"""The folder that successive processes of one gateway share, and the snapshots that they hand over in it.

    0000000000000007.life          locked by incarnation 7 while it runs; its number is never used twice
    0000000000000006-7.first       what incarnation 6 gave incarnation 7 as that one started
    0000000000000006-7.rest        what it gave at its end

A snapshot's name states from whom and for whom it is: only that incarnation writes it, and only the other one
reads it. So an old process can't overwrite what a new one goes by, and a third one finds nothing that was not
meant for it. Files are renamed into place whole and carry the checksum of `envelope`; nothing is synced, for
no process outlasts the machine.
"""

from __future__ import annotations

import contextlib
import enum
import os
import re
from collections.abc import Callable, Collection

from .codec import Snapshot, decode_snapshot
from .envelope import MAX_FILE_SIZE
from .errors import DamagedSnapshotError, FolderLockedError
from .files import CLOSED, StateFolder

match_incarnation_name = re.compile(r"([0-9]{16})\.life").fullmatch
match_snapshot_name = re.compile(r"([0-9]{16})-([0-9]{1,16})\.(?:first|rest|tmp)").fullmatch


class HandoverPart(enum.Enum):
    """Which part of its state an incarnation hands over; the value is the file's suffix."""

    PARTIAL = "first"
    FINAL = "rest"


class HandoverFiles:
    """One incarnation's view of the folder; each call is a few short operations on files."""

    def __init__(self, folder: str, opener: Callable[[str], StateFolder] = StateFolder) -> None:
        self.files = opener(folder)
        self.lock = CLOSED
        self.incarnation = 0  # until `join`
        self.ended: set[int] = set()  # incarnations found to have ended; they stay so

    def join(self) -> int | None:
        """Take the next incarnation number; return the newest one before it that still runs, if any."""
        while True:
            known = self.incarnations()
            self.incarnation = max(known, default=0) + 1
            name = incarnation_name(self.incarnation)
            try:
                self.files.close_file(self.files.create(name))
            except FileExistsError:
                continue  # another process was faster
            self.lock = self.files.lock(name)
            self._remove_ended([number for number in known if self.is_running(number)])
            return self.predecessor()

    def incarnations(self) -> list[int]:
        """Return all numbers in use, ascending."""
        matches = map(match_incarnation_name, self.files.list_names())
        return sorted(int(match[1]) for match in matches if match)

    def predecessor(self) -> int | None:
        """Return the newest incarnation before this one that runs."""
        for number in reversed(self.incarnations()):
            if number < self.incarnation and self.is_running(number):
                return number
        return None

    def successor(self) -> int | None:
        """Return the next incarnation after this one that runs."""
        for number in self.incarnations():
            if number > self.incarnation and self.is_running(number):
                return number
        return None

    def is_running(self, number: int) -> bool:
        """Whether an incarnation's process runs, which holds a lock for that long."""
        if number == self.incarnation:
            return True
        if number in self.ended:
            return False
        try:
            lock = self.files.lock(incarnation_name(number))
        except FolderLockedError:
            return True
        os.close(lock)
        self.ended.add(number)
        return False

    def write(self, successor: int, part: HandoverPart, encode: Callable[[int], list[bytes]]) -> None:
        """Hand a snapshot over; `encode` makes its parts from this incarnation's number.

        Raises `OSError` where it can't be written, and then there is none.
        """
        pair = f"{self.incarnation:016d}-{successor}"
        temporary = f"{pair}.tmp"
        with contextlib.suppress(FileNotFoundError):
            self.files.unlink(temporary)
        file = self.files.create(temporary)
        try:
            self.files.write(file, encode(self.incarnation))
        finally:
            self.files.close_file(file)
        self.files.rename(temporary, f"{pair}.{part.value}")

    def read(self, predecessor: int, part: HandoverPart) -> Snapshot | None:
        """Return what that incarnation handed over to this one; None while there is none.

        Raises `DamagedSnapshotError` for a file that is not whole.
        """
        name = f"{predecessor:016d}-{self.incarnation}.{part.value}"
        try:
            data = self.files.read(name, MAX_FILE_SIZE)
        except FileNotFoundError:
            return None
        decoded = decode_snapshot(data)
        if decoded.generation != predecessor:
            raise DamagedSnapshotError(f"byte 16: life {decoded.generation} under the name of {predecessor}")
        return decoded.snapshot

    def close(self) -> None:
        """Unlock this incarnation's number and close the folder; a second call has no effect."""
        if self.lock != CLOSED:
            os.close(self.lock)
            self.lock = CLOSED
        self.files.close()

    def _remove_ended(self, running: Collection[int]) -> None:
        """Remove the files of ended incarnations; this one's stays, so that no number is used twice."""
        for name in self.files.list_names():
            match = match_incarnation_name(name) or match_snapshot_name(name)
            if match is None:
                continue
            number = int(match[1])
            if number < self.incarnation and number not in running:
                with contextlib.suppress(OSError):
                    self.files.unlink(name)


def incarnation_name(number: int) -> str:
    """Return the name of the file that an incarnation holds locked."""
    return f"{number:016d}.life"
