"""Keeps generations of snapshots in a gateway's folder: loads the newest, writes the next, removes old ones.

A write is atomic: the content goes to a temporary file, which is synced and renamed to the generation's name,
and then the folder is synced. Only then is the generation durable, and only then are older ones removed, so
that a crash at any moment leaves the newest durable generation or a newer one. If a file cannot be read, the
generation before it is loaded.
"""

from __future__ import annotations

import contextlib
import os
import re
from collections.abc import Callable
from typing import NamedTuple

from .codec import CURRENT_FORMAT, Snapshot, decode_snapshot
from .envelope import MAX_FILE_SIZE, parse_envelope
from .errors import DamagedSnapshotError, GenerationsExhaustedError, UnsupportedFormatError
from .files import StateFolder

LOCK_NAME = "lock"
MAX_GENERATION = 10**16 - 1  # file names have 16 digits
match_snapshot_name = re.compile(r"([0-9]{16})\.know").fullmatch
match_temporary_name = re.compile(r"[0-9]{16}\.tmp").fullmatch
UNSAFE_CHARACTER = re.compile(r"[^A-Za-z0-9_-]")


class RejectedFile(NamedTuple):
    """A file that could not be loaded, and why."""

    file: str
    reason: str


class LoadedSnapshot(NamedTuple):
    """The newest readable snapshot; if there is none, `file` is empty and `snapshot` is None."""

    file: str
    format: int
    snapshot: Snapshot | None
    rejected: list[RejectedFile]


def gateway_folder(path: str, name: str) -> str:
    """Return a gateway's folder: its name, with all but letters, digits, `_` and `-` encoded as %XX."""

    def percent_encoded(match: re.Match[str]) -> str:
        return "".join(f"%{byte:02X}" for byte in match[0].encode())

    return os.path.join(path, UNSAFE_CHARACTER.sub(percent_encoded, name) or "%")


def snapshot_name(generation: int) -> str:
    """Return the file name of a generation."""
    return f"{generation:016d}.know"


def temporary_name(generation: int) -> str:
    """Return the file name of a generation while it is written."""
    return f"{generation:016d}.tmp"


class SnapshotStore:
    """The snapshots in one gateway's folder. All methods may block: call them in a worker thread."""

    def __init__(
        self, folder: str, retained: int = 2, folder_factory: Callable[[str], StateFolder] = StateFolder
    ) -> None:
        self.folder = folder
        self.retained = retained
        self.folder_factory = folder_factory
        self.files: StateFolder | None = None
        self.lock: int | None = None
        self.newest_generation = 0  # the highest number in a file's name
        self.generations: list[int] = []  # that may be loaded, oldest first
        self.newer_format_generations: set[int] = set()  # never removed
        self.removable: set[int] = set()  # generations known to have a format that may be removed

    def open(self) -> None:
        """Open and lock the folder; opens it again if it was removed or replaced since.

        Raises `FolderLockedError` if another process has locked it, and `OSError` where it can't be used.
        """
        if self.files is not None and not self.files.is_current():
            self.close()
        if self.files is not None:
            return
        files = self.folder_factory(self.folder)
        try:
            self.lock = files.lock(LOCK_NAME)
        except BaseException:
            files.close()
            raise
        self.files = files
        self._scan()

    def close(self) -> None:
        """Unlock and close the folder; a second call has no effect."""
        if self.files is None:
            return
        if self.lock is not None:
            os.close(self.lock)
        self.files.close()
        self.files = None
        self.lock = None

    def load(self) -> LoadedSnapshot:
        """Return the newest snapshot that is intact and of a supported format."""
        rejected: list[RejectedFile] = []
        for generation in reversed(self.generations[:]):
            name = snapshot_name(generation)
            try:
                format_number, snapshot = self._read(generation)
                return LoadedSnapshot(name, format_number, snapshot, rejected)
            except UnsupportedFormatError as error:
                self.newer_format_generations.add(generation)
                reason = str(error)
            except (DamagedSnapshotError, OSError) as error:
                reason = str(error)
            self.generations.remove(generation)
            rejected.append(RejectedFile(name, reason))
        return LoadedSnapshot("", 0, None, rejected)

    def write(self, encode: Callable[[int], list[bytes]]) -> int:
        """Write the parts that `encode` returns for the next generation; returns its number once durable."""
        self.open()
        generation = self.newest_generation + 1
        if generation > MAX_GENERATION:
            raise GenerationsExhaustedError("the highest generation number is in use")
        parts = encode(generation)
        try:
            self._write_file(generation, parts)
        except BaseException:
            with contextlib.suppress(OSError):
                self._open_files().unlink(temporary_name(generation))
            self._rescan()
            raise
        self.generations.append(generation)
        self.removable.add(generation)
        self._remove_old_generations()
        return generation

    def _open_files(self) -> StateFolder:
        assert self.files is not None
        return self.files

    def _scan(self) -> None:
        """List the generations in the folder, and remove temporary files that a crash left behind."""
        files = self._open_files()
        names = files.list_names()
        for name in filter(match_temporary_name, names):
            with contextlib.suppress(OSError):
                files.unlink(name)
        matches = map(match_snapshot_name, names)
        self.generations = sorted(int(match[1]) for match in matches if match)
        self.newest_generation = max([self.newest_generation, *self.generations])

    def _rescan(self) -> None:
        """List the generations again after a failed write, which may have left the folder in any state."""
        try:
            self._scan()
        except OSError:
            self.close()
            return
        self.generations = [
            number for number in self.generations if number not in self.newer_format_generations
        ]

    def _read(self, generation: int) -> tuple[int, Snapshot]:
        """Return a generation's format and snapshot."""
        data = self._open_files().read(snapshot_name(generation), MAX_FILE_SIZE)
        stored_generation, format_number, snapshot = decode_snapshot(data)
        if stored_generation != generation:
            raise DamagedSnapshotError(
                f"byte 16: generation {stored_generation} in the file of generation {generation}"
            )
        return format_number, snapshot

    def _write_file(self, generation: int, parts: list[bytes]) -> None:
        """Write a generation's file; it is durable on return."""
        files = self._open_files()
        temporary = temporary_name(generation)
        file = files.create(temporary)
        try:
            files.write(file, parts)
            files.sync(file)
        finally:
            files.close_file(file)
        files.rename(temporary, snapshot_name(generation))
        # From here on the name may exist, durable or not, so the number must not be used again.
        self.newest_generation = generation
        files.sync_folder()

    def _remove_old_generations(self) -> None:
        """Remove all but the newest `retained` generations; files of a newer format stay."""
        surplus = self.generations[: -self.retained]
        self.generations = self.generations[-self.retained :]
        for generation in surplus:
            try:
                self._remove(generation)
            except FileNotFoundError:
                continue
            except OSError:
                self.generations.insert(0, generation)  # retried after the next write

    def _remove(self, generation: int) -> None:
        """Remove a generation's file, unless it has a newer format."""
        if self._may_remove(generation):
            self._open_files().unlink(snapshot_name(generation))
            self.removable.discard(generation)

    def _may_remove(self, generation: int) -> bool:
        """Whether a generation's file may be removed: not if it has a newer format; reads it if unknown."""
        if generation in self.removable:
            return True
        data = self._open_files().read(snapshot_name(generation), MAX_FILE_SIZE)
        try:
            is_newer = parse_envelope(data).minimum_reader > CURRENT_FORMAT
        except DamagedSnapshotError:
            return True
        if is_newer:
            self.newer_format_generations.add(generation)
        return not is_newer
