"""The lives of one gateway in a folder that they share, and the documents that they hand on to one another.

    0000000000000007.life          held locked by life 7 while it lives; its number is never given twice
    0000000000000006-7.first       what life 6 gave life 7 as that one started
    0000000000000006-7.rest        what it gave at its end

A document's name says from whom and for whom it is: only that life writes it, and only that one reads it,
so an old life can't overwrite what a new one goes by, and a third start finds nothing that was not meant
for it. Files are renamed into their place whole and carry the checksum of `envelope`; nothing is synced,
for no life outlasts the machine.
"""

from __future__ import annotations

import contextlib
import os
import re
from collections.abc import Callable

from .codec import Snapshot, decode_snapshot
from .envelope import MAX_FILE_SIZE
from .errors import DamagedSnapshotError, FolderLockedError
from .files import StateFolder

LIFE = re.compile(r"([0-9]{16})\.life").fullmatch
GIVEN = re.compile(r"([0-9]{16})-([0-9]{1,16})\.(?:first|rest|tmp)").fullmatch
PARTIAL, FINAL = "first", "rest"


class HandoverFiles:
    """One life's view of the folder. Every call is a few small operations on files."""

    def __init__(self, folder: str, opener: Callable[[str], StateFolder] = StateFolder) -> None:
        self.files = opener(folder)
        self.lock = -1  # held while this life goes on
        self.ended: set[int] = set()
        self.me = 0

    def join(self) -> int | None:
        """Take the next number; the newest life before it that still lives, if there is one."""
        while True:
            known = self.numbers()
            self.me = max(known, default=0) + 1
            try:
                os.close(self.files.create(self.name(self.me)))
            except FileExistsError:
                continue  # another start was faster
            self.lock = self.files.lock(self.name(self.me))
            self.clean([n for n in known if self.lives(n)])
            return self.predecessor()

    def predecessor(self) -> int | None:
        """The newest life before this one that lives."""
        return next((n for n in reversed(self.numbers()) if n < self.me and self.lives(n)), None)

    def numbers(self) -> list[int]:
        """All numbers that were given."""
        return sorted(int(m[1]) for m in map(LIFE, self.files.list_names()) if m)

    def successor(self) -> int | None:
        """The next life after this one that lives."""
        return next((n for n in self.numbers() if n > self.me and self.lives(n)), None)

    def lives(self, number: int) -> bool:
        """Whether that life goes on. Only itself may keep its lock, or others would take it for alive."""
        if number == self.me or number in self.ended:
            return number == self.me
        try:
            os.close(self.files.lock(self.name(number)))
        except FolderLockedError:
            return True
        self.ended.add(number)
        return False

    def write(self, to: int, what: str, make: Callable[[int], list[bytes]]) -> None:
        """Hand a document on; `OSError` where it can't be written, and then there is none."""
        name, part = f"{self.me:016d}-{to}.{what}", f"{self.me:016d}-{to}.tmp"
        with contextlib.suppress(FileNotFoundError):
            self.files.unlink(part)
        file = self.files.create(part)
        try:
            self.files.write(file, make(self.me))
        finally:
            self.files.close_file(file)
        self.files.rename(part, name)

    def read(self, of: int, what: str) -> Snapshot | None:
        """What that life handed on to this one; None while there is none.

        Raises `DamagedSnapshotError` for a file that is not whole.
        """
        try:
            data = self.files.read(f"{of:016d}-{self.me}.{what}", MAX_FILE_SIZE)
        except FileNotFoundError:
            return None
        said, _, document = decode_snapshot(data)
        if said != of:
            raise DamagedSnapshotError(f"byte 16: life {said} under the name of {of}")
        return document

    def clean(self, living: list[int]) -> None:
        """Remove what ended lives left, but for the newest number."""
        for name in self.files.list_names():
            life, given = LIFE(name), GIVEN(name)
            number = int((life or given)[1]) if life or given else self.me  # type: ignore[index]
            if number < self.me and number not in living:
                with contextlib.suppress(OSError):
                    self.files.unlink(name)

    def name(self, number: int) -> str:
        """A life's file."""
        return f"{number:016d}.life"

    def close(self) -> None:
        """This life ends."""
        os.close(self.lock)
        self.files.close()
