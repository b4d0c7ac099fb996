"""The folder that successive processes of one gateway share, and the snapshots they hand over in it.

    0000000000000007.life          locked by incarnation 7 while it runs; no number is used twice
    0000000000000006-7.first       handed over by incarnation 6 to incarnation 7 when 7 started
    0000000000000006-7.rest        handed over by incarnation 6 to incarnation 7 when 6 ended
    0000000000000006-7.ids         ids of requests that 6 opens while 7 runs, see `net/shared_ids.py`
    0000000000000006-0.open        the ids that 6 has open or keeps, see `net/open_ids.py`

An incarnation's file gets its name only after it is locked, so an unlocked one has ended for good. Earlier
versions create the file under its name and lock it in a second step; the modification time tells them apart.

A snapshot's name states its writer and its reader: only incarnation 6 writes the files above, and only
incarnation 7 reads them. So no process overwrites a snapshot that another one has to read, and none reads a
snapshot that was written for another. Files are written under a temporary name and then renamed, and carry
the checksum of `envelope`. They are not synced: a crash of the machine ends all processes that would read
them.
"""

from __future__ import annotations

import contextlib
import enum
import os
import random
import re
import time
from collections.abc import Callable, Collection

from .codec import Snapshot, decode_snapshot
from .envelope import MAX_FILE_SIZE
from .errors import DamagedSnapshotError
from .files import CLOSED, StateFolder

match_incarnation_name = re.compile(r"([0-9]{16})\.life").fullmatch
match_snapshot_name = re.compile(r"([0-9]{16})-([0-9]{1,16})\.(?:first|rest|ids|open|tmp)").fullmatch


# Modification time, seconds since the epoch, of a file that was locked before it got its name.
LOCKED_BEFORE_NAMED_TIME = 0
# Seconds for which an unlocked file with a later modification time counts as one that is about to be locked.
LOCKING_GRACE = 1.0


class HandoverPart(enum.Enum):
    """The two snapshots that an incarnation hands over; the value is the suffix of the file's name."""

    PARTIAL = "first"
    FINAL = "rest"


class HandoverFiles:
    """One incarnation's access to the folder; each call makes a few short system calls."""

    def __init__(
        self,
        folder: str,
        folder_factory: Callable[[str], StateFolder] = StateFolder,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.files = folder_factory(folder)
        self.wall_clock = wall_clock
        self.lock = CLOSED
        self.incarnation = 0  # 0 until `join`

    def join(self) -> int | None:
        """Take the next incarnation number; return the predecessor, if one runs.

        Raises `OSError` where the folder can't be used; then no other process sees this one as running.
        """
        try:
            existing, given_up = self.incarnations(), set[int]()
            while not self._take_number(number := max(existing, default=0) + 1):
                given_up.add(number)
                existing = self.incarnations()
            # A process that listed a number just given up may still look at its file, and one of an earlier
            # version would create the file anew if it were removed.
            self._remove_ended([each for each in existing if each in given_up or self.is_running(each)])
            return self.predecessor()
        except BaseException:
            self.close()
            raise

    def _take_number(self, number: int) -> bool:
        """Take an incarnation number; return False if it is or was another process's."""
        # `_remove_ended` of a later incarnation removes a file of this name that a crash left behind.
        temporary = f"{number:016d}-{random.randrange(10**15, 10**16)}.tmp"
        self.lock = self.files.create(temporary)
        self.files.lock_file(self.lock)
        os.utime(self.lock, (self.wall_clock(), LOCKED_BEFORE_NAMED_TIME))
        try:
            self.files.link(temporary, incarnation_name(number))
        except (FileExistsError, FileNotFoundError):  # taken; or taken and ended, with `temporary` removed
            self._unlock()
            return False
        finally:
            with contextlib.suppress(FileNotFoundError):
                self.files.unlink(temporary)
        if max(self.incarnations(), default=number) > number:  # an ended process may have had this number
            self._unlock()
            return False
        self.incarnation = number
        return True

    def _unlock(self) -> None:
        """Unlock this incarnation's file; a second call has no effect."""
        if self.lock != CLOSED:
            self.files.close_file(self.lock)
            self.lock = CLOSED

    def incarnations(self) -> list[int]:
        """Return the numbers of all incarnations whose file exists, in ascending order."""
        matches = map(match_incarnation_name, self.files.list_names())
        return sorted(int(match[1]) for match in matches if match)

    def running(self) -> list[int]:
        """Return the numbers of all other running incarnations, in ascending order."""
        return [
            number for number in self.incarnations() if number != self.incarnation and self.is_running(number)
        ]

    def predecessor(self) -> int | None:
        """Return the newest running incarnation before this one."""
        for number in reversed(self.incarnations()):
            if number < self.incarnation and self.is_running(number):
                return number
        return None

    def successor(self) -> int | None:
        """Return the oldest running incarnation after this one."""
        for number in self.incarnations():
            if number > self.incarnation and self.is_running(number):
                return number
        return None

    def is_running(self, number: int) -> bool:
        """Whether an incarnation's process runs; it holds the lock of its file while it does.

        Raises `OSError` if the folder was removed.
        """
        if number == self.incarnation:
            return True
        try:
            file = self.files.open_existing(incarnation_name(number))
        except FileNotFoundError:
            self.files.list_names()  # raises if the folder is missing too
            return False
        try:
            return self._may_be_locked_soon(file) or self.files.is_locked(file)
        finally:
            self.files.close_file(file)

    def _may_be_locked_soon(self, file: int) -> bool:
        """Whether a process of an earlier version may have created the file and not locked it yet.

        A look at the lock in that moment would make the process's own attempt to lock the file fail.
        """
        age = self.wall_clock() - os.fstat(file).st_mtime
        return abs(age) < LOCKING_GRACE

    def write(self, successor: int, part: HandoverPart, encode: Callable[[int], list[bytes]]) -> None:
        """Hand a snapshot over; `encode` returns its parts, given this incarnation's number.

        Raises `OSError` where it can't be written; the successor then finds no snapshot.
        """
        prefix = f"{self.incarnation:016d}-{successor}"
        temporary = f"{prefix}.tmp"
        with contextlib.suppress(FileNotFoundError):
            self.files.unlink(temporary)
        file = self.files.create(temporary)
        try:
            self.files.write(file, encode(self.incarnation))
        finally:
            self.files.close_file(file)
        self.files.rename(temporary, f"{prefix}.{part.value}")

    def read(self, predecessor: int, part: HandoverPart) -> Snapshot | None:
        """Return the snapshot that an incarnation handed over to this one; None while there is none.

        Raises `DamagedSnapshotError` for a damaged file.
        """
        name = f"{predecessor:016d}-{self.incarnation}.{part.value}"
        try:
            data = self.files.read(name, MAX_FILE_SIZE)
        except FileNotFoundError:
            return None
        decoded = decode_snapshot(data)
        if decoded.generation != predecessor:
            raise DamagedSnapshotError(f"byte 16: from incarnation {decoded.generation}, not {predecessor}")
        return decoded.snapshot

    def close(self) -> None:
        """Unlock this incarnation's file and close the folder; a second call has no effect."""
        self._unlock()
        self.files.close()

    def _remove_ended(self, running: Collection[int]) -> None:
        """Remove the files of ended incarnations. This one's stays, so that its number is not used again."""
        for name in self.files.list_names():
            match = match_incarnation_name(name) or match_snapshot_name(name)
            if match is None:
                continue
            number = int(match[1])
            if number < self.incarnation and number not in running:
                with contextlib.suppress(OSError):
                    self.files.unlink(name)


def incarnation_name(number: int) -> str:
    """Return the name of the file that an incarnation keeps locked while it runs."""
    return f"{number:016d}.life"
