"""Structured logging: each line has the name of an event and its fields.

The rest of the program calls `event` only. Without a `log` node in the options file, lines go through
Twisted's text observer, which is loaded anyway; with one, `structured` writes them with structlog.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .events import EVENTS, INFO, LEVELS

Sink = Callable[[int, str, dict[str, Any]], None]
_min_level = INFO
_sink: Sink | None = None


def configure(sink: Sink | None, level: str = "info") -> None:
    """Send events of `level` and above to the sink; None stands for Twisted's logger."""
    global _sink, _min_level
    _sink, _min_level = sink, LEVELS[level]


def is_enabled(name: str) -> bool:
    """Whether the event's level is enabled, for callers whose fields are costly to compute."""
    return EVENTS[name][0] >= _min_level


def event(name: str, /, **fields: Any) -> None:
    """Log an event if its level is enabled; a name that is not in `EVENTS` raises KeyError."""
    level = EVENTS[name][0]
    if level >= _min_level:
        (_sink or _twisted)(level, name, fields)


def format_value(value: Any) -> str:
    """Format a value for a line of text; it is quoted unless it is a single word."""
    text = str(value)
    return text if text and text.isprintable() and not set(text) & set(' ="') else repr(text)


def _twisted(level: int, name: str, fields: dict[str, Any]) -> None:
    from twisted.logger import Logger, LogLevel

    levels = {10: LogLevel.debug, 20: LogLevel.info, 30: LogLevel.warn, 40: LogLevel.error}
    line = " ".join([name, *(f"{key}={format_value(value)}" for key, value in fields.items())])
    Logger("corkdeal").emit(levels[level], "{line}", line=line)
