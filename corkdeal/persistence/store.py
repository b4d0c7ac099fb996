"""Generations of documents in one gateway's folder: which is read, how one is written, which go.

A write is whole or nothing: a temporary file, its content synced, renamed to its generation's name, the
folder synced. Only then is the generation durable, and only then are older ones removed, so each moment of a
crash leaves the newest durable generation or a newer one. What can't be read is passed over for the one
before it.
"""

from __future__ import annotations

import contextlib
import os
import re
from collections.abc import Callable
from typing import NamedTuple

from .document import FORMAT, Document, decode
from .envelope import MOST_FILE, unseal
from .errors import DamagedSnapshotError, GenerationsExhaustedError, UnsupportedFormatError
from .files import Files

LOCK = "lock"
NAME = re.compile(r"([0-9]{16})\.know").fullmatch
TEMPORARY = re.compile(r"[0-9]{16}\.tmp").fullmatch
PLAIN = re.compile(r"[^A-Za-z0-9_-]")
MOST_GENERATION = 10**16 - 1


class Refused(NamedTuple):
    """A file that was not loaded, and why."""

    file: str
    why: str


class Loaded(NamedTuple):
    """The newest document that can be read, if there is one."""

    file: str
    format: int
    document: Document | None
    refused: list[Refused]


def folder_of(path: str, name: str) -> str:
    """A gateway's own folder: its name with all that could lead elsewhere written as %XX."""
    return os.path.join(path, PLAIN.sub(lambda m: "".join(f"%{b:02X}" for b in m[0].encode()), name) or "%")


def file_of(generation: int) -> str:
    """A generation's file."""
    return f"{generation:016d}.know"


class Store:
    """One gateway's folder. All of it may block; it runs in a thread of its own."""

    def __init__(self, folder: str, generations: int = 2, opener: Callable[[str], Files] = Files) -> None:
        self.folder, self.generations, self.opener = folder, generations, opener
        self.files: Files | None = None
        self.held: int | None = None
        self.newest = 0  # highest generation that any file's name bears
        self.kept: list[int] = []  # whole ones, oldest first
        self.foreign: set[int] = set()  # of newer formats: never touched
        self.ours: set[int] = set()  # known to be of a format that this program may replace

    def open(self) -> None:
        """Take the folder for this process.

        Raises `FolderLockedError` if another process has it and `OSError` where it can't be used.
        """
        if self.files is not None and not self.files.present():  # vanished or replaced: begin anew there
            self.close()
        if self.files is None:
            files = self.opener(self.folder)
            try:
                self.held = files.lock(LOCK)
            except BaseException:
                files.close()
                raise
            self.files = files
            self.look()

    def close(self) -> None:
        """Let go of it."""
        if self.files is not None:
            if self.held is not None:
                os.close(self.held)
            self.files.close()
            self.files = self.held = None

    def look(self) -> None:
        """See which generations are there, and remove what a crash left half written."""
        assert self.files is not None
        names = self.files.list()
        for name in filter(TEMPORARY, names):
            with contextlib.suppress(OSError):
                self.files.unlink(name)
        found = sorted(int(m[1]) for m in map(NAME, names) if m)
        self.newest, self.kept = max([self.newest, *found]), found

    def load(self) -> Loaded:
        """The newest document that is whole and of a known format."""
        assert self.files is not None
        refused: list[Refused] = []
        for generation in reversed(self.kept[:]):
            name = file_of(generation)
            try:
                said, form, document = decode(self.files.read(name, MOST_FILE))
                if said != generation:
                    raise DamagedSnapshotError(f"byte 16: generation {said} under the name of {generation}")
                return Loaded(name, form, document, refused)
            except UnsupportedFormatError as error:
                self.foreign.add(generation)
                self.kept.remove(generation)
                refused.append(Refused(name, str(error)))
            except (DamagedSnapshotError, OSError) as error:
                self.kept.remove(generation)
                refused.append(Refused(name, str(error)))
        return Loaded("", 0, None, refused)

    def write(self, make: Callable[[int], list[bytes]]) -> int:
        """Write what `make` gives for the next generation; returns its number once it is durable."""
        self.open()
        assert self.files is not None
        files, generation = self.files, self.newest + 1
        if generation > MOST_GENERATION:
            raise GenerationsExhaustedError("no generation is left")
        parts, temporary = make(generation), f"{generation:016d}.tmp"
        try:
            file = files.create(temporary)
            try:
                files.write(file, parts)
                files.sync(file)
            finally:
                files.finish(file)
            files.rename(temporary, file_of(generation))
            self.newest = generation  # from here on the name may be there, durable or not: never used again
            files.sync_folder()
        except BaseException:
            with contextlib.suppress(OSError):
                files.unlink(temporary)
            self.look_again()
            raise
        self.kept.append(generation)
        self.ours.add(generation)
        self.rotate()
        return generation

    def look_again(self) -> None:
        """After a failure nothing that was remembered of the folder is believed."""
        try:
            foreign = self.foreign
            self.look()
            self.kept = [g for g in self.kept if g not in foreign]
        except OSError:
            self.close()

    def rotate(self) -> None:
        """Remove all but the newest whole generations; what is of a newer format stays."""
        assert self.files is not None
        gone, self.kept = self.kept[: -self.generations], self.kept[-self.generations :]
        for generation in gone:
            try:
                if self.replaceable(generation):
                    self.files.unlink(file_of(generation))
                    self.ours.discard(generation)
            except FileNotFoundError:
                pass
            except OSError:
                self.kept.insert(0, generation)  # tried again after the next write

    def replaceable(self, generation: int) -> bool:
        """Whether a file may be removed: one of a newer format may not, though this life never loaded it."""
        assert self.files is not None
        if generation not in self.ours:
            with contextlib.suppress(DamagedSnapshotError):
                if unseal(self.files.read(file_of(generation), MOST_FILE)).least_reader > FORMAT:
                    self.foreign.add(generation)
                    return False
        return True
