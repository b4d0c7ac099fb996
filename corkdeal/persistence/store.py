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

from .codec import CURRENT_FORMAT, Snapshot, decode
from .envelope import MAX_FILE_SIZE, parse_envelope
from .errors import DamagedSnapshotError, GenerationsExhaustedError, UnsupportedFormatError
from .files import StateFolder

LOCK_NAME = "lock"
match_snapshot_name = re.compile(r"([0-9]{16})\.know").fullmatch
match_temporary_name = re.compile(r"[0-9]{16}\.tmp").fullmatch
UNSAFE_CHARACTER = re.compile(r"[^A-Za-z0-9_-]")
MAX_GENERATION = 10**16 - 1


class RejectedFile(NamedTuple):
    """A file that was not loaded, and why."""

    file: str
    reason: str


class LoadedSnapshot(NamedTuple):
    """The newest document that can be read, if there is one."""

    file: str
    format: int
    document: Snapshot | None
    rejected: list[RejectedFile]


def gateway_folder(path: str, name: str) -> str:
    """A gateway's own folder: its name with all that could lead elsewhere written as %XX."""
    return os.path.join(
        path, UNSAFE_CHARACTER.sub(lambda m: "".join(f"%{b:02X}" for b in m[0].encode()), name) or "%"
    )


def snapshot_name(generation: int) -> str:
    """A generation's file."""
    return f"{generation:016d}.know"


class SnapshotStore:
    """One gateway's folder. All of it may block; it runs in a thread of its own."""

    def __init__(
        self, folder: str, retained: int = 2, opener: Callable[[str], StateFolder] = StateFolder
    ) -> None:
        self.folder, self.retained, self.opener = folder, retained, opener
        self.files: StateFolder | None = None
        self.lock: int | None = None
        self.newest_generation = 0  # highest generation that any file's name bears
        self.generations_found: list[int] = []  # whole ones, oldest first
        self.newer_formats: set[int] = set()  # of newer formats: never touched
        self.replaceable: set[int] = set()  # known to be of a format that this program may replace

    def open(self) -> None:
        """Take the folder for this process.

        Raises `FolderLockedError` if another process has it and `OSError` where it can't be used.
        """
        if self.files is not None and not self.files.is_current():  # vanished or replaced: begin anew there
            self.close()
        if self.files is None:
            files = self.opener(self.folder)
            try:
                self.lock = files.lock(LOCK_NAME)
            except BaseException:
                files.close()
                raise
            self.files = files
            self.scan()

    def close(self) -> None:
        """Let go of it."""
        if self.files is not None:
            if self.lock is not None:
                os.close(self.lock)
            self.files.close()
            self.files = self.lock = None

    def scan(self) -> None:
        """See which generations are there, and remove what a crash left half written."""
        assert self.files is not None
        names = self.files.list_names()
        for name in filter(match_temporary_name, names):
            with contextlib.suppress(OSError):
                self.files.unlink(name)
        found = sorted(int(m[1]) for m in map(match_snapshot_name, names) if m)
        self.newest_generation, self.generations_found = max([self.newest_generation, *found]), found

    def load(self) -> LoadedSnapshot:
        """The newest document that is whole and of a known format."""
        assert self.files is not None
        rejected: list[RejectedFile] = []
        for generation in reversed(self.generations_found[:]):
            name = snapshot_name(generation)
            try:
                said, form, document = decode(self.files.read(name, MAX_FILE_SIZE))
                if said != generation:
                    raise DamagedSnapshotError(f"byte 16: generation {said} under the name of {generation}")
                return LoadedSnapshot(name, form, document, rejected)
            except UnsupportedFormatError as error:
                self.newer_formats.add(generation)
                self.generations_found.remove(generation)
                rejected.append(RejectedFile(name, str(error)))
            except (DamagedSnapshotError, OSError) as error:
                self.generations_found.remove(generation)
                rejected.append(RejectedFile(name, str(error)))
        return LoadedSnapshot("", 0, None, rejected)

    def write(self, make: Callable[[int], list[bytes]]) -> int:
        """Write what `make` gives for the next generation; returns its number once it is durable."""
        self.open()
        assert self.files is not None
        files, generation = self.files, self.newest_generation + 1
        if generation > MAX_GENERATION:
            raise GenerationsExhaustedError("no generation is left")
        parts, temporary = make(generation), f"{generation:016d}.tmp"
        try:
            file = files.create(temporary)
            try:
                files.write(file, parts)
                files.sync(file)
            finally:
                files.close_file(file)
            files.rename(temporary, snapshot_name(generation))
            self.newest_generation = (
                generation  # from here on the name may be there, durable or not: never used again
            )
            files.sync_folder()
        except BaseException:
            with contextlib.suppress(OSError):
                files.unlink(temporary)
            self.rescan()
            raise
        self.generations_found.append(generation)
        self.replaceable.add(generation)
        self.remove_old_generations()
        return generation

    def rescan(self) -> None:
        """After a failure nothing that was remembered of the folder is believed."""
        try:
            newer_formats = self.newer_formats
            self.scan()
            self.generations_found = [g for g in self.generations_found if g not in newer_formats]
        except OSError:
            self.close()

    def remove_old_generations(self) -> None:
        """Remove all but the newest whole generations; what is of a newer format stays."""
        assert self.files is not None
        gone, self.generations_found = (
            self.generations_found[: -self.retained],
            self.generations_found[-self.retained :],
        )
        for generation in gone:
            try:
                if self.may_replace(generation):
                    self.files.unlink(snapshot_name(generation))
                    self.replaceable.discard(generation)
            except FileNotFoundError:
                pass
            except OSError:
                self.generations_found.insert(0, generation)  # tried again after the next write

    def may_replace(self, generation: int) -> bool:
        """Whether a file may be removed: one of a newer format may not, though this life never loaded it."""
        assert self.files is not None
        if generation not in self.replaceable:
            with contextlib.suppress(DamagedSnapshotError):
                if (
                    parse_envelope(self.files.read(snapshot_name(generation), MAX_FILE_SIZE)).minimum_reader
                    > CURRENT_FORMAT
                ):
                    self.newer_formats.add(generation)
                    return False
        return True
