"""The file system operations on one folder that the store needs; tests record, fail or replay each of them.

All of them go through the folder's descriptor, so that a folder that is moved or replaced meanwhile leads to
an error and never to another folder's files. Symbolic links are not followed, and only regular files of this
user are read.
"""

from __future__ import annotations

import fcntl
import os
import stat
from collections.abc import Iterable

from .errors import FolderLockedError, UnsafeFileError

# O_NONBLOCK: opening a FIFO instead of a file must not block
OPEN_FLAGS = os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK
CHUNK_SIZE = 1 << 20  # bytes read or written by one system call, so that none takes long
CLOSED = -1  # stands for a descriptor that is closed


class StateFolder:
    """An open folder; call `close` when done with it."""

    def __init__(self, path: str, create_missing: bool = True) -> None:
        """Open the folder, created with mode 0700 if it is missing and `create_missing` is set.

        Raises `OSError` where that fails, and `UnsafeFileError` for a folder of another user or, if
        `create_missing` is set, one that others may write.
        """
        if create_missing:
            os.makedirs(path, mode=0o700, exist_ok=True)
        self.path = path
        self.descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | OPEN_FLAGS)
        status = os.fstat(self.descriptor)
        may_others_write = create_missing and bool(status.st_mode & 0o022)
        if status.st_uid != os.geteuid() or may_others_write:
            self.close()
            raise UnsafeFileError(f"{path}: not owned by this user, or writable by others")

    def close(self) -> None:
        """Close the folder; a second call has no effect."""
        if self.descriptor != CLOSED:
            os.close(self.descriptor)
            self.descriptor = CLOSED

    def list_names(self) -> list[str]:
        """Return the names of all files in the folder."""
        return os.listdir(self.descriptor)

    def read(self, name: str, max_size: int) -> bytes:
        """Return a file's bytes; if it grows while it is read, at most one more than `max_size`.

        Raises `UnsafeFileError` for a larger file and for what is not a regular file of this user's.
        """
        descriptor = os.open(name, os.O_RDONLY | OPEN_FLAGS, dir_fd=self.descriptor)
        with os.fdopen(descriptor, "rb", buffering=0) as file:
            status = os.fstat(descriptor)
            require_own_regular_file(status, name)
            if status.st_size > max_size:
                raise UnsafeFileError(f"{name}: {status.st_size} bytes, over the size limit")
            data = bytearray()
            while chunk := file.read(min(CHUNK_SIZE, max_size + 1 - len(data))):
                data += chunk
            return bytes(data)

    def create(self, name: str) -> int:
        """Create a file of mode 0600 and return its descriptor; raises `FileExistsError` if there is one."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | OPEN_FLAGS
        return os.open(name, flags, 0o600, dir_fd=self.descriptor)

    def write(self, file: int, parts: Iterable[bytes]) -> None:
        """Append all parts to a file."""
        for part in parts:
            view = memoryview(part)
            while view:
                written = os.write(file, view[:CHUNK_SIZE])
                view = view[written:]

    def sync(self, file: int) -> None:
        """Make a file's content durable; blocks until it is."""
        os.fsync(file)

    def close_file(self, file: int) -> None:
        """Close a file."""
        os.close(file)

    def link(self, existing: str, new: str) -> None:
        """Give a file a second name; raises `FileExistsError` if the name is in use."""
        os.link(existing, new, src_dir_fd=self.descriptor, dst_dir_fd=self.descriptor)

    def rename(self, old: str, new: str) -> None:
        """Rename a file; one of the new name is replaced atomically."""
        os.rename(old, new, src_dir_fd=self.descriptor, dst_dir_fd=self.descriptor)

    def sync_folder(self) -> None:
        """Make the folder's names durable; blocks until they are."""
        os.fsync(self.descriptor)

    def unlink(self, name: str) -> None:
        """Remove a file."""
        os.unlink(name, dir_fd=self.descriptor)

    def is_current(self) -> bool:
        """Whether the path still leads to this folder."""
        try:
            return os.path.samestat(os.stat(self.path), os.fstat(self.descriptor))
        except OSError:
            return False

    def lock(self, name: str) -> int:
        """Lock a file until the returned descriptor is closed or the process ends.

        Raises `FolderLockedError` if another process holds the lock.
        """
        file = os.open(name, os.O_RDWR | os.O_CREAT | OPEN_FLAGS, 0o600, dir_fd=self.descriptor)
        try:
            require_own_regular_file(os.fstat(file), name)
            self.lock_file(file)
        except BaseException:
            os.close(file)
            raise
        return file

    def lock_file(self, file: int) -> None:
        """Lock an open file until it is closed; raises `FolderLockedError` if another process has it."""
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise FolderLockedError(f"{self.path}: locked by another process") from error

    def open_existing(self, name: str) -> int:
        """Open a file for reading and return its descriptor; raises `FileNotFoundError` if there is none."""
        file = os.open(name, os.O_RDONLY | OPEN_FLAGS, dir_fd=self.descriptor)
        try:
            require_own_regular_file(os.fstat(file), name)
        except BaseException:
            os.close(file)
            raise
        return file

    def is_locked(self, file: int) -> bool:
        """Whether another process has locked an open file.

        Takes a shared lock until the file is closed, so that any number of processes can look at once.
        """
        try:
            fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        return False


def require_own_regular_file(status: os.stat_result, name: str) -> None:
    """Raise `UnsafeFileError` unless the status is that of a regular file of this user's."""
    if not stat.S_ISREG(status.st_mode):
        raise UnsafeFileError(f"{name}: no regular file")
    if status.st_uid != os.geteuid():
        raise UnsafeFileError(f"{name}: owned by another user")
