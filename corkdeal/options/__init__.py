"""The operators' own file: what the platform's configuration does not know, as KDL 1.0, off unless it stands
there.

One reader (`load`), one frozen record a subsystem (`records`); nothing else reads the file.
"""

from .records import KnowledgeOptions, LogOptions, Options

__all__ = ["KnowledgeOptions", "LogOptions", "Options", "OptionsError", "load", "parse"]


def __getattr__(name: str) -> object:
    """The reader and its parser are imported only where a file is given."""
    if name in ("OptionsError", "load", "parse"):
        from . import reader

        return getattr(reader, name)
    raise AttributeError(name)
