"""Errors of persisted state: what is wrong with a file, a folder or a record.

Errors of content are also `ValueError` and errors of the file system also `OSError`, so a caller that only
has to survive them may catch the built-in class.
"""

from __future__ import annotations

from ..errors import CorkdealError


class PersistenceError(CorkdealError):
    """Base class of the errors in this package."""


class DamagedSnapshotError(PersistenceError, ValueError):
    """A file that is not whole; the text names the byte or the part of the body."""


class UnsupportedFormatError(PersistenceError, ValueError):
    """A whole file that needs a newer reader; it is left untouched."""


class MigrationError(PersistenceError, ValueError):
    """A body that is not of the older format that its envelope states."""


class MalformedRecordError(PersistenceError, ValueError):
    """An account's record that cannot be decoded."""


class SnapshotTooLargeError(PersistenceError, ValueError):
    """A snapshot larger than any reader would accept."""


class UnsafeFileError(PersistenceError, OSError):
    """Something that is not a plain file or folder of this user's; the text names it."""


class FolderLockedError(PersistenceError, OSError):
    """Another process has the folder."""


class GenerationsExhaustedError(PersistenceError, OSError):
    """The folder holds the highest generation number that a file name can bear."""
