"""The few operations on one folder that the store needs; tests record, fail or replay each of them.

Everything goes through the folder's descriptor: a folder that is moved or replaced meanwhile is an error,
never another folder's files. Nothing is followed through a symlink, and only regular files of this user are
read.
"""

from __future__ import annotations

import fcntl
import os
import stat
from collections.abc import Iterable

from .errors import FolderLockedError, UnsafeFileError

OPEN_FLAGS = os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK  # a FIFO in a file's place must not hang the reader
WRITE_CHUNK_SIZE = 1 << 20  # bytes in one write, so that no single call holds much


class StateFolder:
    """One open folder."""

    def __init__(self, path: str, create_missing: bool = True) -> None:
        """Open it, made with mode 0700 if it isn't there; `OSError` where that can't be."""
        if create_missing:
            os.makedirs(path, mode=0o700, exist_ok=True)
        self.path = path
        self.descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | OPEN_FLAGS)
        found = os.fstat(self.descriptor)
        if found.st_uid != os.geteuid() or (create_missing and found.st_mode & 0o022):
            self.close()
            raise UnsafeFileError(f"{path}: not this user's alone to write")

    def close(self) -> None:
        """Let go of the folder."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1

    def list_names(self) -> list[str]:
        """The names in it."""
        return os.listdir(self.descriptor)

    def read(self, name: str, max_size: int) -> bytes:
        """A file's bytes; one that is larger than `max_size` is read no further than one byte past it."""
        with os.fdopen(
            os.open(name, os.O_RDONLY | OPEN_FLAGS, dir_fd=self.descriptor), "rb", buffering=0
        ) as file:
            require_own_regular_file(os.fstat(file.fileno()), name)
            data, size = bytearray(), os.fstat(file.fileno()).st_size
            if size > max_size:
                raise UnsafeFileError(f"{name}: {size} bytes, more than any file of ours")
            while piece := file.read(min(WRITE_CHUNK_SIZE, max_size + 1 - len(data))):
                data += piece
            return bytes(data)

    def create(self, name: str) -> int:
        """A new file's descriptor, mode 0600; an error if the name is taken."""
        return os.open(name, os.O_WRONLY | os.O_CREAT | os.O_EXCL | OPEN_FLAGS, 0o600, dir_fd=self.descriptor)

    def write(self, file: int, parts: Iterable[bytes]) -> None:
        """Append all of it."""
        for part in parts:
            view = memoryview(part)
            while view:
                view = view[os.write(file, view[:WRITE_CHUNK_SIZE]) :]

    def sync(self, file: int) -> None:
        """Return once its content outlives a crash."""
        os.fsync(file)

    def close_file(self, file: int) -> None:
        """Close a file."""
        os.close(file)

    def rename(self, old: str, new: str) -> None:
        """Put a file in a name's place, at one stroke."""
        os.rename(old, new, src_dir_fd=self.descriptor, dst_dir_fd=self.descriptor)

    def sync_folder(self) -> None:
        """Return once the names in it outlive a crash."""
        os.fsync(self.descriptor)

    def unlink(self, name: str) -> None:
        """Remove a name."""
        os.unlink(name, dir_fd=self.descriptor)

    def is_current(self) -> bool:
        """Whether the path still leads to this folder."""
        try:
            return os.path.samestat(os.stat(self.path), os.fstat(self.descriptor))
        except OSError:
            return False

    def lock(self, name: str) -> int:
        """Hold a lock until the descriptor is closed or the process ends.

        Raises `FolderLockedError` if another process holds it.
        """
        file = os.open(name, os.O_RDWR | os.O_CREAT | OPEN_FLAGS, 0o600, dir_fd=self.descriptor)
        try:
            require_own_regular_file(os.fstat(file), name)
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(file)
            raise FolderLockedError(f"{self.path}: kept by another process") from error
        except BaseException:
            os.close(file)
            raise
        return file


def require_own_regular_file(found: os.stat_result, name: str) -> None:
    """Refuse what is no regular file of this user's."""
    if not stat.S_ISREG(found.st_mode):
        raise UnsafeFileError(f"{name}: no regular file")
    if found.st_uid != os.geteuid():
        raise UnsafeFileError(f"{name}: another user's file")
