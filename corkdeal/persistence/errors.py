"""Errors of persisted state: faults of a file, a folder or a record.

Errors of content are also `ValueError`, and errors of the file system also `OSError`, so that a caller that
handles all of them alike may catch the built-in class.
"""

from __future__ import annotations

from ..errors import CorkdealError


class PersistenceError(CorkdealError):
    """Base class of the errors in this package."""


class DamagedSnapshotError(PersistenceError, ValueError):
    """A truncated or corrupted file; the text names the byte or the part of the body."""


class UnsupportedFormatError(PersistenceError, ValueError):
    """An intact file that needs a newer reader; it is never removed."""


class MigrationError(PersistenceError, ValueError):
    """A body that does not have the older format that its envelope states."""


class MalformedRecordError(PersistenceError, ValueError):
    """An account's record that cannot be decoded."""


class SnapshotTooLargeError(PersistenceError, ValueError):
    """A snapshot that is larger than readers accept."""


class UnsafeFileError(PersistenceError, OSError):
    """A path that is not a file or folder of this user's alone, or too large; the text names it."""


class FolderLockedError(PersistenceError, OSError):
    """The folder is locked by another process."""


class GenerationsExhaustedError(PersistenceError, OSError):
    """The folder holds the highest generation number that a file name can express."""
