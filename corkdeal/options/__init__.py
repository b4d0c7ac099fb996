"""The options file: features of the gateway that the platform's configuration does not cover.

It is written in KDL 1.0; a feature that has no node in the file is off. Only `load` reads the file; it
returns frozen records, one per subsystem (`records`).
"""

from .records import LogOptions, Options, PersistenceOptions

__all__ = ["LogOptions", "Options", "OptionsError", "PersistenceOptions", "load", "parse"]


def __getattr__(name: str) -> object:
    """Import the reader and its KDL parser on first use; without an options file they are never loaded."""
    if name in ("OptionsError", "load", "parse"):
        from . import reader

        return getattr(reader, name)
    raise AttributeError(name)
